package clusterconfig

// Which changes of an operator file a running machine can apply.

import "slices"

// ChangesRequiringRestart returns the settings that differ between f and other and that the running machine of a name cannot change
// without a restart. If there are none the machine can go on with the other file. The list of directors, addresses, places and
// duties may change. The names of members and the times of leases may not: members with different ones could hold a lease at the
// same time. A director neither votes nor holds leases, so for a director they may change as well.
//
// The texts that it returns are shown to users and must not change.
func (f *File) ChangesRequiringRestart(other *File, name string) (differences []string) {
	role, otherRole := f.Role(name), other.Role(name)
	if role != otherRole {
		differences = append(differences, "this machine's role")
	}
	if role == Director && otherRole == Director {
		if f.Uplink.Spread != other.Uplink.Spread {
			differences = append(differences, "uplink.spread")
		}
		return differences
	}
	return append(differences, f.memberDifferences(other)...)
}

// memberDifferences is ChangesRequiringRestart, without the role, for a machine that votes and holds leases.
func (f *File) memberDifferences(other *File) (differences []string) {
	if !slices.Equal(f.MemberNames(), other.MemberNames()) {
		if f.Control != nil || other.Control != nil {
			differences = append(differences, "the names of control machines")
		} else {
			differences = append(differences, "the names of instances")
		}
	}
	if f.Lease != other.Lease || f.Heartbeat != other.Heartbeat || f.Drift != other.Drift {
		differences = append(differences, "lease, beat or drift")
	}
	if f.Uplink.Rate != other.Uplink.Rate {
		differences = append(differences, "uplink.rate")
	}
	if f.Try != other.Try {
		differences = append(differences, "try")
	}
	return differences
}
