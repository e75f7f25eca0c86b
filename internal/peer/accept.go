package peer

// The accept loop of a bus. It bounds the rate of accepts and goes on after errors of the listener.

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Delays after a failed accept. The delay doubles with each failure in a row.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// acceptBurstSeconds is the burst of the accept rate, in seconds at that rate.
const acceptBurstSeconds = 0.25

// acceptBackoff is the exponential backoff of an accept loop. An error of Accept must not end the loop: after a temporary one,
// such as EMFILE, the process would never accept a connection again. It logs at most one line a second.
type acceptBackoff struct {
	delay    time.Duration // before the last retry; 0 after a successful accept
	logLimit LogLimit
	log      *logrus.Entry // nil: nothing is logged
}

// failed returns how long to wait after an error of Accept. The wait is 0 after an interrupted system call, and after a
// connection that its client aborted before it was accepted.
func (a *acceptBackoff) failed(err error) time.Duration {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return 0
	}
	if a.delay == 0 {
		a.delay = minAcceptDelay
	} else {
		a.delay = min(2*a.delay, maxAcceptDelay)
	}
	if errors.Is(err, net.ErrClosed) { // the end of the loop, no fault
		return a.delay
	}
	if skipped, ok := a.logLimit.Allow(time.Now()); ok && a.log != nil {
		a.log.WithError(err).WithField("skipped", skipped).Warn("peer: no connection can be accepted")
	}
	return a.delay
}

// succeeded resets the backoff.
func (a *acceptBackoff) succeeded() { a.delay = 0 }

// accept accepts connections at the accept rate until Close.
func (b *Bus) accept() {
	backoff := acceptBackoff{log: b.options.Log}
	rate := tokenBucket{rate: b.options.AcceptRate, burst: max(1, acceptBurstSeconds*b.options.AcceptRate)}
	for {
		if !b.pause(rate.take(time.Now(), 1)) {
			return
		}
		socket, err := b.listener.Accept()
		if err != nil {
			if !b.pause(backoff.failed(err)) {
				return
			}
			continue
		}
		backoff.succeeded()
		if !b.startInbound(socket) {
			return
		}
	}
}

// pause waits for a delay, or until Close. It returns false if the bus is closing.
func (b *Bus) pause(delay time.Duration) bool {
	select {
	case <-b.stop:
		return false
	default:
	}
	if delay <= 0 {
		return true
	}
	select {
	case <-b.stop:
		return false
	case <-time.After(delay):
		return true
	}
}

// startInbound serves a connection in a goroutine of its own. If more than maxUnidentified connections have sent no hello, it
// closes the oldest of them, which guards against clients that connect and send nothing. It returns false if the bus is closing;
// the connection is closed then.
func (b *Bus) startInbound(socket net.Conn) bool {
	connection := &inbound{bus: b, socket: socket}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stop: // Close may have closed all connections already, and would not see this one
		socket.Close()
		return false
	default:
	}
	b.unidentified = append(b.unidentified, connection)
	if len(b.unidentified) > maxUnidentified {
		b.unidentified[0].setState(inboundClosed)
		b.counts.Displaced++
	}
	b.goroutines.Go(connection.run)
	return true
}
