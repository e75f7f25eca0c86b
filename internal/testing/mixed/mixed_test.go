// Package mixed holds one test: a director under load while faults of all kinds occur at once.
//
// The director runs in a process of its own (director_test.go), which process_test.go starts and stops. Clients
// (clients_test.go) load it. Cache nodes (nodes_test.go) and a discovery service (discovery_test.go) serve it.
// disturbances_test.go makes them and the process fail. Each records its observations in a trial (trial_test.go). After the load,
// judge_test.go checks these records against the rules that a director must follow.
package mixed

import (
	"flag"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seedFlag     = flag.Uint64("mixed.seed", 46, "seed of all random draws")
	loadTimeFlag = flag.Duration("mixed.span", 30*time.Second, "duration of the load")
)

const (
	nodeCount       = 12
	clientCount     = 40
	descriptors     = 400                    // limit of the director's sockets
	maxTrials       = 3                      // until one is valid
	maxMachineStop  = 500 * time.Millisecond // a trial is valid if the machine itself stopped for at most this time
	shortLoadTime   = 10 * time.Second       // longest load with -short
	quietTime       = 3 * time.Second        // at the end of the load, without faults, to measure whether requests are served again
	settleTime      = time.Second            // at the beginning of quietTime, when requests are not counted yet
	maxStepInterval = 150 * time.Millisecond // between the steps of a client
	shutdownWithin  = 10 * time.Second       // from SIGTERM to the end of the process
)

// A director is under load while its system calls fail, its process is paused and its locks are held for a long time. Nodes hang,
// reset connections, and answer late, twice or not at all. Clients disconnect, cancel, and write in pieces or incompletely. Nodes
// are added, removed and moved, objects are purged, and the discovery service is silent or moves. The director must still follow
// these rules:
//
//   - Each request that was read and whose client waits has exactly one final answer, at most 0.5 s after its deadline.
//   - No attempt begins more than 0.1 s after its client cancelled or disconnected.
//   - The timeout of an attempt exceeds the time until the client's deadline by at most 0.15 s when the attempt arrives.
//   - No non-idempotent request is sent again while an earlier attempt may have been executed.
//
// If the machine itself stops for long, messages in transit are cut off. Such a trial is invalid and is repeated.
func TestDirectorKeepsRequestRulesUnderConcurrentFaults(t *testing.T) {
	for range maxTrials {
		trial := runTrial(t)
		stopped := max(trial.lateness.Quantile(1), trial.longestTimeWithoutCPU())
		if stopped <= maxMachineStop {
			trial.checkRecords()
			if t.Failed() {
				t.Logf("end of the director's log:\n%s", trial.logTail())
			}
			return
		}
		t.Logf("invalid trial: the machine itself stopped for %v, more than %v", stopped.Round(time.Millisecond), maxMachineStop)
	}
	t.Fatalf("%d trials were invalid: give the machine more free cores or less load", maxTrials)
}

// runTrial runs a trial and returns it once the director's process has ended.
func runTrial(t *testing.T) *trial {
	trial := newTrial(t, *seedFlag, *loadTimeFlag, filepath.Join(t.TempDir(), "config.json"))
	t.Logf("seed %d, %v", trial.seed, trial.loadTime)
	nodes := trial.startNodes(nodeCount)
	service := &discoveryService{closed: trial.loadEnded}
	watch, err := service.listen()
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	listener := listen(t)
	trial.address = listener.Addr().String()
	trial.configure(trial.configuration(watch.Addr().String(), nodes))
	process := trial.launch(listener)
	listener.Close() // the process has its own descriptor
	defer process.cmd.Process.Kill()
	trial.awaitReady()

	trial.loadStart = time.Now()
	go trial.lateness.Run(trial.loadEnded)
	var running sync.WaitGroup
	running.Go(func() { trial.pauseProcess(process.cmd.Process) })
	running.Go(func() { trial.disturbNodes(nodes, &running) })
	running.Go(func() { trial.changeList(nodes, service, process.cmd.Process) })
	for number := range clientCount {
		running.Go(func() { trial.runClient(number) })
	}
	time.Sleep(trial.loadTime)
	close(trial.loadEnded)
	running.Wait() // clients wait until their requests are answered or answerGrace is over
	trial.shutDown(process)
	return trial
}

// startNodes starts cache nodes, which are closed when the test ends.
func (t *trial) startNodes(count int) (nodes []*node) {
	t.Helper()
	for i := range count {
		n, err := t.newNode(uint32(i + 1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.close)
		nodes = append(nodes, n)
	}
	return nodes
}

// listen listens on a free loopback port.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// shutDown sends SIGTERM to the director's process, and waits for its end and for all its reports.
func (t *trial) shutDown(p *process) {
	t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.reportsRead:
	case <-time.After(shutdownWithin):
		t.Error("the director's process still runs after SIGTERM")
		p.cmd.Process.Kill()
		<-p.reportsRead
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the director's process ended with %v: %s", err, t.logTail())
	}
}
