package director

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// accept takes clients until the listener's deadline passes with nobody waiting, or it is closed. It never waits for one
// to leave: whoever is silent makes room.
func (d *Director) accept(l net.Listener) {
	defer l.Close()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil { // descriptors may run out for a moment
			d.note.line(d.log.WithError(err), "accept")
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

	mu      sync.Mutex
	all     map[*client]bool
	parting []*client // those told to end, as they made room, the first told first
}

const (
	muteFor     = 100 * time.Millisecond // a client that connects and asks has been heard by then
	partingPart = 8                      // of the places one in so many is for those told to end, who stay for a moment
)

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
	out, full := s.victim(now, c), len(s.parting) >= max(1, s.most/(partingPart-1))
	first := slices.IndexFunc(s.parting, func(o *client) bool { // it has had its time
		_, _, idle := o.silence()
		return idle && !o.unread()
	})
	if out == c || full && first < 0 {
		delete(s.all, c)
		go c.close(Stopped, nil) // whatever that waits for
		return false
	}
	if full {
		go s.parting[first].close(Stopped, nil)
		s.parting = slices.Delete(s.parting, first, first+1)
	}
	delete(s.all, out)
	s.parting = append(s.parting, out)
	out.end()
	return true
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
	s.parting = slices.DeleteFunc(s.parting, func(o *client) bool { return o == c })
}

// each does something with every client, and counts them.
func (s *clients) each(do func(*client)) int {
	s.mu.Lock()
	all := append(slices.Collect(maps.Keys(s.all)), s.parting...)
	s.mu.Unlock()
	for _, c := range all {
		do(c)
	}
	return len(all)
}
