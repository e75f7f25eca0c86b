package director

import (
	"bufio"
	"net"
	"time"

	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/feed"
)

const (
	feedSilence = 2500 * time.Millisecond // frames come each second
	feedAgain   = 200 * time.Millisecond  // before the next try to connect
	feedDial    = time.Second
)

// follow keeps up with the journal service until the director stops.
func (d *Director) follow(stop <-chan struct{}) {
	told := "" // one line for each new fault, none for each try
	for {
		heard, err := d.followOnce(stop)
		if heard {
			told = ""
		}
		select {
		case <-stop:
			return
		case <-time.After(feedAgain):
		}
		if err != nil && err.Error() != told {
			told = err.Error()
			d.log.WithError(err).Warn("feed: lost, connecting until it is back")
		}
	}
}

// followOnce reads events off one connection until that ends or cannot be trusted. It tells whether any came.
func (d *Director) followOnce(stop <-chan struct{}) (heard bool, err error) {
	nc, err := net.DialTimeout("tcp", d.conf.Journal.String(), feedDial)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	d.mu.Lock()
	last := d.last
	d.mu.Unlock()
	nc.SetDeadline(time.Now().Add(feedSilence))
	if _, err := nc.Write(feed.AppendHello(nil, last)); err != nil {
		return false, err
	}
	in := bufio.NewReader(nc)
	for {
		nc.SetReadDeadline(time.Now().Add(feedSilence))
		e, err := feed.Read(in)
		if err != nil {
			return heard, err
		}
		select {
		case <-stop:
			return heard, nil
		default:
		}
		if err := d.hear(e); err != nil {
			return heard, err
		}
		heard = true
	}
}

// hear takes one event, if it is the next one. One heard before is passed over. After a gap the connection is
// not trusted, and the next one starts from the last event held; if that shows the same gap, what is missing is
// not to be had, and later news are better than none.
func (d *Director) hear(e feed.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.defect("feed")
	if e.Machines == nil && e.Purge == nil || e.Number <= d.last {
		return nil
	}
	if e.Number > d.last+1 {
		gap := feed.Gap{Last: d.last, Next: e.Number}
		if d.gap != gap {
			d.gap = gap
			return gap
		}
		d.log.WithError(gap).Warn("feed: taken all the same")
	}
	d.last = e.Number
	d.apply(e)
	return nil
}

// apply hands an event to the module.
func (d *Director) apply(e feed.Event) {
	now := d.clock.now()
	if e.Purge != nil {
		d.dir.Purge(now, e.Purge.Group, e.Purge.Obj, now-d.clock.since(e.Purge.AtUnix))
	}
	if e.Machines == nil {
		return
	}
	list := make([]control.Listed, len(e.Machines))
	for i, m := range e.Machines {
		l := control.Listed{Node: m.ID, State: m.State, Kind: m.Kind, Zone: m.Zone, Cell: m.Cell}
		if m.BornUnix != 0 {
			l.Booted, l.Boot = true, d.clock.since(m.BornUnix)
		}
		list[i] = l
		d.nodes.place(m)
	}
	d.dir.List(now, list, e.Whole)
}
