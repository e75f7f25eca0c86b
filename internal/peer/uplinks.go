package peer

// The links of a director to control machines. They carry out what changefeed.LinkSelector decides.

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
)

// ControlMachine is a control machine and the address that it listens at.
type ControlMachine struct {
	changefeed.ControlMachine
	Addr string
}

// UplinkOptions are the options of a director's links to control machines.
type UplinkOptions struct {
	Name            string           // of the director
	Place           changefeed.Place // of the director
	ControlMachines []ControlMachine // the selector chooses two of them
	Spread          time.Duration    // the first dials, and those after losses, are spread over it at random: directors must not dial all at once
	Seed            uint64           // of the random choices; directors should have different ones
	Log             *logrus.Entry    // nil: nothing is logged
	// Subscription returns the message that is sent on a link when it becomes the active one, and again after Resubscribe. A nil
	// payload is not sent. Any goroutine may call it, also while Handler runs. It must not block for long.
	Subscription func() (topic string, payload []byte)
	// Handler handles the messages of the active link, one at a time. It must not block for long, nor call Close.
	Handler func(topic string, payload []byte)

	WallClock func() time.Time // gives the incarnation and nothing else; nil: the system's
	// Dial connects to control machines; nil: the system's.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Uplinks are a director's links to two control machines. It subscribes on one of them, the active link; the other is a standby.
// The selector keeps the states of the links and chooses the active one. The methods are safe for concurrent use.
type Uplinks struct {
	options     UplinkOptions
	incarnation atomic.Uint64
	start       time.Time
	wake        chan struct{} // holds an element while the time of the selector's next tick may have changed
	stop        chan struct{} // closed by Close
	goroutines  sync.WaitGroup
	active      atomic.Pointer[uplink] // nil: none
	handlerMu   sync.Mutex             // held while Handler runs
	counters    uplinkCounters

	mu         sync.Mutex // locked before that of a link
	selector   *changefeed.LinkSelector
	addrs      map[string]string  // of the control machines, by name
	links      map[string]*uplink // up or being dialled, by name of the control machine
	closed     bool
	failureLog LogLimit // limits the log lines for links that failed
}

// uplinkCounters are the counters that UplinkStatus shows.
type uplinkCounters struct {
	receivedBytes     atomic.Int64
	writtenBytes      atomic.Int64
	delivered         atomic.Int64
	passive           atomic.Int64
	subscriptionsSent atomic.Int64
	oversize          atomic.Int64
}

// OpenUplinks starts to dial, at random times within the spread. The caller must call Close.
func OpenUplinks(o UplinkOptions) *Uplinks {
	if o.Log == nil {
		log := logrus.New()
		log.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(log)
	}
	machines, addrs := splitAddresses(o.ControlMachines)
	u := &Uplinks{
		options: o,
		start:   time.Now(),
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		addrs:   addrs,
		links:   map[string]*uplink{},
	}
	u.incarnation.Store(newIncarnation(o.WallClock))
	config := changefeed.SelectorConfig{Name: o.Name, Place: o.Place, Seed: o.Seed, DialSpread: o.Spread}
	u.selector = changefeed.NewLinkSelector(config, machines, u.sinceStart())
	u.goroutines.Go(u.run)
	return u
}

// splitAddresses returns the control machines as the selector takes them, and their addresses by name. If a name is listed twice
// the first entry counts.
func splitAddresses(control []ControlMachine) (machines []changefeed.ControlMachine, addrs map[string]string) {
	addrs = map[string]string{}
	for _, machine := range control {
		if _, duplicate := addrs[machine.Name]; !duplicate {
			machines = append(machines, machine.ControlMachine)
			addrs[machine.Name] = machine.Addr
		}
	}
	return machines, addrs
}

// sinceStart returns the time since the start, by the monotonic clock. It is the selector's clock.
func (u *Uplinks) sinceStart() time.Duration { return time.Since(u.start) }

// SetControlMachines replaces the control machines. Links to those that stay at their address are kept.
func (u *Uplinks) SetControlMachines(control []ControlMachine) {
	machines, addrs := splitAddresses(control)
	u.change(func(now time.Duration) []changefeed.Action {
		var actions []changefeed.Action
		unmoved := u.unmovedMachines(machines, addrs)
		if len(unmoved) < len(machines) { // moved machines are removed first, so that they are dialled again
			actions = u.selector.SetMachines(now, unmoved)
		}
		u.addrs = addrs
		return append(actions, u.selector.SetMachines(now, machines)...)
	})
}

// unmovedMachines returns the machines whose address stays the same with new addresses. Called under the lock.
func (u *Uplinks) unmovedMachines(machines []changefeed.ControlMachine, addrs map[string]string) (unmoved []changefeed.ControlMachine) {
	for _, machine := range machines {
		if u.addrs[machine.Name] == addrs[machine.Name] {
			unmoved = append(unmoved, machine)
		}
	}
	return unmoved
}

// Resubscribe sends the subscription message again on the active link. Calls within minSubscriptionInterval are merged into one.
func (u *Uplinks) Resubscribe() {
	if l := u.active.Load(); l != nil {
		l.subscribe()
	}
}

// Close ends every link and waits for all goroutines. Further calls have no effect.
func (u *Uplinks) Close() {
	u.mu.Lock()
	if !u.closed {
		u.closed = true
		close(u.stop)
		for _, l := range u.links {
			l.end()
		}
	}
	u.mu.Unlock()
	u.goroutines.Wait()
}

// run ticks the selector until Close.
func (u *Uplinks) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-u.stop:
			return
		case <-u.wake:
		case <-timer.C:
		}
		u.change(u.selector.Tick)
		timer.Reset(u.untilNextTick())
	}
}

// untilNextTick returns the time until the selector's next tick. It drains wake: NextTick accounts for all changes so far.
func (u *Uplinks) untilNextTick() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.wake:
	default:
	}
	now := u.sinceStart()
	return u.selector.NextTick(now) - now
}

// change passes an input to the selector and carries out the actions that it returns. After Close it has no effect. It takes the
// lock.
func (u *Uplinks) change(input func(now time.Duration) []changefeed.Action) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		return
	}
	for _, action := range input(u.sinceStart()) {
		u.carryOut(action)
	}
	if u.selector.Active() == "" {
		u.active.Store(nil)
	}
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// carryOut carries out one action of the selector. Called under the lock.
func (u *Uplinks) carryOut(action changefeed.Action) {
	switch action.Kind {
	case changefeed.Dial:
		l := newUplink(u, action.Name, u.addrs[action.Name])
		u.links[action.Name] = l
		u.goroutines.Go(l.run)
	case changefeed.Drop:
		u.links[action.Name].end()
		delete(u.links, action.Name)
	case changefeed.Activate:
		l := u.links[action.Name]
		u.active.Store(l)
		l.subscribe()
		u.options.Log.WithField("control", action.Name).Info("uplink: subscribing here")
	}
}

// connected reports to the selector that a link is up.
func (u *Uplinks) connected(l *uplink) {
	u.change(func(now time.Duration) []changefeed.Action {
		if u.links[l.name] != l {
			return nil
		}
		return u.selector.LinkUp(now, l.name)
	})
}

// dialFailed reports to the selector that the dial or the exchange of hellos failed.
func (u *Uplinks) dialFailed(l *uplink, err error) {
	u.ended(l, err, "uplink: a control machine cannot be linked", u.selector.DialFailed)
}

// linkLost reports to the selector that a link was lost.
func (u *Uplinks) linkLost(l *uplink, err error) {
	u.ended(l, err, "uplink: lost", u.selector.LinkLost)
}

// ended ends a link, logs why and passes the input to the selector. If the selector has dropped the link before, it neither logs
// nor passes the input.
func (u *Uplinks) ended(l *uplink, err error, logMessage string, input func(time.Duration, string) []changefeed.Action) {
	l.end()
	u.change(func(now time.Duration) []changefeed.Action {
		if u.links[l.name] != l {
			return nil
		}
		delete(u.links, l.name)
		if skipped, ok := u.failureLog.Allow(time.Now()); ok {
			fields := logrus.Fields{"control": l.name, "addr": l.addr, "skipped": skipped}
			u.options.Log.WithError(err).WithFields(fields).Warn(logMessage)
		}
		return input(now, l.name)
	})
}
