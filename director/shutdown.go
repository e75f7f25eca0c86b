package director

import (
	"context"
	"net"
	"time"
)

const (
	lateComers = 750 * time.Millisecond // after the signal clients still connect and ask for this long
	settleEach = 10 * time.Millisecond
)

// Run serves until the context ends, then until nothing is owed.
func (d *Director) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", d.conf.Listen.String())
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.runTimers(stop)
	go d.follow(stop)
	go d.accept(l)
	d.log.WithField("listen", d.conf.Listen).Info("serving")
	<-ctx.Done()
	d.log.Info("leaving")
	time.Sleep(lateComers)
	l.Close()
	for d.owing() > 0 {
		time.Sleep(settleEach)
	}
	d.clients.Range(func(c, _ any) bool {
		c.(*client).close(Stopped, nil)
		return true
	})
	d.log.Info("nothing is owed any more")
	return nil
}

// owing counts the reqs that are not yet over.
func (d *Director) owing() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.reqs)
}
