package director

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file has the state and the bounds of a client's connection. client_reader.go reads messages, client_arrival.go estimates
// when they arrived, client_requests.go handles requests, client_answers.go writes answers, and client_close.go closes the
// connection.

const (
	firstMessageTimeout = 2 * time.Second  // from connecting to the end of the first message
	clientIdleTimeout   = 6 * time.Second  // without an open request; clients close idle connections sooner
	messageTimeout      = 2 * time.Second  // from the first byte of a message to its last
	clientWriteTimeout  = 10 * time.Second // for writing one answer; a client that takes longer counts as gone
	// maxOpenPerClient bounds the open requests of one client. It is somewhat higher than the number that the protocol allows a
	// client, since a request still counts while its answer is being written.
	maxOpenPerClient = 40
	// maxGoroutinesPerClient bounds the goroutines of one client's requests. It is higher than maxOpenPerClient, since the
	// goroutine of a request runs for a while after the answer.
	maxGoroutinesPerClient = 64
	maxShortAnswers        = 64                    // short answers queued for a client that does not read
	shortAnswerTimeout     = 2 * time.Second       // longest wait of a short answer for a place in the full queue
	maxPendingWait         = 20 * time.Millisecond // longest wait of a request until the bytes behind it are read
)

// clientConn is one connection of a client. Only its reader's goroutine starts a graceful close, so that every request that was
// read is answered. Times count from the director's start.
type clientConn struct {
	director   *Director
	socket     net.Conn
	raw        syscall.RawConn // of socket; nil: it is not a socket
	serveSlots chan struct{}   // semaphore with an item for each running goroutine of its requests

	acceptedAt  time.Duration // when the director's accept returned it
	connectedAt time.Duration // the earliest time at which it may have been established

	// The next five fields belong to the reader's goroutine.
	pending      []*request    // requests that were read; they are started once no more bytes are unread
	pendingSince time.Duration // when the first pending request was read
	rejecting    bool          // all further requests are rejected
	arrivingBody int64         // bytes reserved for the body of the message that is being read
	messageBegan int64         // bytesRead when the message that is being read began

	mu                 sync.Mutex          // guards the fields up to closed
	open               map[uint32]*request // by message id, until the answer is written
	shortAnswers       [][]byte            // queued for writeShortAnswers
	shortAnswersTaken  chan struct{}       // signalled each time writeShortAnswers has emptied the queue
	shortWriterRunning bool                // writeShortAnswers is running
	hasSentMessage     bool                // a complete message has arrived
	lastActivity       time.Duration       // when it connected, the last message arrived, or the last answer was written
	midMessage         bool                // a message has arrived only in part
	closeMode          closeMode
	readClosed         bool // no more messages are accepted
	writeClosed        bool // no more answers are written: the client sees the end of the stream
	closed             bool // set by markClosed

	writing        sync.Mutex     // held while answers are written; mu may be locked while it is held, but not the other way round
	bodyBytes      boundedCounter // bytes of bodies that its requests hold
	everServed     atomic.Bool    // a request of this client has succeeded
	emptyAt        atomic.Int64   // a time.Duration: the last time at which no bytes were found unread
	unhandled      atomic.Bool    // the reader may have read bytes that it has not handled; always false if there is no socket
	uselessInRow   atomic.Int32   // number of messages since the last success that were invalid or over a bound
	withoutSuccess atomic.Int32   // number of messages since the last success
	bytesRead      atomic.Int64   // by messages, not by the linger
}

// closeMode is the condition under which a connection is closed. It only increases, in raiseCloseMode.
type closeMode uint8

const (
	staysOpen          closeMode = iota
	closesWhenIdle               // once no request is open on it and no bytes are unread
	closesAfterAnswers           // at shutdown: once all requests that were read are answered
)

// newClientConn returns the clientConn of a connection that was just accepted.
func newClientConn(director *Director, socket net.Conn) *clientConn {
	c := &clientConn{
		director:          director,
		socket:            socket,
		raw:               rawConn(socket),
		serveSlots:        make(chan struct{}, maxGoroutinesPerClient),
		shortAnswersTaken: make(chan struct{}, 1),
		open:              map[uint32]*request{},
		lastActivity:      director.clock.now(),
	}
	c.acceptedAt = c.lastActivity
	c.setConnectedAt(director.clock.arrivalTime())
	return c
}

// isIdle returns whether no answer is pending. Called under mu.
func (c *clientConn) isIdle() bool { return len(c.open) == 0 && !c.shortWriterRunning }

// activity returns when the connection was last active, whether a complete message ever arrived on it, and whether it is
// idle.
func (c *clientConn) activity() (last time.Duration, hasSentMessage, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActivity, c.hasSentMessage, c.isIdle()
}
