package emulator

// This file holds the controls of a running fleet's machines, and the counters that can be read from them.

import (
	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/simulation"
)

// Kill stops a machine: its connections are reset, and its port refuses new ones.
func (f *Fleet) Kill(id uint32) { f.update(func(world *simulation.World) { world.Kill(id) }) }

// Restart kills machines and starts them again at once, with empty caches and in slow start.
func (f *Fleet) Restart(ids ...uint32) {
	f.update(func(world *simulation.World) {
		for _, id := range ids {
			world.Kill(id)
			f.advance()
			world.Restart(id)
			f.advance()
		}
	})
}

// Boot starts machines that were killed, with empty caches and in slow start.
func (f *Fleet) Boot(ids ...uint32) {
	f.update(func(world *simulation.World) {
		for _, id := range ids {
			world.Restart(id)
		}
	})
}

// LimitLink multiplies the bandwidth and the concurrent fetches of a parent or the origin by a factor. A factor above 1
// undoes an earlier limit.
func (f *Fleet) LimitLink(id uint32, factor float64) {
	f.update(func(world *simulation.World) { world.LimitLink(id, factor) })
}

// Drain makes discovery announce a machine as draining. The machine itself goes on serving what it receives.
func (f *Fleet) Drain(id uint32) {
	f.rules.drainAnnounced(id)
	f.discovery.setState(id, routing.Draining)
}

// Purge makes discovery announce that copies of an object from before now are invalid.
func (f *Fleet) Purge(object uint64) {
	f.rules.purgeAnnounced(object)
	f.discovery.announcePurge(object)
}

// Prime inserts cached copies into machines. The times of the copies count from now.
func (f *Fleet) Prime(copies []capacity.CachedCopy) {
	f.update(func(world *simulation.World) {
		for _, cachedCopy := range copies {
			world.Insert(cachedCopy.Node, cachedCopy.Object, cachedCopy.Part, cachedCopy.Bytes, cachedCopy.CachePriority,
				f.now()+cachedCopy.FilledAt)
		}
	})
}

// Snapshot returns the present counters of the machines' resources, as the starting point for Uses.
func (f *Fleet) Snapshot() (snapshot simulation.Snapshot) {
	f.update(func(world *simulation.World) { snapshot = world.Snapshot() })
	return snapshot
}

// Uses returns how much of each machine's resources was used since a snapshot.
func (f *Fleet) Uses(since simulation.Snapshot) (uses []simulation.Use) {
	f.update(func(world *simulation.World) { uses = world.Uses(since) })
	return uses
}

// Failures counts the failures of machines so far: kills, restarts, and crashes by overload.
func (f *Fleet) Failures() (failures int) {
	f.update(func(world *simulation.World) { failures = world.Failures() })
	return failures
}

// Received counts the requests and the health checks that a machine has received.
func (f *Fleet) Received(id uint32) (requests, healthChecks int) {
	server := f.servers[id]
	return int(server.requests.Load()), int(server.healthChecks.Load())
}
