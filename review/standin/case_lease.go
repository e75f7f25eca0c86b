package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/lease"
)

const (
	controls   = 5
	jobs       = 20
	shortLease = 1200 * time.Millisecond
	longLease  = 8 * time.Second
	jobPeriod  = time.Second
	jobTakes   = 750 * time.Millisecond
)

// installation is a set of control machines with a proxy on each link between two of them.
type installation struct {
	stage     *stage
	called    *called
	addresses []string
	links     map[[2]int]*link // by the machine that dials and the machine that it dials
	running   []*process
}

// leaseLengthened plays a lease that is made longer by a restart of the control machines in turn, and a machine that is cut off.
func leaseLengthened(s *stage) (verdict, error) { return playLease(s, longLease) }

// leaseUnchanged is the same with the lease as it was: the restarts and the cut alone.
func leaseUnchanged(s *stage) (verdict, error) { return playLease(s, shortLease) }

// playLease restarts the control machines c0 and c1 with a lease, then cuts c0 off, which leads.
func playLease(s *stage, lease time.Duration) (result verdict, err error) {
	const cutFor = 10 * time.Second
	in, err := s.install()
	if err != nil {
		return result, err
	}
	defer in.close()
	for machine := range controls {
		if err := in.start(machine, shortLease); err != nil {
			return result, err
		}
	}
	if err := in.awaitReady(10 * time.Second); err != nil {
		return result, err
	}
	for tries := 0; in.leader() != 0; tries++ {
		if tries == 3 {
			return result, errors.New("c0 does not lead")
		}
		if err := in.restart(in.leader(), shortLease); err != nil { // it hands over to the first that is there
			return result, err
		}
	}
	s.log.add("c0 leads; now the restarts in turn with a lease of %v", lease)
	for machine := range 2 {
		if machine == 1 {
			if err := in.restartUntilGone(machine, lease); err != nil {
				return result, err
			}
			break
		}
		if err := in.restart(machine, lease); err != nil {
			return result, err
		}
	}
	if err := in.await("c0 leads again and runs jobs", 4*time.Second, func() bool {
		_, runs := in.called.seen("c0")
		return in.leader() == 0 && runs > 0
	}); err != nil {
		return result, err
	}
	time.Sleep(2 * jobPeriod)
	if stale, _ := in.called.seen("c0"); len(stale) > 0 {
		return result, errors.New("a former holder acted before the cut: " + stale[0])
	}
	if s.opts.trouble {
		s.log.add("c0 is cut off from the other control machines")
		for pair, l := range in.links {
			if pair[0] == 0 || pair[1] == 0 {
				l.cut()
			}
		}
	}
	time.Sleep(cutFor)
	stale, runs := in.called.seen("c0")
	s.log.say("%d runs of c0", runs)
	for _, text := range stale {
		result.broken("two machines act as the holder of one lease: %s", text)
	}
	return result, nil
}

// install starts the nodes, the journal service, the called system and the proxies.
func (s *stage) install() (*installation, error) {
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	var err error
	if s.journal, err = startJournal(s.log, 0); err != nil {
		return nil, err
	}
	in := &installation{stage: s, links: map[[2]int]*link{}, running: make([]*process, controls)}
	if in.called, err = startCalled(s.log, jobTakes); err != nil {
		return nil, err
	}
	for range controls {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		in.addresses = append(in.addresses, address)
	}
	for from := range controls {
		for to := range controls {
			if from == to {
				continue
			}
			if in.links[[2]int{from, to}], err = startLink(in.addresses[to]); err != nil {
				return nil, err
			}
		}
	}
	return in, nil
}

// close ends the proxies and the called system.
func (in *installation) close() {
	for _, l := range in.links {
		l.close()
	}
	in.called.server.Close()
}

// start starts a control machine with a lease.
func (in *installation) start(machine int, lease time.Duration) error {
	s, name := in.stage, fmt.Sprintf("c%d", machine)
	config, operator := filepath.Join(s.opts.scratch, name+".json"), filepath.Join(s.opts.scratch, name+".yaml")
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	deployment := site{
		classes: []classSettings{
			{name: "manual-page", idempotency: "read_like", group: "all", aim: 250000, deadline: 2500000, window: 3000000},
		},
		noteLevel: "all", drainGrace: 1000000, purgeGrace: 1000000, sendCap: 8, memoryMB: 64,
	}
	if err := s.writeConfig(config, name, listen, deployment); err != nil {
		return err
	}
	if err := os.WriteFile(operator+".new", []byte(in.operatorFile(machine, lease)), 0o600); err != nil {
		return err
	}
	if err := os.Rename(operator+".new", operator); err != nil {
		return err
	}
	s.log.add("%s starts with a lease of %v", name, lease)
	in.running[machine], err = startProcess(s.opts, name, "exec bin/indigochute serve --operator "+operator, config, s.log)
	if in.running[machine] != nil {
		s.members = append(s.members, in.running[machine])
	}
	return err
}

// operatorFile returns the operator file as one machine has it: the others are reached over its proxies.
func (in *installation) operatorFile(machine int, lease time.Duration) string {
	var b strings.Builder
	b.WriteString("control:\n")
	for other, address := range in.addresses {
		if other != machine {
			address = in.links[[2]int{machine, other}].listener.Addr().String()
		}
		fmt.Fprintf(&b, "  - {name: c%d, address: \"%s\", region: r%d, zone: z%d, site: s%d}\n", other, address, other, other, other)
	}
	b.WriteString("directors:\n  - {name: d0, region: r0, zone: z0, site: s9}\n")
	fmt.Fprintf(&b, "lease: %dms\nbeat: 250ms\ndrift: 1%%\nduties:\n", lease.Milliseconds())
	for job := range jobs {
		fmt.Fprintf(&b, "  - {name: sweep-%02d, kind: call, address: \"%s\", period: %dms, timeout: 900ms}\n", job, in.called.server.Addr(),
			jobPeriod.Milliseconds())
	}
	return b.String()
}

// stop sends SIGTERM to a machine and waits until its process has ended.
func (in *installation) stop(machine int) error {
	in.running[machine].signal(syscall.SIGTERM)
	select {
	case <-in.running[machine].ended:
		in.stage.log.add("c%d has ended", machine)
		return nil
	case <-time.After(15 * time.Second):
		return fmt.Errorf("c%d does not end", machine)
	}
}

// restart restarts a machine with a lease and waits until all is well again.
func (in *installation) restart(machine int, lease time.Duration) error {
	if err := in.restartUntilGone(machine, lease); err != nil {
		return err
	}
	return in.awaitReady(lease + 10*time.Second)
}

// restartUntilGone restarts a machine with a lease and does not wait for it.
func (in *installation) restartUntilGone(machine int, lease time.Duration) error {
	if err := in.stop(machine); err != nil {
		return err
	}
	return in.start(machine, lease)
}

// leader returns the machine that leads, or -1.
func (in *installation) leader() int {
	for machine, address := range in.addresses {
		if status, err := cluster.QueryInstance(address); err == nil && status.Lease.Role == lease.RoleLeader {
			return machine
		}
	}
	return -1
}

// awaitReady waits until there is a leader, no machine is in its quiet period and each machine holds leases.
func (in *installation) awaitReady(patience time.Duration) error {
	return in.await("all control machines take part", patience, func() bool {
		held := 0
		for _, address := range in.addresses {
			status, err := cluster.QueryInstance(address)
			if err != nil || status.Lease.Role == lease.RoleStarting || len(status.Lease.Owned) == 0 {
				return false
			}
			held += len(status.Lease.Owned)
		}
		return held >= jobs && in.leader() >= 0
	})
}

// await waits for a condition.
func (in *installation) await(what string, patience time.Duration, condition func() bool) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			in.stage.log.add("%s; c%d leads", what, in.leader())
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", patience, what)
}
