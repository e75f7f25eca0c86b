package director

import (
	"context"
	"net"
	"os"
	"time"

	"indigochute.example/indigochute/internal/config"
)

// This file runs the director and shuts it down gracefully.
//
// After the shutdown signal, clients still connect and send requests for some tenths of a second. On open connections they may
// write until the process is killed. The kill comes 0.7 s plus the longest client timeout, counted as 3 s at most, after the
// signal. All requests that are read are answered before that. These are the phases; drainSchedule computes their times:
//
//	until acceptAfterSignal   the director serves as before
//	after acceptAfterSignal   each connection is closed once no request is open on it
//	after failAt              open requests fail, requests that are still read are rejected immediately, and connections are
//	                          closed even if bytes are unread
//	after partialMessagesAt   the writing side of a connection without open requests is closed, even if a message has arrived
//	                          in part, since that is not a request yet
//	after endAt               the writing side of a connection without open requests is closed, even if bytes may be unread
//	after closeAt             connections of clients that do not read their answers are closed, 70 ms before the kill

const (
	acceptAfterSignal  = 700 * time.Millisecond // how long the director serves as before after the signal
	maxDrainTime       = 3 * time.Second        // bound on the longest client timeout
	drainMargin        = 300 * time.Millisecond // from the longest client timeout to failAt
	drainGrace         = 300 * time.Millisecond // from failAt to endAt
	partialMessageLead = 50 * time.Millisecond  // from partialMessagesAt to endAt
	closeDelay         = 30 * time.Millisecond  // from endAt to closeAt
	drainPoll          = 5 * time.Millisecond   // interval of the loop in drain
)

// drainSchedule holds the times at which the phases of a shutdown begin.
type drainSchedule struct {
	failAt, endAt time.Time
}

// newDrainSchedule computes the times of the phases. failAt is never before the end of acceptAfterSignal, so that no request
// fails while the director still serves as before.
func newDrainSchedule(signalAt time.Time, longestDeadline time.Duration) drainSchedule {
	longest := min(longestDeadline, maxDrainTime)
	return drainSchedule{
		failAt: signalAt.Add(max(acceptAfterSignal, longest+drainMargin)),
		endAt:  signalAt.Add(max(acceptAfterSignal, longest+drainMargin+drainGrace)),
	}
}

func (s drainSchedule) partialMessagesAt() time.Time { return s.endAt.Add(-partialMessageLead) }
func (s drainSchedule) closeAt() time.Time           { return s.endAt.Add(closeDelay) }

// Run serves until the context ends, then shuts down gracefully. At each reload signal it reads the configuration again. It
// returns an error only if it cannot listen.
func (d *Director) Run(ctx context.Context, reloads <-chan os.Signal, read func() (*config.Config, error)) error {
	listener, err := d.listen(ctx)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.watchReloads(stop, reloads, read)
	d.serve(ctx, listener)
	return nil
}

// serve runs the director on a listener until the context ends, then shuts it down gracefully.
func (d *Director) serve(ctx context.Context, listener net.Listener) {
	stop := make(chan struct{})
	defer close(stop)
	go d.runTimers(stop)
	go d.watchDiscovery(stop)
	accepted, closing := make(chan struct{}), make(chan struct{})
	go func() {
		d.accept(listener, closing)
		close(accepted)
	}()
	d.log.WithField("listen", listener.Addr()).Info("serving")
	<-ctx.Done()
	d.shutDown(listener, closing, accepted)
}

// shutDown runs the phases of a shutdown, beginning now. It closes closing once the director accepts no new connections. The
// caller closes accepted once all connections that arrived before that were accepted.
func (d *Director) shutDown(listener net.Listener, closing chan<- struct{}, accepted <-chan struct{}) {
	schedule := newDrainSchedule(time.Now(), d.longestDeadline())
	d.shuttingDown.Store(true)
	d.log.Info("leaving")
	time.Sleep(acceptAfterSignal)
	close(closing)
	stopListening(listener)
	d.drain(schedule, accepted)
	d.log.Info("shutdown complete, all client connections are closed")
}

// stopListening sets a deadline on the listener, so that accept still returns the connections that have arrived and then
// fails. It closes a listener that has no deadlines.
func stopListening(listener net.Listener) {
	if withDeadline, ok := listener.(interface{ SetDeadline(time.Time) error }); ok {
		withDeadline.SetDeadline(time.Now().Add(drainPoll))
	} else {
		listener.Close()
	}
}

// drain closes all client connections. It returns once no more are accepted and none is left. A client sends elsewhere again
// what it writes just as its connection is closed.
func (d *Director) drain(schedule drainSchedule, accepted <-chan struct{}) {
	for !isClosed(accepted) || d.clients.each((*clientConn).closeWhenIdle) > 0 {
		d.drainOnce(schedule, time.Now())
		time.Sleep(drainPoll)
	}
}

// drainOnce carries out the actions of all phases that have begun.
func (d *Director) drainOnce(schedule drainSchedule, now time.Time) {
	if now.After(schedule.failAt) {
		d.rejecting.Store(true)
		d.failAllOpen()
		d.clients.each((*clientConn).closeAfterAnswers)
	}
	if now.After(schedule.partialMessagesAt()) {
		d.clients.each((*clientConn).closeWriteIfCaughtUp)
	}
	if now.After(schedule.endAt) {
		d.clients.each(func(c *clientConn) { c.closeWriteIfIdle() })
	}
	if now.After(schedule.closeAt()) {
		d.clients.each(func(c *clientConn) { c.close(Stopped, nil) })
	}
}

// longestDeadline returns the longest client timeout of all request classes.
func (d *Director) longestDeadline() (longest time.Duration) {
	for _, class := range d.config.Settings.Classes {
		longest = max(longest, class.MaxDeadline)
	}
	return longest
}

// failAllOpen fails every open request. The requests may have been executed.
func (d *Director) failAllOpen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.requests {
		d.deliverFinal(id, func(r *request) { r.fail("leaving") })
		d.router.HandleClientGone(d.clock.now(), id)
	}
}
