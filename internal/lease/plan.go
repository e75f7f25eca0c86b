package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// plan plans an owner for each job, unless the present plan still applies. The numbers of jobs of the available instances differ by
// one at most, and as few jobs as possible move to another instance.
func (table *leaseTable) plan(now time.Duration, config *Config) {
	available := table.availableMembers(now, config)
	planCurrent := !table.planStale && slices.Equal(available, table.plannedMembers)
	if len(available) == 0 || planCurrent {
		return
	}
	table.planStale, table.plannedMembers = false, available
	table.planCount++
	planned := table.addDuties(config.Duties)
	table.dropRemovedDuties(now, config.Duties)
	table.assign(config.Duties, available, quotas(len(config.Duties), available, planned))
	table.queuePlanned(config.Duties)
}

// availableMembers returns the instances that may get leases, in the order of the configuration.
func (table *leaseTable) availableMembers(now time.Duration, config *Config) (names []string) {
	for _, name := range config.Members {
		if peer := table.members[name]; peer != nil && peer.available(now, config.Lease) {
			names = append(names, name)
		}
	}
	return names
}

// addDuties adds configured jobs that are missing in the table. A job without a planned owner gets its present owner as planned
// owner. It returns how many jobs are planned for each instance.
func (table *leaseTable) addDuties(duties []Duty) (planned map[string]int) {
	planned = map[string]int{}
	for _, duty := range duties {
		entry := table.leases[duty.Name]
		if entry == nil {
			entry = &tableLease{}
			table.leases[duty.Name] = entry
		}
		if entry.plannedOwner == "" {
			entry.plannedOwner = entry.owner
		}
		planned[entry.plannedOwner]++
	}
	return planned
}

// dropRemovedDuties removes the leases of jobs that are no longer configured from the sets, so that their owners return them. It
// removes such a job from the table once its lease has expired.
func (table *leaseTable) dropRemovedDuties(now time.Duration, duties []Duty) {
	configured := make(map[string]bool, len(duties))
	for _, duty := range duties {
		configured[duty.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(table.leases)) {
		if configured[name] {
			continue
		}
		entry := table.leases[name]
		entry.plannedOwner = ""
		if !entry.inSet && now >= entry.expires {
			delete(table.leases, name)
		}
		table.removeFromSet(name, entry)
	}
}

// quotas returns how many jobs each available instance should have. If they cannot all have the same number, the instances with
// the most planned jobs get one more, so that the fewest jobs move.
func quotas(duties int, available []string, planned map[string]int) map[string]int {
	byPlanned := slices.Clone(available)
	slices.SortStableFunc(byPlanned, func(a, b string) int { return cmp.Compare(planned[b], planned[a]) })
	share, remainder := duties/len(available), duties%len(available)
	quota := map[string]int{}
	for i, name := range byPlanned {
		quota[name] = share
		if i < remainder {
			quota[name]++
		}
	}
	return quota
}

// assign plans an owner for each job within the quotas, which it consumes. Jobs above the quota of their owner are assigned to the
// other instances in turn, in the order of the hashes of their names, so that jobs with similar names spread over the instances.
func (table *leaseTable) assign(duties []Duty, available []string, quota map[string]int) {
	var unassigned []string
	for _, duty := range duties {
		owner := table.leases[duty.Name].plannedOwner
		if quota[owner] == 0 {
			unassigned = append(unassigned, duty.Name)
			continue
		}
		quota[owner]--
	}
	slices.SortFunc(unassigned, func(a, b string) int { return cmp.Compare(hash(0, a, 0), hash(0, b, 0)) })
	next := 0 // index of the instance whose turn it is
	for _, name := range unassigned {
		for quota[available[next]] == 0 {
			next = (next + 1) % len(available)
		}
		owner := available[next]
		table.leases[name].plannedOwner = owner
		quota[owner]--
		next = (next + 1) % len(available)
	}
}

// queuePlanned queues each job that its planned owner does not have yet. A lease of another owner is no longer renewed.
func (table *leaseTable) queuePlanned(duties []Duty) {
	for _, peer := range table.members {
		peer.pending = nil
	}
	for _, duty := range duties {
		entry := table.leases[duty.Name]
		if entry.inSet && entry.owner != entry.plannedOwner {
			table.removeFromSet(duty.Name, entry)
		}
		if !entry.inSet {
			owner := table.member(entry.plannedOwner)
			owner.pending = append(owner.pending, duty.Name)
		}
	}
}
