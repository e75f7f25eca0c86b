package director

import (
	"errors"
	"net"
	"time"
)

// accept takes clients until the listener is closed. Over the bound it waits for one to leave: what the
// machine has accepted must not be closed unread.
func (d *Director) accept(l net.Listener) {
	places := make(chan struct{}, d.bounds.clientSockets)
	for {
		places <- struct{}{}
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors may run out for a moment
			<-places
			d.log.WithError(err).Warn("accept")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := newClient(d, nc)
		d.clients.Store(c, true)
		go func() {
			c.read()
			d.clients.Delete(c)
			<-places
		}()
	}
}
