package hollow

// This file runs a host as a child process.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// ReadyLine is the line of JSON that the process of a host writes to its standard output once it runs.
type ReadyLine struct {
	Address string `json:"desk"` // where it answers queries
}

// Bounds of a process.
const (
	maxStartTime = 30 * time.Second
	maxExitTime  = 5 * time.Second
	queryTimeout = 10 * time.Second
	maxLogBytes  = 1 << 20
)

// Process is a host in a child process.
type Process struct {
	Spec    Spec
	Address string // where it answers queries

	command *exec.Cmd
	stdin   io.Closer     // the process ends when this is closed
	dir     string        // of the spec's file
	exited  chan struct{} // closed when the process has ended
	log     boundedLog
}

// boundedLog is an io.Writer that keeps the first maxLogBytes of a log.
type boundedLog struct {
	mu  sync.Mutex // guards raw
	raw []byte
}

// Write appends text to the log, as far as maxLogBytes allow. It never fails.
func (l *boundedLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	length := min(len(text), maxLogBytes-len(l.raw))
	l.raw = append(l.raw, text[:length]...)
	return len(text), nil
}

// Start runs the built program as a host, and waits until it answers queries. The process runs with GOMAXPROCS=threads; 0
// leaves GOMAXPROCS as it is.
func Start(program string, spec Spec, threads int) (*Process, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return nil, err
	}
	p := &Process{Spec: spec, dir: dir, exited: make(chan struct{})}
	if err := p.start(program, threads); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return p, nil
}

// start starts the process and waits for its ready line.
func (p *Process) start(program string, threads int) error {
	path, err := p.writeSpec()
	if err != nil {
		return err
	}
	p.command = exec.Command(program, "--log-level", "warn", "hollow", path)
	p.command.Env = os.Environ()
	if threads > 0 {
		p.command.Env = append(p.command.Env, "GOMAXPROCS="+strconv.Itoa(threads))
	}
	p.command.Stderr = &p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process even if its parent is killed
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return err
	}
	output, processOutput, err := os.Pipe()
	if err != nil {
		return err
	}
	defer output.Close()
	p.command.Stdout = processOutput
	err = p.command.Start()
	processOutput.Close()
	if err != nil {
		return err
	}
	go func() { // ends with the process; Kill and awaitExit wait for it
		p.command.Wait()
		close(p.exited)
	}()
	return p.readAddress(output)
}

// writeSpec writes the spec to a file and returns its path.
func (p *Process) writeSpec() (path string, err error) {
	raw, err := json.Marshal(&p.Spec)
	if err != nil {
		return "", err
	}
	path = filepath.Join(p.dir, "spec.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// readAddress reads the ready line from the output of the process. It kills the process if the line does not arrive within
// maxStartTime.
func (p *Process) readAddress(output *os.File) error {
	output.SetReadDeadline(time.Now().Add(maxStartTime))
	text, err := bufio.NewReader(output).ReadBytes('\n')
	var ready ReadyLine
	if err == nil {
		err = json.Unmarshal(text, &ready)
	}
	if err != nil {
		p.Kill()
		return fmt.Errorf("hollow: no valid ready line from the process: %w\n%s", err, p.Log())
	}
	p.Address = ready.Address
	return nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Log returns the first maxLogBytes of what the process has logged.
func (p *Process) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return string(p.log.raw)
}

// Signal sends a signal to the process. SIGHUP makes it reload its cluster configuration files.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Kill ends the process immediately and waits for its end.
func (p *Process) Kill() {
	p.command.Process.Kill()
	p.stdin.Close()
	<-p.exited
	os.RemoveAll(p.dir)
}

// Close closes the standard input of the process, which makes it end. If it does not end within maxExitTime, Close kills
// it and returns an error.
func (p *Process) Close() error {
	p.command.Process.Signal(syscall.SIGCONT) // a stopped process cannot end
	p.stdin.Close()
	return p.awaitExit("after its standard input was closed")
}

// Shutdown sends SIGTERM, which makes the process hand over its jobs and end. If it does not end within maxExitTime, Shutdown
// kills it and returns an error.
func (p *Process) Shutdown() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.awaitExit("after SIGTERM")
}

// awaitExit waits for the end of the process, or kills it after maxExitTime. The error names the request to end by the text of
// when.
func (p *Process) awaitExit(when string) error {
	defer os.RemoveAll(p.dir)
	select {
	case <-p.exited:
		return nil
	case <-time.After(maxExitTime):
		p.Kill()
		return fmt.Errorf("hollow: process %d did not end %s within %v", p.PID(), when, maxExitTime)
	}
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
