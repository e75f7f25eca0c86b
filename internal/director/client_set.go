package director

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// This file has the bounded set of client connections, and selects the connection that is evicted for a new one.

const (
	// silentBeforeEviction is how long after connecting a client that has sent nothing becomes a preferred candidate for
	// eviction. The request of a client that sends one right after connecting has been read by then.
	silentBeforeEviction = 100 * time.Millisecond
	// closingPlacesDivisor determines the share of all places, 1/closingPlacesDivisor, that is reserved for evicted connections
	// that are still closing.
	closingPlacesDivisor = 8
	placeWait            = 20 * time.Millisecond // longest wait of a new connection for one of the reserved places
	placePoll            = time.Millisecond      // interval of the checks for such a place
)

// clientSet holds the client connections. Eviction keeps clients that open hundreds of connections and send nothing, or only
// one request, from taking the places of others. A goroutine that holds the set's mutex may lock that of a clientConn, but not
// the other way round.
type clientSet struct {
	max int // bound on active connections

	mu      sync.Mutex
	active  map[*clientConn]bool // all but those in closing
	closing []*clientConn        // evicted connections that are still closing, the earliest first
}

// newClientSet returns a set with the given number of places, including those for closing connections.
func newClientSet(places int) clientSet {
	return clientSet{max: max(1, places-places/closingPlacesDivisor), active: map[*clientConn]bool{}}
}

// awaitPlace waits while the set is full, until the writing side of a closing connection is closed. It waits for placeWait at
// most, since accepting must not be blocked. On a busy machine, the readers of the closing connections may not have run yet;
// without the wait, a new connection would be closed unread only because of that.
func (s *clientSet) awaitPlace() {
	for waited := time.Duration(0); waited < placeWait && s.isFull(); waited += placePoll {
		time.Sleep(placePoll)
	}
}

// isFull returns whether all places are taken and there is no closing connection whose writing side is closed.
func (s *clientSet) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active) >= s.max && s.closingFull() && s.firstWriteClosed() < 0
}

// closingFull returns whether the places for closing connections are taken. Called under mu.
func (s *clientSet) closingFull() bool {
	return len(s.closing) >= max(1, s.max/(closingPlacesDivisor-1))
}

// firstWriteClosed returns the index in closing of the first connection whose writing side is closed, or -1 if there is none.
// The client of such a connection sees the end of the stream and sends elsewhere again what it has written since. Called
// under mu.
func (s *clientSet) firstWriteClosed() int {
	return slices.IndexFunc(s.closing, (*clientConn).isWriteClosed)
}

// admit adds a connection. If all places are taken, it evicts a connection that has no open request and no unread bytes:
// preferably one that never sent a message, otherwise the one that has been silent for longest. If there is no such connection,
// or no place for another closing connection, admit closes the new connection before it is read, and returns false.
func (s *clientSet) admit(c *clientConn, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[c] = true
	if len(s.active) <= s.max {
		return true
	}
	evicted, closingFull, writeClosed := s.chooseEvicted(now, c), s.closingFull(), s.firstWriteClosed()
	if evicted == c || closingFull && writeClosed < 0 {
		delete(s.active, c)
		go c.close(Stopped, nil) // in a goroutine, since close may block
		return false
	}
	if closingFull {
		go s.closing[writeClosed].close(Stopped, nil)
		s.closing = slices.Delete(s.closing, writeClosed, writeClosed+1)
	}
	delete(s.active, evicted)
	s.closing = append(s.closing, evicted)
	evicted.closeWhenIdle()
	return true
}

// evictable is an idle connection that may be evicted for a new one.
type evictable struct {
	conn       *clientConn
	lastActive time.Duration
	rank       evictionRank
}

// evictionRank orders the connections that may be evicted. Connections that faulty clients open again and again so replace each other,
// not those of clients whose requests succeed.
type evictionRank uint8

const (
	writeClosed   evictionRank = iota // the client has seen the end of the stream
	neverSent                         // it has sent no message in more than silentBeforeEviction since connecting
	neverServed                       // it has sent messages, and none led to a success
	justConnected                     // it has sent no message yet
	served                            // a request of its client has succeeded
)

// chooseEvicted returns the connection to evict for the newest one, or the newest one itself if no other can be evicted.
// Called under mu.
func (s *clientSet) chooseEvicted(now time.Duration, newest *clientConn) *clientConn {
	var candidates []evictable
	for conn := range s.active {
		if last, hasSentMessage, idle := conn.activity(); idle && conn != newest {
			candidates = append(candidates, evictable{conn, last, rankOf(conn, hasSentMessage, now-last)})
		}
	}
	slices.SortFunc(candidates, compareEvictable)
	for _, candidate := range candidates {
		// After a stall of the process, a request may still be unread.
		if candidate.rank == writeClosed || !candidate.conn.hasUnread() || candidate.conn.hasClosed() {
			return candidate.conn
		}
	}
	return newest
}

// rankOf returns the rank of an idle connection that was last active some time ago.
func rankOf(conn *clientConn, hasSentMessage bool, silentFor time.Duration) evictionRank {
	switch {
	case conn.isWriteClosed():
		return writeClosed
	case conn.everServed.Load():
		return served
	case hasSentMessage:
		return neverServed
	case silentFor > silentBeforeEviction:
		return neverSent
	}
	return justConnected
}

// compareEvictable orders connections by rank, then by the time of their last activity.
func compareEvictable(a, b evictable) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.lastActive, b.lastActive))
}

// remove removes a closed connection from the set.
func (s *clientSet) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, c)
	s.closing = slices.DeleteFunc(s.closing, func(other *clientConn) bool { return other == c })
}

// each calls a function with every connection, without holding the mutex, and returns how many there are.
func (s *clientSet) each(do func(*clientConn)) int {
	s.mu.Lock()
	all := append(slices.Collect(maps.Keys(s.active)), s.closing...)
	s.mu.Unlock()
	for _, c := range all {
		do(c)
	}
	return len(all)
}
