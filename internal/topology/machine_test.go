package topology

import "testing"

// TestMachineIDsStableWhenZoneGrows adds caches to a zone. The existing machines must keep their IDs, or documents would get
// other home nodes.
func TestMachineIDsStableWhenZoneGrows(t *testing.T) {
	description := exampleTopology(t)
	before := description.Machines()
	description.Kinds[0].CountByZone["west"] = 9
	after := map[string]uint32{}
	for _, m := range description.Machines() {
		after[m.Name] = m.ID
	}
	for _, m := range before {
		if after[m.Name] != m.ID {
			t.Errorf("ID of %s after the zone grew: got %x, want %x", m.Name, after[m.Name], m.ID)
		}
	}
}

// TestMachineIDsUnique gives a zone the maximum number of caches. No two machines may have the same ID, because directors
// would treat them as a single machine.
func TestMachineIDsUnique(t *testing.T) {
	description := exampleTopology(t)
	description.Kinds[0].CountByZone["west"] = 16000
	nameOf := map[uint32]string{}
	for _, m := range description.Machines() {
		if other, taken := nameOf[m.ID]; taken {
			t.Fatalf("%s and %s both have the ID %x, want unique IDs", other, m.Name, m.ID)
		}
		nameOf[m.ID] = m.Name
	}
}
