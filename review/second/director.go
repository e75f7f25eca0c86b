package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
)

// Times of the settings, those of the site depot-media.
const (
	drainGrace = time.Second           // sends to a draining node must end this long after the director was told
	purgeGrace = time.Second           // the same for answers from copies older than a purge
	purgeDone  = 6 * time.Second       // by then caches have dropped copies older than a purge by themselves
	slack      = 50 * time.Millisecond // on sockets every time limit is longer by this
)

// runCommand finds the run command in the deploy file.
var runCommand = regexp.MustCompile(`(?m)^run = ("(?:[^"\\]|\\.)*")`)

// directorProcess is the director under review.
type directorProcess struct {
	address string
	command *exec.Cmd
	log     *os.File

	mu      sync.Mutex
	ending  bool // the case ends the process
	exited  chan struct{}
	exitErr error
}

// settings returns the settings of a small deployment with one zone of clients and caches: those of depot-media.
func settings(pageDeadline time.Duration) map[string]any {
	class := func(name, effect string, aim, deadline, window time.Duration) map[string]any {
		return map[string]any{
			"name": name, "aim": aim.Microseconds(), "aimStretch": 2.0, "deadline": deadline.Microseconds(), "group": "all",
			"idempotency": effect, "window": window.Microseconds(), "lateWorth": 0.2, "streaming": false, "value": 1.0,
		}
	}
	return map[string]any{
		"classes": []any{
			class(clipClass, "read_like", 500*time.Millisecond, 6*time.Second, 5*time.Second),
			class(pageClass, "read_like", min(250*time.Millisecond, pageDeadline), pageDeadline, 5*time.Second),
			class(writeClass, "idempotency_key", 600*time.Millisecond, 3*time.Second, 3*time.Second),
		},
		"discovery": "push",
		"domain": map[string]any{
			"canJoin": false, "classFresh": []int64{0, 12000000, 0}, "classGrace": []int64{0, 10000000, 0}, "flowKbPerS": 8600.0,
			"heedWithin": purgeGrace.Microseconds(), "hubOf": []int{0}, "inParts": []bool{true, false, false}, "mayPassBy": false,
			"midKind": parentKind, "noteLevel": "all", "parentBreaksAt": 2.0, "parentFloor": 0.075, "passOn": []bool{false, false, true},
			"purgeSettles": purgeDone.Microseconds(), "siblings": "location", "sourceKind": originKind, "upperCold": 21000000,
			"zoneBalancers": []int{1},
		},
		"family": "edge", "instances": 1,
		"limits": map[string]any{
			"cancel": true, "connIdle": 30000000, "dialTimeout": 400000, "maxOpen": 20000, "maxRetryAfter": 1000000, "maxStreams": 32,
			"mayDuplicate": false, "peerMessages": false, "probing": false, "retryAfter": true, "sendCap": 8,
		},
		"me": 0, "models": []string{"depot-cache", "parent", "origin"},
		"rules": map[string]any{
			"answerSlack": 8000, "drainGrace": drainGrace.Microseconds(), "fallMultiple": 3.0, "rampTime": 17000000,
			"startCapacity": 0.16, "tipAfter": 3000000,
		},
		"tenants": []any{}, "weightKind": "none", "zone": 0, "zones": []string{"central"},
	}
}

// configuration returns the configuration of the director.
func (s *stage) configuration(listen, journal string, known *discovery.Snapshot) ([]byte, error) {
	return json.MarshalIndent(map[string]any{
		"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "journal": journal, "flow_bytes_per_s": 8600000,
		"link_bytes_per_s": 34400000, "limits": map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"known": known, "settings": settings(s.pageDeadline),
	}, "", " ")
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startDirector starts the director with the run command of the deploy file, and waits until it accepts connections. The current
// folder must be the root of the repository.
func startDirector(s *stage, journal string, known *discovery.Snapshot) (*directorProcess, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := runCommand.FindSubmatch(deploy)
	if found == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run command")
	}
	run, err := strconv.Unquote(string(found[1]))
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	raw, err := s.configuration(listen, journal, known)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, "director.log"))
	if err != nil {
		return nil, err
	}
	p := &directorProcess{address: listen, command: exec.Command("/bin/sh", "-c", run), log: log, exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_CONFIG="+path, "TMPDIR="+s.folder)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		log.Close()
		return nil, err
	}
	go func() {
		p.exitErr = p.command.Wait()
		close(p.exited)
	}()
	return p, p.awaitListening()
}

// awaitListening waits until the director accepts connections.
func (p *directorProcess) awaitListening() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if err := p.failure(); err != nil {
			return err
		}
		if conn, err := net.DialTimeout("tcp", p.address, time.Second); err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("the director does not accept connections")
}

// failure returns an error if the process ended although nobody told it to.
func (p *directorProcess) failure() error {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		if !p.ending {
			return fmt.Errorf("the director ended by itself: %v", p.exitErr)
		}
	default:
	}
	return nil
}

// close kills the process.
func (p *directorProcess) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.ending = true
	p.mu.Unlock()
	p.command.Process.Kill()
	<-p.exited
	p.log.Close()
}
