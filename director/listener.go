package director

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// accept takes clients until the listener is closed. It never waits for one to leave: whoever is silent makes room.
func (d *Director) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors may run out for a moment
			d.log.WithError(err).Warn("accept")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if c := newClient(d, nc); d.clients.admit(c, d.clock.now()) {
			go c.read()
		}
	}
}

// clients are the connections of clients, in a bounded number of places.
type clients struct {
	most int

	mu  sync.Mutex
	all map[*client]bool
}

const muteFor = 100 * time.Millisecond // a client that connects and asks has been heard by then

// admit gives a connection a place. Where all are taken, one on which nothing is open or unread makes room: one that
// never asked anything, else the one silent for longest. Clients that ask once and stay, or connect by hundreds and say
// nothing, so cost the others no place. Where no connection is like that the new one is closed.
func (s *clients) admit(c *client, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[c] = true
	if len(s.all) <= s.most {
		return true
	}
	out := s.victim(now, c)
	delete(s.all, out)
	go out.close(Stopped, nil) // whatever that waits for
	return out != c
}

// victim finds the connection that makes room for a new one.
func (s *clients) victim(now time.Duration, c *client) *client {
	type silent struct {
		c     *client
		heard time.Duration
		mute  bool
	}
	var all []silent
	for o := range s.all {
		if heard, asked, idle := o.silence(); idle && o != c {
			all = append(all, silent{o, heard, !asked && now-heard > muteFor})
		}
	}
	slices.SortFunc(all, func(a, b silent) int {
		if a.mute != b.mute {
			if a.mute {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.heard, b.heard)
	})
	for _, o := range all {
		if !o.c.unread() { // if we were held back a req may lie there
			return o.c
		}
	}
	return c
}

func (s *clients) leave(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

// each does something with every client, and counts them.
func (s *clients) each(do func(*client)) int {
	s.mu.Lock()
	all := slices.Collect(maps.Keys(s.all))
	s.mu.Unlock()
	for _, c := range all {
		do(c)
	}
	return len(all)
}
