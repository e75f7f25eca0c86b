package scenario

// This file writes the cluster configuration files of the scenario "scale", and opens the links of the fault proxy that the
// files name.

import (
	"fmt"
	"strings"
	"time"

	"indigochute.example/indigochute/internal/testing/testcluster"
)

// The jobs that the control machines share. A small event is published 4.3 times a second. A large event is published every
// 62 s, or more often in a shorter run.
const (
	callJobs         = 6
	callJobPrefix    = "call"
	callPeriod       = 400 * time.Millisecond
	probeJob         = "probe"
	probePeriod      = 900 * time.Millisecond
	smallEventJob    = "small"
	smallEventBytes  = 60
	smallEventPeriod = 233 * time.Millisecond
	largeEventJob    = "large"
	largeEventBytes  = 20_000
	largeEventPeriod = 62 * time.Second // of the largest clusters
	eventLifetime    = 10 * time.Minute

	scaleJobs = callJobs + 3 // with the probe job and the two jobs that publish events
)

// scaleSettings is the YAML of the settings that all machines have.
const scaleSettings = "lease: 1200ms\nbeat: 250ms\ndrift: 2%\nuplink: {rate: 16KB/s, spread: 800ms}\n"

// callJobNames returns the names of the jobs that call the counter.
func callJobNames() (names []string) {
	for i := range callJobs {
		names = append(names, fmt.Sprintf("%s%d", callJobPrefix, i))
	}
	return names
}

// clusterConfigText is the content of a cluster configuration file.
type clusterConfigText struct {
	layout            *layout
	largeEventPeriod  time.Duration
	counter           string                       // address that call jobs use
	controlAddress    func(control machine) string // returns the address at which readers of the file dial a control machine
	directorAddresses map[string]string            // addresses of the directors whose status can be queried, by name
}

// String returns the text of the file.
func (c *clusterConfigText) String() string {
	var text strings.Builder
	text.WriteString("control:\n")
	for _, m := range c.layout.control {
		fmt.Fprintf(&text, "  - {name: %s, address: %q, %v}\n", m.name, c.controlAddress(m), m.location)
	}
	text.WriteString("directors:\n")
	for _, m := range c.layout.directors {
		address := ""
		if peerAddress, ok := c.directorAddresses[m.name]; ok {
			address = fmt.Sprintf("address: %q, ", peerAddress)
		}
		fmt.Fprintf(&text, "  - {name: %s, %s%v}\n", m.name, address, m.location)
	}
	text.WriteString(scaleSettings)
	c.writeJobs(&text)
	return text.String()
}

// writeJobs writes the list of jobs.
func (c *clusterConfigText) writeJobs(text *strings.Builder) {
	const call = "  - {name: %s, kind: call, address: %q, period: %v, timeout: 300ms}\n"
	const probe = "  - {name: %s, kind: probe, period: %v, timeout: %v}\n"
	const event = "  - {name: %s, kind: note, period: %v, bytes: %d, life: %v, keep: %s}\n"
	text.WriteString("probe: {within: 300ms}\nduties:\n")
	for _, name := range callJobNames() {
		fmt.Fprintf(text, call, name, c.counter, callPeriod)
	}
	fmt.Fprintf(text, probe, probeJob, probePeriod, probePeriod/2)
	fmt.Fprintf(text, event, smallEventJob, smallEventPeriod, smallEventBytes, eventLifetime, "each")
	fmt.Fprintf(text, event, largeEventJob, c.largeEventPeriod, largeEventBytes, eventLifetime, "last")
}

// configWriter writes the cluster configuration files of all machines of a cluster.
type configWriter struct {
	layout           *layout
	cluster          *testcluster.Cluster
	largeEventPeriod time.Duration
}

// forProcess returns the file of one of the cluster's processes. It serves as testcluster.Options.ClusterConfigFor.
func (w *configWriter) forProcess(cluster *testcluster.Cluster, p *testcluster.Process) (string, error) {
	w.cluster = cluster
	for _, m := range w.layout.control {
		if m.name == p.Name {
			// The counter is outside all regions. A machine that is cut off can still reach it, but must not call it.
			counter, err := w.linkAddress(p.Name+">counter", cluster.Counter.Addr())
			if err != nil {
				return "", err
			}
			return w.forControl(m, counter)
		}
	}
	for _, m := range w.layout.directors {
		if m.name == p.Name {
			return w.forRegion(m.location.region)
		}
	}
	return "", fmt.Errorf("%s is not a machine of the scenario", p.Name)
}

// forControl returns the file of a control machine. It dials the control machines of its own region directly, and all others
// through the proxy.
func (w *configWriter) forControl(self machine, counter string) (string, error) {
	return w.write(counter, func(to machine, address string) (string, error) {
		if to.location.region == self.location.region {
			return address, nil
		}
		return w.linkAddress(controlLink(self, to), address)
	})
}

// forRegion returns the file of the directors of a region. They dial all control machines through the proxy.
func (w *configWriter) forRegion(region int) (string, error) {
	return w.write(w.cluster.Counter.Addr(), func(to machine, address string) (string, error) {
		return w.linkAddress(directorLink(region, to), address)
	})
}

// write returns a file in which each control machine has the address that dialAddress returns. dialAddress receives the control
// machine and the address at which that machine listens.
func (w *configWriter) write(counter string, dialAddress func(to machine, listenAddress string) (string, error)) (string, error) {
	control, directors := w.listenAddresses()
	var lastErr error
	text := clusterConfigText{
		layout:           w.layout,
		largeEventPeriod: w.largeEventPeriod,
		counter:          counter,
		controlAddress: func(to machine) string {
			address, err := dialAddress(to, control[to.name])
			if err != nil {
				lastErr = err
			}
			return address
		},
		directorAddresses: directors,
	}
	content := text.String()
	return content, lastErr
}

// linkAddress returns the address of the proxy's link with the given name. It opens the link at first use.
func (w *configWriter) linkAddress(name, target string) (string, error) {
	if found := w.cluster.Network.Links(name); len(found) > 0 {
		return found[0].Addr(), nil
	}
	link, err := w.cluster.Network.AddLink(name, target)
	if err != nil {
		return "", err
	}
	return link.Addr(), nil
}

// listenAddresses returns the addresses, by name, at which the processes themselves listen for peers.
func (w *configWriter) listenAddresses() (control, directors map[string]string) {
	control, directors = map[string]string{}, map[string]string{}
	for i, p := range w.cluster.Processes {
		if i < len(w.layout.control) {
			control[p.Name] = p.PeerAddress
		} else {
			directors[p.Name] = p.PeerAddress
		}
	}
	return control, directors
}
