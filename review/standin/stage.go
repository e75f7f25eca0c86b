package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Kinds of nodes in the settings, and the zones: one hub for parents and origin, and the location of the director.
const (
	cacheKind  = "box-a"
	parentKind = "parent"
	originKind = "origin"
	hubZone    = "hub"
	ownZone    = "branch"
)

// object is a JSON object.
type object = map[string]any

// classSettings are the settings of one class. Times are in microseconds.
type classSettings struct {
	name, idempotency, group string
	aim, deadline, window    int
	fresh, grace             int
	inParts, write           bool
}

// site is what differs between the settings of the cases. Times are in microseconds.
type site struct {
	classes    []classSettings
	mayBypass  bool
	noteLevel  string
	drainGrace int
	purgeGrace int
	sendCap    int
	duplicate  bool
	memoryMB   int
}

// stage has the stand-ins and the director of one run.
type stage struct {
	opts     options
	log      *record
	farm     *farm
	caches   []*node
	parents  []*node
	origin   *node
	journal  *journal
	director *process
	members  []*process // control machines, and what a case restarted
	listen   string

	mu     sync.Mutex
	random *rand.Rand
}

// newStage returns a stage without nodes.
func newStage(opts options, log *record) *stage {
	const seed = 53
	return &stage{opts: opts, log: log, farm: &farm{log: log, writes: map[string]bool{}}, random: rand.New(rand.NewPCG(seed, seed))}
}

// newID returns 16 hex digits that no request had before.
func (s *stage) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%016x", s.random.Uint64())
}

// open starts the nodes, the journal service and the director, and waits until the director is ready.
func (s *stage) open(deployment site, firstAfter time.Duration) error {
	if err := s.startNodes(); err != nil {
		return err
	}
	for _, class := range deployment.classes {
		s.farm.writes[class.name] = class.write
	}
	var err error
	if s.journal, err = startJournal(s.log, firstAfter); err != nil {
		return err
	}
	if s.listen, err = freeAddress(); err != nil {
		return err
	}
	path := filepath.Join(s.opts.scratch, "config.json")
	if err := s.writeConfig(path, "n0", s.listen, deployment); err != nil {
		return err
	}
	if s.director, err = startDirector(s.opts, path, s.log); err != nil {
		return err
	}
	return s.awaitReady()
}

// startNodes starts three caches, two parents and the origin.
func (s *stage) startNodes() error {
	for _, planned := range []struct {
		name, kind, zone string
		list             *[]*node
	}{
		{"cache-0", cacheKind, ownZone, &s.caches}, {"cache-1", cacheKind, ownZone, &s.caches}, {"cache-2", cacheKind, ownZone, &s.caches},
		{"parent-0", parentKind, hubZone, &s.parents}, {"parent-1", parentKind, hubZone, &s.parents},
	} {
		started, err := s.farm.startNode(uint32(s.random.Uint64()>>33|1), planned.name, planned.kind, planned.zone)
		if err != nil {
			return err
		}
		*planned.list = append(*planned.list, started)
	}
	var err error
	s.origin, err = s.farm.startNode(uint32(s.random.Uint64()>>33|1), "origin", originKind, hubZone)
	return err
}

// nodes returns all nodes.
func (s *stage) nodes() []*node {
	if s.origin == nil {
		return nil
	}
	return append(append(append([]*node{}, s.caches...), s.parents...), s.origin)
}

// freeAddress returns a loopback address whose port was free just now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// writeConfig writes a configuration to a path.
func (s *stage) writeConfig(path, name, listen string, deployment site) error {
	raw, err := json.MarshalIndent(s.config(name, listen, deployment), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// config returns the configuration of a director or a control machine.
func (s *stage) config(name, listen string, deployment site) object {
	var hosts []any
	for _, n := range s.nodes() {
		hosts = append(hosts, object{"host": n.host(), "dial": n.address().String(), "site": n.zone, "class": n.kind,
			"block": 0, "health": "SERVING", "share": 1, "born_ms": 0})
		s.log.add("%s is %s at %s", n.name, n.host(), n.address())
	}
	return object{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "journal": s.journal.listener.Addr().String(),
		"limits":           object{"cores": 1.0, "memory_mb": deployment.memoryMB, "sockets": 256},
		"flow_bytes_per_s": 8600000, "link_bytes_per_s": 34400000,
		"known": object{"pos": firstEvent - 1, "entries": []any{
			object{"pos": firstEvent - 1, "hosts": object{"seq": 1, "whole": true, "hosts": hosts}}}},
		"settings": deployment.settings(),
	}
}

// settings returns the settings of the deployment.
func (deployment site) settings() object {
	var classes, fresh, grace, parts, passOn, worth, flow []any
	for _, class := range deployment.classes {
		classes = append(classes, object{"name": class.name, "aim": class.aim, "aimStretch": 2.0, "deadline": class.deadline,
			"idempotency": class.idempotency, "group": class.group, "window": class.window, "value": 1.0, "lateWorth": 0.2,
			"streaming": false})
		fresh, grace = append(fresh, class.fresh), append(grace, class.grace)
		parts, passOn = append(parts, class.inParts), append(passOn, class.write)
		worth = append(worth, 0.5)
	}
	flow = append(flow, 0.0, 0.0)
	return object{
		"classes": classes, "discovery": "push", "family": "edge", "instances": 1, "me": 0, "tick": 2000, "tier": 0,
		"tiers": []any{"caches"}, "models": []any{cacheKind, parentKind, originKind}, "zone": 1, "zones": []any{hubZone, ownZone},
		"weightKind": "none", "worthBy": "request", "overShareWorth": 0.1, "clientHabits": object{"marksRetry": false},
		"domain": object{"canJoin": false, "classFresh": fresh, "classGrace": grace, "feedKbPerS": flow, "flowKbPerS": 8600.0,
			"heedWithin": deployment.purgeGrace, "hubOf": []any{0, 0}, "inParts": parts, "inletCost": 0.02,
			"mayPassBy": deployment.mayBypass, "midKind": 1, "sourceKind": 2, "noteLevel": deployment.noteLevel,
			"originOverFor": 3000000, "parentBreaksAt": 2.0, "parentFloor": 0.075, "passOn": passOn, "purgeSettles": 6000000,
			"rootFallMultiple": 0.0, "siblings": "location", "upperCold": 21000000, "worthWhenOld": worth, "zoneBalancers": []any{0, 1}},
		"limits": object{"cancel": true, "connIdle": 30000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "dialTimeout": 400000,
			"maxOpen": 20000, "maxRetryAfter": 1000000, "maxStreams": 32, "mayDuplicate": deployment.duplicate,
			"peerMessages": false, "probing": false, "retryAfter": true, "sendCap": deployment.sendCap},
		"loadReport": object{"how": "none", "fields": []any{}},
		"rules": object{"answerSlack": 8000, "askEvery": 10000000, "drainGrace": deployment.drainGrace, "fallMultiple": 3.0,
			"rampTime": 17000000, "startCapacity": 0.16, "tipAfter": 3000000},
	}
}

// awaitReady waits until the director answers that it is ready.
func (s *stage) awaitReady() error {
	const patience = 10 * time.Second
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		front, err := connect("front", s.listen, s.log)
		if err != nil {
			continue
		}
		ready := front.alive()
		front.end()
		if ready {
			s.log.add("the director is ready")
			return nil
		}
	}
	return errors.New("the director is not ready")
}

// connect connects a client.
func (s *stage) connect(name string) (*client, error) { return connect(name, s.listen, s.log) }

// close ends everything that the stage started.
func (s *stage) close() {
	if s.director != nil {
		s.director.kill()
	}
	for _, member := range s.members {
		member.kill()
	}
	if s.journal != nil {
		s.journal.close()
	}
	for _, n := range s.nodes() {
		n.listener.Close()
	}
	s.farm.mu.Lock()
	defer s.farm.mu.Unlock()
	for _, socket := range s.farm.sockets {
		socket.Close()
	}
}

// process is one process of the project's programs.
type process struct {
	name    string
	command *exec.Cmd
	log     *record
	output  string
	ended   chan struct{}
	err     error
}

// startDirector starts a director by the run command of the deploy file, from the root of the repository.
func startDirector(opts options, config string, log *record) (*process, error) {
	run, err := deployCommand(filepath.Join(opts.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	return startProcess(opts, "director", run, config, log)
}

// startProcess starts a command from the root of the repository, with the configuration at a path. Its process id is added to the
// file pids, so that the script can end what is left.
func startProcess(opts options, name, run, config string, log *record) (*process, error) {
	p := &process{name: name, log: log, output: filepath.Join(opts.scratch, name+".log"), ended: make(chan struct{})}
	file, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p.command = exec.Command("/bin/sh", "-c", run)
	p.command.Dir = opts.root
	p.command.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+opts.scratch)
	p.command.Stdout, p.command.Stderr = file, file
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	log.add("started %s as process %d", name, p.command.Process.Pid)
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	pids, err := os.OpenFile(filepath.Join(opts.scratch, "pids"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return p, err
	}
	defer pids.Close()
	_, err = fmt.Fprintln(pids, p.command.Process.Pid)
	return p, err
}

// deployCommand returns the run command in a deploy file.
func deployCommand(path string) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return "", fmt.Errorf("%s has no run command", path)
}

// signal sends a signal to the process and writes that to the record.
func (p *process) signal(s syscall.Signal) {
	p.log.add("%s gets signal %v", p.name, s)
	p.command.Process.Signal(s)
}

// stillRuns returns an error if the process has ended by itself.
func (p *process) stillRuns() error {
	select {
	case <-p.ended:
		return fmt.Errorf("%s ended: %v", p.name, p.err)
	default:
		return nil
	}
}

// kill ends the process and copies its log to the record.
func (p *process) kill() {
	p.command.Process.Signal(syscall.SIGCONT)
	p.command.Process.Kill()
	<-p.ended
	raw, err := os.ReadFile(p.output)
	if err != nil {
		return
	}
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		p.log.add("log of %s: %s", p.name, line)
	}
}
