package testcluster

// This file describes the small topologies of emulated machines that test clusters route to.

import "fmt"

// TopologyText is a topology with the zone west and one tier of caches, small enough to be emulated on a shared machine.
type TopologyText struct {
	Name     string
	ZoneLink string // bandwidth of the zone's link, such as 4MB/s
	Caches   int
	Tail     string // YAML of the parents, the origin, the virtual hosts and the remaining sections; percent signs in it are doubled
}

// YAML returns the text of the topology. topology.Parse reads it once fmt.Sprintf has replaced its only %d by the number of
// directors.
func (t TopologyText) YAML() string {
	return fmt.Sprintf(`
name: %s
zones:
  - {name: west, link: %s, directors: %%d}
kinds:
  - {name: std, cores: 2, pace: 400KB/s, each: 2ms, slots: 32, room: 32, memory: 2MB, number: {west: %d}}
flow: 400KB/s
news: 100ms
`, t.Name, t.ZoneLink, t.Caches) + t.Tail
}

// SmallTopology is the YAML of a topology that a shared machine emulates easily, in which %d is the number of directors.
var SmallTopology = TopologyText{Name: "rig", ZoneLink: "4MB/s", Caches: 6, Tail: `
parents:
  - {name: mid, zone: west, number: 2, link: 4MB/s, fetches: 60, memory: 12MB}
origin: {link: 4MB/s, latency: 10ms, fetches: 80}
vhosts:
  - {name: page, aim: 500ms, timeout: 2s, effect: replayable, value: 1, sizes: {least: 1KB, most: 6KB}, demand: {share: 95%%, objects: 400, skew: 0.8}}
  - {name: order, aim: 500ms, timeout: 2s, effect: non-replayable, write: true, value: 1, sizes: {least: 200B, most: 200B}, demand: {share: 5%%, objects: 300}}
cold: {floor: 15%%, ramp: 6s, multiple: 3, window: 2s}
clients: {retries: 1, after: 300ms}
`}.YAML()
