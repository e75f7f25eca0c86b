package mixed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

const (
	readyWithin   = 20 * time.Second      // from the start of the process until it is ready
	readyInterval = 10 * time.Millisecond // between two readiness checks
	readyTimeout  = time.Second           // for one readiness check
	logTailBytes  = 4000                  // bytes at the end of the director's log that a failed test shows
)

// process is the director's process.
type process struct {
	cmd         *exec.Cmd
	reportsRead chan struct{} // closed when the process has ended and its last report was recorded
}

// configuration returns the director's configuration, with the discovery service at the given address.
func (t *trial) configuration(service string, nodes []*node) string {
	var classEntries, hosts []string
	for _, c := range classes {
		us := c.deadline.Microseconds()
		classEntries = append(classEntries, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"idempotency":%q,"group":"all","window":%d}`,
			c.name, us, us, c.effect, us))
	}
	for _, n := range nodes {
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":%q,"site":"here","class":"box","health":"SERVING"}`, n.id, n.endpoint(0).Addr))
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"%016x","journal":%q,
 "limits":{"cores":%d,"memory_mb":128,"sockets":%d},
 "known":{"pos":%d,"entries":[{"pos":%d,"hosts":{"whole":true,"hosts":[%s,
  {"host":"s-000000aa","dial":"127.0.0.1:1","site":"here","class":"mid","health":"SERVING"}]}}]},
 "settings":{"classes":[%s],"instances":1,"zone":0,"zones":["here"],"models":["box","mid"],
 "domain":{"midKind":1,"sourceKind":9,"passOn":[false,false,false,false],"hubOf":[0],"zoneBalancers":[1]},
 "limits":{"sendCap":4,"cancel":true,"retryAfter":true,"maxRetryAfter":1000000,"maxStreams":32},
 "rules":{"fallMultiple":3,"tipAfter":1000000,"rampTime":2000000,"startCapacity":0.2}}}`,
		t.address, t.seed, service, directorCores, descriptors, firstEvent, firstEvent, strings.Join(hosts, ","), strings.Join(classEntries, ","))
}

// configure replaces the configuration file by a rename, as operators do.
func (t *trial) configure(text string) {
	t.Helper()
	if err := os.WriteFile(t.configPath+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(t.configPath+".new", t.configPath); err != nil {
		t.Fatal(err)
	}
}

// logPath returns the path of the director's log.
func (t *trial) logPath() string { return t.configPath + ".log" }

// launch starts the director's process on a listener, and records its reports until its end.
func (t *trial) launch(listener *net.TCPListener) *process {
	t.Helper()
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close() // the process has its own descriptor
	cmd := exec.Command(os.Args[0])
	cmd.ExtraFiles = []*os.File{file}
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", seedVariable, t.seed), "ROUTER_CONFIG="+t.configPath,
		fmt.Sprintf("%s=%d", faultTimeVariable, (t.loadTime-quietTime).Milliseconds()))
	log, err := os.Create(t.logPath())
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close() // the process has its own descriptor
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, reportsRead: make(chan struct{})}
	go func() {
		defer close(p.reportsRead)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if err := t.recordReport(lines.Text()); err != nil {
				t.Errorf("invalid report %q of the director's process: %v", lines.Text(), err)
			}
		}
	}()
	return p
}

// recordReport records one line that the director's process wrote.
func (t *trial) recordReport(line string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	kind, text, _ := strings.Cut(line, " ")
	switch kind {
	case reportCounts:
		return json.Unmarshal([]byte(text), &t.injectedCounts)
	case reportStall:
		s, err := parseStall(text)
		t.stalls = append(t.stalls, s)
		return err
	case reportSlow:
		s, err := parseStall(text)
		t.slowLines = append(t.slowLines, s)
		return err
	case reportDelay:
		s, client, err := parseDelay(text)
		t.delayedWrites[client] = append(t.delayedWrites[client], s)
		return err
	case reportFault:
		f, err := parseFault(text)
		t.injected[f.Remote] = append(t.injected[f.Remote], f)
		return err
	}
	return fmt.Errorf("unknown kind of report %q", kind)
}

// awaitReady waits until the director answers a readiness check.
func (t *trial) awaitReady() {
	t.Helper()
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(readyInterval) {
		if t.isReady() {
			return
		}
	}
	t.Fatalf("the director is not ready in time: %s", t.logTail())
}

// isReady reports whether the director answers a readiness check.
func (t *trial) isReady() bool {
	conn, err := net.Dial("tcp", t.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(readyTimeout))
	conn.Write(msgpack.AppendReadinessCheck(nil, 1))
	_, err = msgpack.ReadResponse(bufio.NewReader(conn))
	return err == nil
}

// logTail returns the end of the director's log.
func (t *trial) logTail() string {
	b, _ := os.ReadFile(t.logPath())
	return string(b[max(0, len(b)-logTailBytes):])
}
