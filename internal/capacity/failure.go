package capacity

// Failures of machines and zones.

import "slices"

// Failure is the set of machines and zones that fail when the counted span of a run begins. The zero Failure means that
// nothing fails.
type Failure struct {
	Restarted   []uint32 // machines that restart together, empty and in slow start
	Removed     []uint32 // machines that never come back
	LostZones   []int    // zones whose directors are lost
	ClientsLost bool     // the clients of the lost zones stop sending requests; if false, other zones serve these clients
}

// Empty reports whether nothing fails.
func (f *Failure) Empty() bool { return len(f.Restarted)+len(f.Removed)+len(f.LostZones) == 0 }

// lost reports whether the directors of a zone are lost.
func (f *Failure) lost(zone int) bool { return slices.Contains(f.LostZones, zone) }

// key returns the machines and zones of a failure as one list, for comparison. The parts of the list are separated by 0, which
// is not the ID of a machine.
func (f *Failure) key() (list []uint32) {
	list = append(list, f.Restarted...)
	list = append(list, 0)
	list = append(list, f.Removed...)
	list = append(list, 0)
	for _, zone := range f.LostZones {
		list = append(list, uint32(zone))
	}
	return list
}
