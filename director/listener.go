package director

import (
	"errors"
	"net"
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

// admit gives a connection a place. Where all are taken, one on which nothing is open makes room: one that never
// asked anything, else the one silent for longest. Clients that ask once and stay, or connect by hundreds and say
// nothing, so cost the others no place. Where on each of them a req is open, the new one is closed.
func (s *clients) admit(c *client, now time.Duration) bool {
	s.mu.Lock()
	var out *client
	if len(s.all) >= s.most {
		out = c
		for o := range s.all {
			if heard, asked, idle := o.silence(); idle && (out == c || s.sooner(now, heard, asked, out)) {
				out = o
			}
		}
	}
	s.all[c] = true
	delete(s.all, out)
	s.mu.Unlock()
	if out != nil {
		out.close(Stopped, nil)
	}
	return out != c
}

// sooner tells whether a connection heard at that time is to go before another.
func (s *clients) sooner(now, heard time.Duration, asked bool, than *client) bool {
	otherHeard, otherAsked, _ := than.silence()
	mute, otherMute := !asked && now-heard > muteFor, !otherAsked && now-otherHeard > muteFor
	if mute != otherMute {
		return mute
	}
	return heard < otherHeard
}

func (s *clients) leave(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, c)
}

// each does something with every client, and counts them.
func (s *clients) each(do func(*client)) int {
	s.mu.Lock()
	all := make([]*client, 0, len(s.all))
	for c := range s.all {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		do(c)
	}
	return len(all)
}
