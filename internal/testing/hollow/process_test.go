package hollow

// This file tests hosts in processes of their own.

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hasExited reports whether a process has ended.
func hasExited(pid int) bool { return syscall.Kill(pid, 0) != nil }

// Hosts in processes answer queries and reload their files. They end at the end of their standard input, at SIGTERM, and when
// they are killed.
func TestProcessesAnswerReloadAndEnd(t *testing.T) {
	t.Parallel()
	control, err := StartControlPlane(program, Layout{Directors: 4, Settings: trialJobs}, 3, 10)
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	var hosts []*Process
	for i := range 2 {
		p, err := control.StartDirectors(program, 2*i, 2)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Kill()
		hosts = append(hosts, p)
	}
	await(t, "events", 20*time.Second, func() bool {
		for _, p := range hosts {
			r, err := p.Report(2)
			if err != nil || len(r.List) != 2 || r.List[1].Accepted < 20 || r.NodesByLinks[2] != 2 {
				return false
			}
		}
		return true
	})
	checkSameEvents(t, hosts)
	checkUplinkBytes(t, hosts[0])
	checkInvalidReload(t, hosts[0], control.ConfigFile)
	checkEnds(t, hosts, control)
	spec := Spec{Nodes: []NodeSpec{{"d0", control.ConfigFile}}} // the file is gone
	if _, err := Start(program, spec, 1); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("starting without a cluster configuration file: error %v, want one that there is no such file", err)
	}
}

// checkSameEvents checks that two hosts accepted the same events, out of those published in a past second.
func checkSameEvents(t *testing.T, hosts []*Process) {
	t.Helper()
	published := TimeRange{From: time.Now().Add(-time.Second).UnixNano(), Until: time.Now().UnixNano()}
	time.Sleep(time.Second)
	var digests []string
	for _, p := range hosts {
		missing, err := p.Missing(published)
		if err != nil || missing.Events < 10 || missing.Incomplete > 0 {
			t.Fatalf("missing %+v, %v, want at least 10 events that both directors accepted", missing, err)
		}
		digests = append(digests, missing.Digest)
		r, err := p.Report(2)
		if err != nil {
			t.Fatal(err)
		}
		checkReport(t, r)
		if vectors, err := p.Vectors(); err != nil || len(vectors.Newest) == 0 {
			t.Errorf("vectors %+v, %v, want positions", vectors, err)
		}
	}
	if digests[0] != digests[1] {
		t.Errorf("digests %v, want equal ones", digests)
	}
}

// checkUplinkBytes checks that uplinks count about as many bytes as the system counts on sockets.
func checkUplinkBytes(t *testing.T, p *Process) {
	t.Helper()
	read := func() (*Report, Usage) {
		t.Helper()
		r, err := p.Report(1)
		if err != nil {
			t.Fatal(err)
		}
		usage, err := ReadUsage(p.PID())
		if err != nil {
			t.Fatal(err)
		}
		return r, usage
	}
	firstReport, firstUsage := read()
	time.Sleep(2 * time.Second)
	lastReport, lastUsage := read()
	rates, seconds := lastUsage.Since(&firstUsage), lastUsage.At.Sub(firstUsage.At).Seconds()
	for _, count := range []struct {
		direction       string
		uplinks, system float64 // bytes a second
	}{
		{"received", float64(lastReport.Received-firstReport.Received) / seconds, rates.Received},
		{"written", float64(lastReport.Written-firstReport.Written) / seconds, rates.Written},
	} {
		if count.system < 0.9*count.uplinks || count.system > 1.1*count.uplinks || count.uplinks == 0 {
			t.Errorf("%s: the system counts %.0f bytes/s, want within 10%% of the uplinks' count %.0f", count.direction, count.system,
				count.uplinks)
		}
	}
	if rates.Cores <= 0 || rates.Cores > 4 || rates.Resident < 1<<20 || lastUsage.Threads < 2 {
		t.Errorf("rates %+v, %d threads, want 0 to 4 cores, at least 1 MiB of memory and 2 threads", rates, lastUsage.Threads)
	}
}

// checkInvalidReload checks that a reload of an invalid cluster configuration is logged and changes nothing.
func checkInvalidReload(t *testing.T, p *Process, configFile string) {
	t.Helper()
	raw, err := os.ReadFile(configFile)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(configFile, []byte("control: 7\n"), 0o600)
	if err := p.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	await(t, "the file is rejected", 5*time.Second, func() bool { return strings.Contains(p.Log(), "not reloaded") })
	os.WriteFile(configFile, raw, 0o600)
	if r, err := p.Report(1); err != nil || r.Nodes != 2 {
		t.Errorf("report %+v, %v, want 2 nodes", r, err)
	}
}

// checkEnds ends the processes in different ways, and checks that they and their files are gone.
func checkEnds(t *testing.T, hosts []*Process, control *ControlPlane) {
	t.Helper()
	var pids []int
	for _, p := range append(hosts, control.Machines...) {
		pids = append(pids, p.PID())
		if hasExited(p.PID()) || !p.Running() {
			t.Errorf("process %d ended too early:\n%s", p.PID(), p.Log())
		}
	}
	if err := hosts[0].Shutdown(); err != nil {
		t.Error(err)
	}
	hosts[1].Signal(syscall.SIGSTOP) // Close resumes a stopped process first
	if err := hosts[1].Close(); err != nil {
		t.Error(err)
	}
	control.Machines[0].Kill()
	if err := control.Close(); err != nil {
		t.Error(err)
	}
	for _, pid := range pids {
		if !hasExited(pid) {
			t.Errorf("process %d has not ended", pid)
		}
	}
	if _, err := os.Stat(control.ConfigFile); err == nil {
		t.Error("the cluster configuration file still exists")
	}
}
