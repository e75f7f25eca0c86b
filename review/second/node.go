package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// Kinds of nodes, as positions in the models of the settings.
const (
	cacheKind = iota
	parentKind
	originKind
)

// bodyBytes is the size of each object's part.
const bodyBytes = 2000

// copyKey names one part of an object.
type copyKey struct{ object, part string }

// command is a request that a node received.
type command struct {
	resp.Command
	node *node
	at   time.Time // when it had arrived whole
}

// node is a stand-in for a cache node, a parent or the origin. A cache keeps a copy of each part that it was asked for; it serves
// that copy if it is young enough for the request, and else gets a new one from the origin.
type node struct {
	id       uint32
	kind     int
	record   *record
	listener net.Listener
	received func(command)               // called with each request
	delay    func(command) time.Duration // how long the answer takes; nil: no time
	refuses  func(command) bool          // whether the answer is an error; nil: none is

	mu        sync.Mutex
	copies    map[copyKey]int64 // Unix millisecond at which the origin gave out the copy
	cancelled map[string]bool
	conns     []net.Conn
}

// startNode starts a node.
func startNode(record *record, id uint32, kind int, received func(command)) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{id: id, kind: kind, record: record, listener: listener, received: received,
		copies: map[copyKey]int64{}, cancelled: map[string]bool{}}
	go n.accept()
	return n, nil
}

// name returns the node's id as the protocol writes it.
func (n *node) name() string { return discovery.FormatID(n.id) }

// endpoint returns the node's entry in the list.
func (n *node) endpoint(state routing.State) discovery.Endpoint {
	address := netip.MustParseAddrPort(n.listener.Addr().String())
	return discovery.Endpoint{ID: n.id, Addr: address, State: state, Kind: n.kind, Capacity: 1}
}

func (n *node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns = append(n.conns, conn)
		n.mu.Unlock()
		go n.serve(conn)
	}
}

// serve answers the commands on one connection until it ends.
func (n *node) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	in := bufio.NewReader(conn)
	for {
		read, err := resp.ReadCommand(in)
		if err != nil {
			return
		}
		at := time.Now()
		switch {
		case read.HealthCheck:
			write(conn, &writing, &resp.Response{ID: read.ID, Status: resp.Pong})
		case read.Cancel:
			n.mu.Lock()
			n.cancelled[read.ID] = true
			n.mu.Unlock()
		default:
			go n.answer(conn, &writing, command{read, n, at})
		}
	}
}

// answer answers a request after the node's delay, unless it was given up before.
func (n *node) answer(conn net.Conn, writing *sync.Mutex, asked command) {
	if n.refuses != nil && n.refuses(asked) {
		response := refusal(asked)
		write(conn, writing, &response)
		return
	}
	n.received(asked)
	n.record.lineAt(asked.at, "node %s: GET %s %s object %s part %s agelim %d ms next %s", n.name(), asked.ID, asked.Class,
		asked.Object, asked.Part, asked.Order.MaxAge.Milliseconds(), asked.Source)
	if n.delay != nil {
		time.Sleep(n.delay(asked))
	}
	n.mu.Lock()
	gone := n.cancelled[asked.ID]
	n.mu.Unlock()
	if gone {
		n.record.line("node %s: %s was given up", n.name(), asked.ID)
		return
	}
	response := n.copyFor(asked)
	n.record.line("node %s: answers %s with the copy of %d, note %s", n.name(), asked.ID, response.Fetched, noteOf(response.Fill))
	write(conn, writing, &response)
}

// noteOf names the note of an answer.
func noteOf(fill routing.Fill) string {
	if fill == routing.CacheHit {
		return "cached"
	}
	return "fetched"
}

// copyFor returns the answer of a node to a request: from its own copy if that is not too old, else from a new one. A write runs
// and has no copy.
func (n *node) copyFor(asked command) resp.Response {
	now := time.Now().UnixMilli()
	key := copyKey{asked.Object, asked.Part}
	n.mu.Lock()
	defer n.mu.Unlock()
	fetched, held := n.copies[key]
	limit := asked.Order.MaxAge.Milliseconds()
	fill := routing.CacheHit
	if !held || limit > 0 && now-fetched > limit || asked.Class == writeClass {
		fetched, fill = now, routing.Filled
		if asked.Class != writeClass {
			n.copies[key] = fetched
		}
	}
	return resp.Response{ID: asked.ID, Status: resp.Hit, Fill: fill, Fetched: fetched, Body: bodyOf(asked.Object, asked.Part, fetched)}
}

// close ends the node.
func (n *node) close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.Close()
	}
}

// write writes an answer to a director.
func write(conn net.Conn, writing *sync.Mutex, response *resp.Response) {
	writing.Lock()
	defer writing.Unlock()
	conn.Write(resp.AppendResponse(nil, response))
}

// bodyOf returns the bytes of an object's part. They begin with the object, the part and the Unix millisecond of the copy.
func bodyOf(object, part string, fetched int64) []byte {
	head := fmt.Sprintf("%s %s %d ", object, part, fetched)
	return []byte(head + strings.Repeat(".", bodyBytes-len(head)))
}
