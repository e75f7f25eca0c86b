package director

import (
	"bufio"
	"context"
	"errors"
	"net/netip"
	"os"
	"time"

	"indigochute.example/indigochute/internal/discovery"
)

// This file reads one connection to the journal service.

// watchGiveUpTimeout is how long a connection may need to come up, and then for its first frame or the next one. It is longer than a
// service that is crowded needs. Other connections are opened much earlier.
const watchGiveUpTimeout = 11 * time.Second

// watchConn is one connection to the journal service, or the dial of it.
type watchConn struct {
	address     netip.AddrPort
	watchNumber int                // number of the watch that it belongs to; see Director.watchNumber
	cancel      context.CancelFunc // ends the connection
}

// watchEnd is the end of a connection to the journal service.
type watchEnd struct {
	conn *watchConn
	err  error
}

// gaveUp returns whether the connection ended because nothing arrived on it for watchGiveUpTimeout.
func (e watchEnd) gaveUp() bool { return errors.Is(e.err, os.ErrDeadlineExceeded) }

// run reads the connection until it ends. It reports each frame and the end to the watch, unless the context has ended.
func (c *watchConn) run(ctx context.Context, watch *journalWatch) {
	err := c.read(ctx, watch)
	select {
	case watch.ended <- watchEnd{c, err}:
	case <-ctx.Done():
	}
}

// read connects, then reads and applies events until the connection ends, an event reveals a gap or the context ends. It returns the
// cause of the end, which is never nil.
func (c *watchConn) read(ctx context.Context, watch *journalWatch) error {
	d := watch.director
	socket, err := dialWithin(ctx, d.network, c.address.String(), watchGiveUpTimeout)
	if err != nil {
		return err
	}
	defer socket.Close()
	defer context.AfterFunc(ctx, func() { socket.Close() })()
	socket.SetDeadline(time.Now().Add(watchGiveUpTimeout))
	if _, err := writeAll(socket, discovery.AppendHello(nil, d.lastEventNumber())); err != nil {
		return err
	}
	buffered := bufio.NewReader(uninterrupted{socket})
	for {
		socket.SetReadDeadline(time.Now().Add(watchGiveUpTimeout))
		event, err := discovery.Read(buffered)
		if err == nil {
			err = d.handleEvent(c.watchNumber, event)
		}
		if err != nil {
			return err
		}
		select {
		case watch.frames <- c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lastEventNumber returns the number of the last event applied.
func (d *Director) lastEventNumber() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastEvent
}
