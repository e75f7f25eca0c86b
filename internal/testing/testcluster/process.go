package testcluster

// This file starts a process of a cluster, sends it signals, and records its log.

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"indigochute.example/indigochute/internal/cluster"
)

// maxLogBytes is the maximum size of the recorded log of each process.
const maxLogBytes = 4 << 20

// Process is one process of a cluster, a director or a control machine. It may be started and ended many times.
type Process struct {
	Name          string
	ClientAddress netip.AddrPort // where it accepts clients
	PeerAddress   string         // where it accepts other processes; dialing it bypasses the fault proxy

	cluster       *Cluster
	index         int    // among all processes
	directorIndex int    // among those that serve clients
	reportEnded   func() // reports the end of this director to the emulator; nil if it serves no clients

	mu         sync.Mutex    // guards the fields below
	command    *exec.Cmd     // nil while the process does not run
	exited     chan struct{} // closed when the latest incarnation has ended
	log        bytes.Buffer  // of all incarnations
	paused     bool
	exitErrors []error // of each ended incarnation; nil for an exit code of 0
}

// Start starts the process, without any state of an earlier incarnation. The process must not be running.
func (p *Process) Start() error {
	config, err := p.writeConfig()
	if err != nil {
		return err
	}
	args := []string{"serve"}
	if !p.cluster.options.NoClusterConfig {
		args = append(args, "--operator", p.clusterConfigPath())
	}
	command := exec.Command(p.cluster.options.Program, args...)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	command.Stderr = logWriter{p}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also ends the process if the calling process is killed
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited, p.paused = command, exited, false
	p.mu.Unlock()
	p.cluster.AddEvent(p.Name, "started")
	go p.awaitExit(command, exited)
	return nil
}

// awaitExit waits until an incarnation ends and records how it ended. Then it closes exited, for which Kill and Shutdown wait.
func (p *Process) awaitExit(command *exec.Cmd, exited chan<- struct{}) {
	err := command.Wait()
	p.mu.Lock()
	p.exitErrors = append(p.exitErrors, err)
	p.command = nil
	p.mu.Unlock()
	p.cluster.AddEvent(p.Name, fmt.Sprintf("ended: %v", err))
	close(exited)
}

// errNotRunning returns the error of a signal or a query to a process that does not run.
func (p *Process) errNotRunning() error { return fmt.Errorf("testcluster: %s is not running", p.Name) }

// signal sends a signal to the process and records an event with the given message.
func (p *Process) signal(signal syscall.Signal, message string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return p.errNotRunning()
	}
	switch signal {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	p.cluster.AddEvent(p.Name, message)
	return p.command.Process.Signal(signal)
}

// Running reports whether the process runs and is not paused.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused
}

// Kill ends the process at once, if it runs, and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	exited, running := p.exited, p.command != nil
	p.mu.Unlock()
	if running {
		p.signal(syscall.SIGKILL, "killed")
		<-exited
	}
}

// Pause stops the process with SIGSTOP. Its connections stay open.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP, "paused") }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT, "woken") }

// Shutdown shuts the process down gracefully and waits for its end. It returns an error if that takes longer than within.
func (p *Process) Shutdown(within time.Duration) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if err := p.signal(syscall.SIGTERM, "shutting down"); err != nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(within):
		return fmt.Errorf("testcluster: %s did not shut down within %v", p.Name, within)
	}
}

// Restart kills the process, if it runs, and starts it again without any state.
func (p *Process) Restart() error {
	p.Kill()
	return p.Start()
}

// ExitErrors returns the exit error of each incarnation that has ended, nil for an exit code of 0.
func (p *Process) ExitErrors() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.exitErrors)
}

// Status queries the process directly, without the fault proxy.
func (p *Process) Status() (*cluster.Status, error) { return cluster.QueryInstance(p.PeerAddress) }

// Log returns the log of all incarnations of the process so far. Lines after maxLogBytes are not recorded.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// logWriter is an io.Writer that appends to the log of a process.
type logWriter struct{ process *Process }

// Write appends text to the log unless the log has reached maxLogBytes. It never fails.
func (w logWriter) Write(text []byte) (int, error) {
	w.process.mu.Lock()
	defer w.process.mu.Unlock()
	if w.process.log.Len() < maxLogBytes {
		w.process.log.Write(text)
	}
	return len(text), nil
}
