package peer

// The accept loop of a bus. It limits the rate of accepts and continues after errors of the listener.

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Delays after a failed accept. The delay doubles with each consecutive failure.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
)

// acceptBurstSeconds is the burst that the accept rate allows, in seconds at that rate.
const acceptBurstSeconds = 0.25

// acceptBackoff is the exponential backoff of an accept loop. An error of Accept must not end the loop, because after a temporary
// error, such as EMFILE, the process would never accept a connection again. It logs at most one line a second.
type acceptBackoff struct {
	delay    time.Duration // before the last retry; 0 after a successful accept
	logLimit LogLimit
	log      *logrus.Entry // nil disables logging
}

// delayAfter returns the delay before the next accept after an error of Accept. The delay is 0 after an interrupted system call, and
// after a connection that the client aborted before it was accepted.
func (a *acceptBackoff) delayAfter(err error) time.Duration {
	if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
		return 0
	}
	if a.delay == 0 {
		a.delay = minAcceptDelay
	} else {
		a.delay = min(2*a.delay, maxAcceptDelay)
	}
	if errors.Is(err, net.ErrClosed) { // the loop is about to end, which is not a fault
		return a.delay
	}
	if skipped, ok := a.logLimit.Allow(time.Now()); ok && a.log != nil {
		a.log.WithError(err).WithField("skipped", skipped).Warn("peer: cannot accept connections")
	}
	return a.delay
}

// reset resets the backoff.
func (a *acceptBackoff) reset() { a.delay = 0 }

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
			if !b.pause(backoff.delayAfter(err)) {
				return
			}
			continue
		}
		backoff.reset()
		if !b.startInbound(socket) {
			return
		}
	}
}

// pause waits until a delay has passed or Close is called. It returns false if the bus is closing.
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

// startInbound serves a connection in a new goroutine. If more than maxUnidentified connections have sent no hello, it closes the
// oldest of them. This guards against clients that connect and send nothing. If the bus is closing, it closes the connection and
// returns false.
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
