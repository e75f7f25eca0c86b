package director

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// This file watches the journal service over one connection, and over several while none of them delivers frames. A silent connection
// may be dead or only slow, which cannot be told apart. So it is kept while another one is tried, and the first that delivers a frame
// is the one that stays.

const (
	// watchSilenceTimeout is how long no frame may arrive before another connection is due. The service sends a frame each second. A
	// change must reach the director within 7 s, even if nothing arrives on two connections.
	watchSilenceTimeout = 1600 * time.Millisecond
	watchRetryDelay     = 200 * time.Millisecond // between the end of a connection, or a silence, and the next dial
	// From the third connection in a row without a frame on, the time until the next one doubles, up to watchSilenceTimeout times
	// maxSilenceFactor: a service that is crowded is not asked ever more.
	undelayedWatchConns = 2
	maxSilenceFactor    = 4
	maxWatchConns       = 5 // at the same time
)

// errJournalSilent is logged when another connection is opened because no frame arrived.
var errJournalSilent = fmt.Errorf("no frame for %v", watchSilenceTimeout)

// journalWatch is the state of the watch. Its fields but the channels belong to watchDiscovery's goroutine.
type journalWatch struct {
	director     *Director
	address      netip.AddrPort
	number       int             // number of moves of the service so far
	conns        []*watchConn    // those that have not ended, the oldest first
	unanswered   int             // connections opened since the last frame
	next         time.Time       // when another connection is due
	frames       chan *watchConn // receives a connection for each frame on it
	ended        chan watchEnd
	loggedFault  string  // the last error that was logged; one that repeats is logged again only after a frame
	localBackoff backoff // between dials that fail for faults of this host
}

// watchDiscovery watches the journal service, and follows it to new addresses, until the director stops.
func (d *Director) watchDiscovery(stop <-chan struct{}) {
	watch := &journalWatch{
		director:     d,
		address:      d.config.DiscoveryAddr,
		frames:       make(chan *watchConn),
		ended:        make(chan watchEnd),
		localBackoff: newBackoff(),
	}
	defer watch.endAllBut(nil)
	for watch.handleNext(stop) {
	}
}

// handleNext opens a connection if one is due, and handles the next thing that happens. It returns false once the director stops.
func (w *journalWatch) handleNext(stop <-chan struct{}) bool {
	if !time.Now().Before(w.next) {
		w.connect()
	}
	due := time.NewTimer(time.Until(w.next))
	defer due.Stop()
	select {
	case <-stop:
		return false
	case address := <-w.director.journalMoves:
		w.moveTo(address)
	case conn := <-w.frames:
		w.handleFrame(conn)
	case end := <-w.ended:
		w.handleEnd(end)
	case <-due.C:
	}
	return true
}

// connect opens another connection, unless there are maxWatchConns, and sets when the next one is due.
func (w *journalWatch) connect() {
	if len(w.conns) > 0 {
		w.logFault(errJournalSilent)
	}
	if len(w.conns) < maxWatchConns {
		ctx, cancel := context.WithCancel(context.Background())
		conn := &watchConn{address: w.address, watchNumber: w.number, cancel: cancel}
		w.conns = append(w.conns, conn)
		w.unanswered++
		go conn.run(ctx, w)
	}
	w.next = time.Now().Add(w.silenceAllowed() + watchRetryDelay)
}

// silenceAllowed returns how long to wait for a frame before another connection is opened.
func (w *journalWatch) silenceAllowed() time.Duration {
	factor := 1
	for range w.unanswered - undelayedWatchConns {
		factor = min(2*factor, maxSilenceFactor)
	}
	return time.Duration(factor) * watchSilenceTimeout
}

// handleFrame keeps the connection on which a frame has arrived, and ends all others.
func (w *journalWatch) handleFrame(conn *watchConn) {
	if !slices.Contains(w.conns, conn) {
		return
	}
	w.endAllBut(conn)
	w.unanswered, w.loggedFault = 0, ""
	w.next = time.Now().Add(watchSilenceTimeout + watchRetryDelay)
}

// endAllBut ends all connections but one.
func (w *journalWatch) endAllBut(kept *watchConn) {
	w.conns = slices.DeleteFunc(w.conns, func(conn *watchConn) bool {
		if conn != kept {
			conn.cancel()
		}
		return conn != kept
	})
}

// handleEnd removes a connection that has ended, and sets when the next one is due. A connection that was given up has been replaced
// long ago.
func (w *journalWatch) handleEnd(end watchEnd) {
	i := slices.Index(w.conns, end.conn)
	if i < 0 {
		return
	}
	end.conn.cancel()
	w.conns = slices.Delete(w.conns, i, i+1)
	w.logFault(end.err)
	if !end.gaveUp() || len(w.conns) == 0 {
		w.next = time.Now().Add(w.delayAfter(end))
	}
}

// moveTo moves the watch to another address. Events that were read from the old address and are not applied yet are dropped.
func (w *journalWatch) moveTo(address netip.AddrPort) {
	w.endAllBut(nil)
	w.address, w.loggedFault, w.unanswered, w.next = address, "", 0, time.Time{}
	w.number++
	w.director.mu.Lock()
	defer w.director.mu.Unlock()
	w.director.watchNumber = w.number
}

// logFault logs a fault of the journal service, unless the same one was logged last and no frame has arrived since.
func (w *journalWatch) logFault(err error) {
	if fault := err.Error(); fault != w.loggedFault {
		w.loggedFault = fault
		w.director.log.WithError(err).Warn("feed: connection to the journal service lost, reconnecting")
	}
}

// delayAfter returns how long to wait before the next connection after one has ended.
func (w *journalWatch) delayAfter(end watchEnd) time.Duration {
	if isLocalFault(end.err) {
		return w.localBackoff.take()
	}
	w.localBackoff = newBackoff()
	return watchRetryDelay
}
