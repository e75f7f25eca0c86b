// Package director serves clients over sockets and carries out the decisions of package routing. One mutex guards the
// routing state, and no goroutine blocks while it holds that mutex. One goroutine reads each connection, and one goroutine
// runs each request from its admission to its answer.
package director

import (
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// This file has the director's shared state and the delivery of routing's orders to requests.

// Director is one director: a listener, the connections to clients, nodes and the journal service, and the routing state.
type Director struct {
	config  *config.Config
	log     *logrus.Entry
	classes map[string]int // index of the configuration's classes by name
	pool    *connectionPool
	bounds  bounds
	clock   *clock
	network Network

	connectionLog   *rateLimitedLog // connections to nodes and stalls of the process
	acceptLog       *rateLimitedLog // errors of accept
	clientLog       *rateLimitedLog // client connections; a separate log, so that faulty clients do not suppress other lines
	clients         clientSet
	messagePacer    *pacer              // of messages without success
	connectionPacer *pacer              // of connections that end without a success
	observer        Observer            // nil: none
	journalMoves    chan netip.AddrPort // new addresses of the journal service; buffers the newest one only
	shuttingDown    atomic.Bool         // the shutdown signal was received
	rejecting       atomic.Bool         // set in the last phases of the shutdown: requests that are read are rejected
	openRequests    boundedCounter      // requests that were read and not rejected, until their goroutines end
	bodyBytes       boundedCounter      // body bytes held by all requests
	ownBodyBytes    boundedCounter      // of these, those of the requests' own bodies

	mu          sync.Mutex // guards the fields below, the clock's timers, and the answerDue and holdsID of requests
	router      *routing.Director
	requests    map[uint32]*request // by the id for routing, until the request's goroutine ends
	openIDs     map[string]bool     // request ids in use, which clients must not use again yet
	unresolved  unresolvedIDs       // ids of requests that may have been executed and whose client has left
	lastID      uint32              // the last id that nextID returned
	journal     *journalClock
	lastEvent   uint64        // number of the last discovery event applied
	lastGap     discovery.Gap // the last gap in the numbers of discovery events
	watchNumber int           // number of the current discovery watch; counts the moves of the journal service
}

// New returns a director that has applied the events in its configuration. It opens no socket and starts no goroutine; Run
// does both.
func New(conf *config.Config, log *logrus.Entry) *Director {
	d := &Director{
		config:        conf,
		log:           log,
		classes:       map[string]int{},
		bounds:        newBounds(conf),
		clock:         newClock(),
		network:       systemNetwork{},
		connectionLog: &rateLimitedLog{log: log, interval: connectionLogInterval},
		clientLog:     &rateLimitedLog{log: log, interval: connectionLogInterval},
		acceptLog:     &rateLimitedLog{log: log, interval: acceptLogInterval},
		journal:       newJournalClock(),
		journalMoves:  make(chan netip.AddrPort, 1),
		requests:      map[uint32]*request{},
		openIDs:       map[string]bool{},
		unresolved:    newUnresolvedIDs(),
	}
	for i, name := range conf.ClassNames {
		d.classes[name] = i
	}
	d.messagePacer = newPacer(d.clock, messageShare, conf.Cores)
	d.connectionPacer = newPacer(d.clock, connectionShare, conf.Cores)
	d.clients = newClientSet(d.bounds.clientSockets)
	d.pool = newConnectionPool(conf, d.bounds.nodeSockets, d.clock, d.connectionLog)
	d.mu.Lock()
	defer d.mu.Unlock()
	settings := conf.Settings
	settings.MaxRecordBytes = d.bounds.maxRecordBytes
	d.router = routing.New(settings, d)
	// All these events were made before the director started. The journal clock therefore reads all their stamps before any
	// event is applied, so that the newest stamp determines the times of all.
	for _, known := range conf.Known {
		d.journal.updateOrigin(0, known)
	}
	for _, known := range conf.Known {
		d.applyEvent(known)
	}
	d.lastEvent = conf.LastEvent
	return d
}

// The methods from here to CheckHealth implement routing.Executor. Routing calls them while the director's mutex is held, so
// none may block. They forward the order to the request's goroutine.

// StartAttempt makes a request start an attempt.
func (d *Director) StartAttempt(id uint32, order routing.AttemptOrder) {
	d.deliverOrder(id, func(r *request) { r.startAttempt(order) })
}

// CancelAttempt makes a request cancel one of its attempts.
func (d *Director) CancelAttempt(id uint32, number int) {
	d.deliverOrder(id, func(r *request) { r.cancelAttempt(number, Cancelled) })
}

// Reject makes a request answer that it was not executed, with the time after which the client may retry.
func (d *Director) Reject(id uint32, retryAfter time.Duration) {
	d.deliverFinal(id, func(r *request) { r.reject(retryAfter) })
}

// Fail makes a request answer with an error. The request may have been executed.
func (d *Director) Fail(id uint32) {
	d.deliverFinal(id, func(r *request) { r.fail("given up") })
}

// SetTimer schedules a call of routing.Director.HandleTimer with the token after the wait.
func (d *Director) SetTimer(wait time.Duration, token uint32) { d.clock.setTimer(wait, token) }

// CheckHealth pings a node and reports the result to routing. It reports nothing if no socket can be spared or a fault of
// this host prevents the check.
func (d *Director) CheckHealth(id uint32) {
	d.pool.checkHealth(id, func(result routing.Result) {
		d.mu.Lock()
		defer d.mu.Unlock()
		defer d.recoverDefect("probe")
		d.router.HandleHealthCheck(d.clock.now(), id, result)
	})
}

// deliverOrder queues an order for a request. It drops the order if the request is unknown, which is the case after the
// request's goroutine ended with a panic.
func (d *Director) deliverOrder(id uint32, order func(*request)) {
	if r := d.requests[id]; r != nil {
		r.orders <- func() { order(r) } // never blocks: the channel has room for all orders that routing may give
	}
}

// deliverFinal queues an order for the final answer, unless the final answer is no longer due.
func (d *Director) deliverFinal(id uint32, order func(*request)) {
	if r := d.requests[id]; r != nil && r.answerDue {
		r.answerDue = false
		d.deliverOrder(id, order)
	}
}

// nextID returns an id that no open request has, even after the counter has wrapped around. The caller holds the director's
// mutex.
func (d *Director) nextID() uint32 {
	d.lastID++
	for d.requests[d.lastID] != nil {
		d.lastID++
	}
	return d.lastID
}

// defaultRetryAfter is the Retry-After of a rejection if routing panics while it computes one.
const defaultRetryAfter = 100 * time.Millisecond

// retryAfter returns the time after which a client may retry a request that was rejected because a bound was reached. The id
// serves only to spread the retries of different requests over time.
func (d *Director) retryAfter(id uint32) (wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverDefect("retry after")
	wait = defaultRetryAfter // the result if routing panics
	return d.router.RetryAfter(id)
}

// recoverDefect recovers from a panic and logs it; callers defer it. It keeps a defect in the handling of one request, timer
// or event from ending the process.
func (d *Director) recoverDefect(where string) {
	if fault := recover(); fault != nil {
		d.logPanic(where, fault)
	}
}

// logPanic logs a recovered panic with the stack of the calling goroutine.
func (d *Director) logPanic(where string, fault any) {
	d.log.WithField("panic", fault).Errorf("%s: %s", where, debug.Stack())
}

// isClosed returns whether a channel is closed. It requires a channel on which no value is ever sent.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
