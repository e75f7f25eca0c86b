package service

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// processVariable is the environment variable that makes the test binary run as a director.
const processVariable = "SERVICE_PROCESS"

// Longest waits of a test for a director to listen and for a line of its log.
const (
	startTimeout = 20 * time.Second
	logTimeout   = 20 * time.Second
)

// TestMain runs a director instead of the tests if processVariable is set. Tests that need a director in its own process use this.
func TestMain(m *testing.M) {
	if os.Getenv(processVariable) == "" {
		os.Exit(m.Run())
	}
	if err := Serve(os.Stderr, Options{}); err != nil {
		fmt.Fprintln(os.Stderr, "serve:", err)
		os.Exit(1)
	}
}

// servedProcess is a director in its own process.
type servedProcess struct {
	*exec.Cmd
	address string      // address on which it listens for clients
	config  string      // path of its configuration file
	lines   chan string // lines of its log; closed when the process ends
}

// startServing starts a director and waits until it accepts connections. The process is killed at the end of the test.
func startServing(t *testing.T) *servedProcess {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process := &servedProcess{Cmd: exec.Command(os.Args[0]), address: listener.Addr().String(), lines: make(chan string, 1000)}
	listener.Close()
	_, port, _ := net.SplitHostPort(process.address)
	process.config = writeConfiguration(t, port)
	process.Env = append(os.Environ(), processVariable+"=1", "ROUTER_CONFIG="+process.config)
	stderr, err := process.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill() })
	go func() { // ends with the process
		defer close(process.lines)
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			process.lines <- scanner.Text()
		}
	}()
	for deadline := time.Now().Add(startTimeout); !process.accepts(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the director does not accept connections after %v", startTimeout)
		}
	}
	return process
}

// accepts reports whether the director accepts a connection.
func (p *servedProcess) accepts() bool {
	conn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// waitLog waits for a line of the log that contains all parts.
func (p *servedProcess) waitLog(t *testing.T, parts ...string) {
	t.Helper()
	timeout := time.After(logTimeout)
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				t.Fatalf("the director ended; got no log line with %q", parts)
			}
			if containsAll(line, parts) {
				return
			}
		case <-timeout:
			t.Fatalf("got no log line with %q after %v", parts, logTimeout)
		}
	}
}

// containsAll reports whether a line contains all parts.
func containsAll(line string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(line, part) {
			return false
		}
	}
	return true
}

// TestReloadWithUnreadableFile checks that after SIGHUP with a file that cannot be read or parsed, the director logs the cause and keeps
// its configuration, and that it applies the next valid file.
func TestReloadWithUnreadableFile(t *testing.T) {
	process := startServing(t)
	path := process.config
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	half := complete[:len(complete)/2]
	write := func(content []byte) func() error {
		return func() error { return os.WriteFile(path, content, 0o600) }
	}
	cases := []struct {
		name    string
		prepare func() error // creates the file at path, where nothing exists before
		want    string       // part of the log line
	}{
		{"EIO", func() error { return os.Symlink("/proc/self/mem", path) }, "input/output error"},
		{"folder", func() error { return os.Mkdir(path, 0o700) }, "is a directory"},
		{"missing", func() error { return nil }, "no such file"},
		{"empty", write(nil), "not JSON"},
		{"half written", write(half), "not JSON"},
		{"zeros after half", write(slices.Concat(half, make([]byte, 100))), "not JSON"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if err := os.RemoveAll(path); err != nil {
				t.Fatal(err)
			}
			if err := test.prepare(); err != nil {
				t.Fatal(err)
			}
			process.Process.Signal(syscall.SIGHUP)
			process.waitLog(t, "level=error", "reload: invalid configuration, keeping the current one", test.want)
			if !process.accepts() {
				t.Error("the director no longer accepts connections")
			}
		})
	}
	changed := strings.Replace(string(complete), "127.0.0.1:1\"", "127.0.0.1:2\"", 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	process.Process.Signal(syscall.SIGHUP)
	process.waitLog(t, "level=info", "msg=reload", "journal=\"127.0.0.1:2\"")
	process.Process.Signal(syscall.SIGTERM)
	for range process.lines {
	}
	if err := process.Wait(); err != nil {
		t.Errorf("the director ended with %v, want no error", err)
	}
}
