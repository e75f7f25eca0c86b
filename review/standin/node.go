package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workTime is how long a node takes to answer.
const workTime = 10 * time.Millisecond

// dispatch is a request that arrived whole at a node.
type dispatch struct {
	node      *node
	id        string // of the client's request
	fields    map[string]string
	firstByte time.Time // when its first byte was seen
	status    string    // the word of the answer; reset: the connection was reset in place of an answer
	copyFrom  int64     // Unix millisecond at which the origin gave out the copy of the answer; 0: none
}

// class returns the class of the request.
func (d *dispatch) class() string { return d.fields["c"] }

// mayHaveRun returns whether the answer leaves it open that the request ran.
func (d *dispatch) mayHaveRun() bool {
	return d.status != "NONE" && d.status != "SHED" && d.status != "LATE"
}

// node is a cache node, a parent or the origin. It keeps copies of what it was asked for. No case lasts so long after a purge
// that the settings oblige the node to drop older copies by itself.
type node struct {
	id       uint32
	name     string
	kind     string // a name of the settings' models
	zone     string // a name of the settings' zones
	farm     *farm
	listener net.Listener

	mu     sync.Mutex
	copies map[string]int64 // by object and part: Unix millisecond at which the origin gave out the copy
}

// farm is what all nodes share: the settings of the classes and what arrived.
type farm struct {
	log *record
	// writes has the classes that run at the origin and are not kept.
	writes map[string]bool
	// resetAfter is called with each request that has run. If it returns true the node resets the connection in place of an
	// answer.
	resetAfter func(*dispatch) bool
	// workFor returns how long a request takes; nil: workTime for all.
	workFor func(*dispatch) time.Duration

	mu         sync.Mutex
	dispatches []*dispatch
	sockets    []net.Conn
}

// startNode starts a node at a free port.
func (f *farm) startNode(id uint32, name, kind, zone string) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{id: id, name: name, kind: kind, zone: zone, farm: f, listener: listener, copies: map[string]int64{}}
	go n.accept()
	return n, nil
}

// address returns the address at which the node listens.
func (n *node) address() netip.AddrPort { return netip.MustParseAddrPort(n.listener.Addr().String()) }

// host returns the node's id as text.
func (n *node) host() string { return fmt.Sprintf("s-%08x", n.id) }

// accept serves connections until the listener is closed.
func (n *node) accept() {
	for {
		socket, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.farm.mu.Lock()
		n.farm.sockets = append(n.farm.sockets, socket)
		n.farm.mu.Unlock()
		go n.serve(&nodeConn{node: n, socket: socket, given: map[string]bool{}})
	}
}

// nodeConn is one connection to a node.
type nodeConn struct {
	node   *node
	socket net.Conn

	mu    sync.Mutex
	given map[string]bool // requests that the director gave up
}

// serve reads commands until the connection ends.
func (n *node) serve(c *nodeConn) {
	defer c.socket.Close()
	in := bufio.NewReader(c.socket)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		words, err := readCommand(in)
		if err != nil {
			return
		}
		switch {
		case len(words) == 4 && words[0] == "GET":
			arrived := &dispatch{node: n, id: words[1], fields: parseFields(words[2]), firstByte: firstByte}
			n.farm.note(arrived, words[2])
			go c.answer(arrived)
		case len(words) == 2 && words[0] == "DROP":
			n.farm.log.add("node %s: DROP %s", n.name, words[1])
			c.mu.Lock()
			c.given[words[1]] = true
			c.mu.Unlock()
		case len(words) == 2 && words[0] == "PING":
			c.write(response(words[1], "PONG", "-", ""))
		default:
			return
		}
	}
}

// note records a request that arrived.
func (f *farm) note(arrived *dispatch, fields string) {
	f.mu.Lock()
	f.dispatches = append(f.dispatches, arrived)
	f.mu.Unlock()
	f.log.add("node %s: GET %s %s (first byte at %s)", arrived.node.name, arrived.id, fields, f.log.at(arrived.firstByte))
}

// all returns the requests that arrived so far.
func (f *farm) all() []*dispatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*dispatch{}, f.dispatches...)
}

// setOutcome records how a request was answered.
func (f *farm) setOutcome(d *dispatch, status string, copyFrom int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.status, d.copyFrom = status, copyFrom
}

// answer runs a request and writes its answer.
func (c *nodeConn) answer(d *dispatch) {
	f := c.node.farm
	takes := workTime
	if f.workFor != nil {
		takes = f.workFor(d)
	}
	time.Sleep(takes)
	status, copyFrom, note := c.node.run(d)
	if f.resetAfter != nil && status == "HIT" && f.resetAfter(d) {
		f.setOutcome(d, "reset", 0)
		f.log.add("node %s: ran %s, then resets the connection", c.node.name, d.id)
		if tcp, ok := c.socket.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.socket.Close()
		return
	}
	f.setOutcome(d, status, copyFrom)
	c.mu.Lock()
	given := c.given[d.id]
	c.mu.Unlock()
	if given {
		return
	}
	f.log.add("node %s: %s %s %s, copy of %d", c.node.name, status, d.id, note, copyFrom)
	fields, body := "-", ""
	if status == "HIT" {
		fields = fmt.Sprintf("sum=t%x,t0=%d,note=%s", copyFrom, copyFrom, note)
		body = fmt.Sprintf("object=%s part=%s t0=%d %s", d.fields["k"], d.fields["p"], copyFrom, strings.Repeat("x", 2000))
	}
	c.write(response(d.id, status, fields, body))
}

// run answers from the node's own copy if that is young enough, and else from the source, if one is named.
func (n *node) run(d *dispatch) (status string, copyFrom int64, note string) {
	now := time.Now().UnixMilli()
	if n.farm.writes[d.class()] {
		return "HIT", now, "fetched_root"
	}
	key := d.fields["k"] + "/" + d.fields["p"]
	limit, _ := strconv.ParseInt(d.fields["agelim"], 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	if kept, ok := n.copies[key]; ok && (limit == 0 || now-kept <= limit) {
		return "HIT", kept, "cached"
	}
	if d.fields["next"] == "" && n.kind != originKind {
		return "NONE", 0, ""
	}
	if d.fields["admit"] != "" && d.fields["admit"] != "0" {
		n.copies[key] = now
	}
	return "HIT", now, "fetched"
}

// write writes an answer. An error ends the connection at its reader.
func (c *nodeConn) write(message []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.socket.Write(message)
}
