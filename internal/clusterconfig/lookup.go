package clusterconfig

// Lookups in an operator file by name and role.

import (
	"fmt"
	"hash/fnv"
	"slices"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/lease"
)

// Role is the role of a machine in an installation.
type Role int

// Roles of machines.
const (
	Unknown        Role = iota // the file does not list the machine
	Member                     // an instance: a director that votes and shares the duties
	ControlMachine             // votes, shares the duties and publishes the change feed
	Director                   // follows the control machines
)

// roleNames has the names of the roles, as returned by String.
var roleNames = [...]string{Unknown: "unknown", Member: "member", ControlMachine: "control machine", Director: "director"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// Role returns the role of the named machine, or Unknown if the file does not list it.
func (f *File) Role(name string) Role {
	switch {
	case slices.ContainsFunc(f.Instances, func(i Instance) bool { return i.Name == name }):
		return Member
	case slices.ContainsFunc(f.Control, func(c ControlEntry) bool { return c.Name == name }):
		return ControlMachine
	case slices.ContainsFunc(f.Directors, func(d DirectorEntry) bool { return d.Name == name }):
		return Director
	}
	return Unknown
}

// Place returns the place of the named control machine or director, or a zero Place if there is none with that name.
func (f *File) Place(name string) changefeed.Place {
	return f.machineNamed(name).place()
}

// Address returns the address at which the named machine listens. It is empty if the file does not list the name, or if the machine
// is a director that does not listen.
func (f *File) Address(name string) string {
	for _, instance := range f.Instances {
		if instance.Name == name {
			return instance.Address
		}
	}
	return f.machineNamed(name).Address
}

// machineNamed returns the entry of the named control machine or director, or a zero entry if there is none with that name.
func (f *File) machineNamed(name string) ControlEntry {
	for _, control := range f.Control {
		if control.Name == name {
			return control
		}
	}
	for _, director := range f.Directors {
		if director.Name == name {
			return ControlEntry(director)
		}
	}
	return ControlEntry{}
}

// place returns the place of the machine.
func (c ControlEntry) place() changefeed.Place {
	return changefeed.Place{Region: c.Region, Zone: c.Zone, Site: c.Site}
}

// ControlNames returns the names of the control machines, sorted.
func (f *File) ControlNames() (names []string) {
	for _, control := range f.Control {
		names = append(names, control.Name)
	}
	slices.Sort(names)
	return names
}

// DirectorNames returns the names of the directors that follow control machines, sorted.
func (f *File) DirectorNames() (names []string) {
	for _, director := range f.Directors {
		names = append(names, director.Name)
	}
	slices.Sort(names)
	return names
}

// MemberNames returns the names of the machines that share the duties, sorted. They are the control machines, or the instances if
// there are no control machines.
func (f *File) MemberNames() (names []string) {
	for _, instance := range f.Instances {
		names = append(names, instance.Name)
	}
	names = append(names, f.ControlNames()...)
	slices.Sort(names)
	return names
}

// PeerAddresses returns the addresses of the machines that share the duties, by name, except for the named machine.
func (f *File) PeerAddresses(name string) map[string]string {
	addresses := map[string]string{}
	for _, instance := range f.Instances {
		addresses[instance.Name] = instance.Address
	}
	for _, control := range f.Control {
		addresses[control.Name] = control.Address
	}
	delete(addresses, name)
	return addresses
}

// LeaseDuties returns the duties in the form of package lease.
func (f *File) LeaseDuties() (duties []lease.Duty) {
	for _, duty := range f.Duties {
		duties = append(duties, lease.Duty{
			Name:    duty.Name,
			Period:  duty.Period.Duration(),
			Jitter:  duty.Jitter.Duration(),
			Timeout: duty.Timeout.Duration(),
			CatchUp: duty.Missed == missedCatchUp,
		})
	}
	return duties
}

// MembershipHash returns a hash of MemberNames as 16 hexadecimal digits. Machines compare their hashes, as machines with different
// lists must not vote together: majorities of two different lists need not overlap.
func (f *File) MembershipHash() string {
	hash := fnv.New64a()
	for _, name := range f.MemberNames() {
		fmt.Fprintf(hash, "%d:%s", len(name), name) // the length distinguishes "a1", "b" from "a", "1b"
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}
