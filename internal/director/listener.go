package director

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// This file opens the listener and accepts client connections, with retries after faults of this host.

const (
	// listenTimeout is how long the director retries to open its listener at the start if a fault of this host prevents it.
	listenTimeout = time.Second
	// maxAcceptBackoff is the longest wait between a failed accept and the next one.
	maxAcceptBackoff = 100 * time.Millisecond
	// maxAbortedInRow is how many aborted connections in a row are retried immediately, without a backoff.
	maxAbortedInRow = 16
	// acceptCloseTimeout is how long accepting is retried after the first fault during shutdown, so that connections that
	// arrived before the listener was stopped are still accepted.
	acceptCloseTimeout = 50 * time.Millisecond
)

// listen opens the director's listener. If a fault of this host prevents that, it retries until listenTimeout.
func (d *Director) listen(ctx context.Context) (net.Listener, error) {
	end := time.Now().Add(listenTimeout)
	for wait := newBackoff(); ; {
		listener, err := d.network.Listen(d.config.Listen.String())
		if err == nil || !isTransientListenFault(err) || time.Now().After(end) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(wait.take()):
		}
	}
}

// isTransientListenFault returns whether a failure to listen may resolve by itself. An address in use counts as permanent,
// since another program holds it.
func isTransientListenFault(err error) bool {
	return isLocalFault(err) && !errors.Is(err, syscall.EADDRINUSE)
}

// acceptor accepts client connections. It belongs to the goroutine that runs Director.accept.
type acceptor struct {
	director  *Director
	listener  net.Listener
	closing   <-chan struct{} // closed once the director takes no new connections
	backoff   backoff
	aborted   int              // number of connections in a row that were aborted before accept returned them
	closeTime <-chan time.Time // fires acceptCloseTimeout after the first fault after closing; nil until that fault
	queue     acceptQueue
	backlog   acceptBacklog
}

// accept accepts client connections until the listener is closed, or until the listener's deadline passes with no connection
// waiting. If all places are taken, an idle connection is evicted, so that accept does not wait for a client to leave. Faults
// end it only after closing is closed and acceptCloseTimeout has passed since the first fault after that.
func (d *Director) accept(listener net.Listener, closing <-chan struct{}) {
	defer listener.Close()
	a := newAcceptor(d, listener, closing)
	for a.acceptNext() {
	}
}

// newAcceptor returns an acceptor for the listener's connections.
func newAcceptor(d *Director, listener net.Listener, closing <-chan struct{}) *acceptor {
	return &acceptor{
		director: d,
		listener: listener,
		closing:  closing,
		backoff:  newAcceptBackoff(),
		queue:    newAcceptQueue(listener),
		backlog:  acceptBacklog{emptyAt: d.clock.now()},
	}
}

// newAcceptBackoff returns the backoff between failed calls of accept.
func newAcceptBackoff() backoff { return backoff{next: firstBackoff, limit: maxAcceptBackoff} }

// acceptNext accepts one connection, or waits after a fault. It returns false once no more connections are accepted.
func (a *acceptor) acceptNext() bool {
	clock := a.director.clock
	a.director.paceNextConnection()
	called := clock.now()
	a.backlog.noteQueue(called, a.queue.isEmpty())
	socket, err := a.listener.Accept()
	returned := clock.now()
	arrival := min(returned, clock.arrivalTimeOfCall(called))
	switch {
	case err == nil:
		a.backoff, a.aborted = newAcceptBackoff(), 0
		a.admit(socket, a.backlog.noteAccepted(returned, arrival))
		return true
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return false
	case errors.Is(err, syscall.ECONNABORTED), errors.Is(err, syscall.EINTR):
		if a.aborted++; a.aborted <= maxAbortedInRow {
			return true
		}
	}
	a.backlog.noteFault(called, returned, arrival)
	a.director.acceptLog.line(a.director.log.WithError(err), "accept")
	return a.pause()
}

// admit starts reading a connection if there is a place for it.
func (a *acceptor) admit(socket net.Conn, waitedSince time.Duration) {
	d := a.director
	c := newClientConn(d, socket)
	c.setConnectedAt(waitedSince)
	d.clients.awaitPlace()
	if d.clients.admit(c, d.clock.now()) {
		go c.read()
	}
}

// pause waits after a fault. It returns false once faults have lasted for acceptCloseTimeout after closing.
func (a *acceptor) pause() bool {
	wait := a.backoff.take()
	if isClosed(a.closing) {
		if a.closeTime == nil {
			a.closeTime = time.After(acceptCloseTimeout)
		}
		wait = firstBackoff
	}
	select {
	case <-a.closeTime:
		return false
	case <-time.After(wait):
		return true
	}
}
