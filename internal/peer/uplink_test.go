package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
)

// listPublisher is a publisher of a list of payloads. A subscription message of topic "hello" is the position in the list from which
// a subscriber gets payloads, in decimal digits. It also records the calls of its methods.
type listPublisher struct {
	mu           sync.Mutex
	items        [][]byte
	unrequested  bool     // writes payloads to subscribers without a subscription message as well
	received     []string // messages, as name:topic:payload
	lateCalls    int      // calls for a subscriber after its Disconnected
	positions    map[*Subscriber]*subscriberPosition
	disconnected map[*Subscriber]int // calls of Disconnected
}

// subscriberPosition is the Subscriber.State of a listPublisher.
type subscriberPosition struct {
	next       int // position in the list
	subscribed bool
}

// positionOf returns the position of a subscriber. Called under the lock, by each method of Publisher.
func (p *listPublisher) positionOf(s *Subscriber) *subscriberPosition {
	if p.positions == nil {
		p.positions, p.disconnected = map[*Subscriber]*subscriberPosition{}, map[*Subscriber]int{}
	}
	if p.disconnected[s] > 0 {
		p.lateCalls++
	}
	if s.State == nil {
		s.State = &subscriberPosition{subscribed: p.unrequested}
		p.positions[s] = s.State.(*subscriberPosition)
	}
	return s.State.(*subscriberPosition)
}

// Next implements Publisher.
func (p *listPublisher) Next(s *Subscriber) (string, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	position := p.positionOf(s)
	if !position.subscribed || position.next >= len(p.items) {
		return "", nil
	}
	position.next++
	return "note", p.items[position.next-1]
}

// Receive implements Publisher.
func (p *listPublisher) Receive(s *Subscriber, topic string, payload []byte) {
	p.mu.Lock()
	position := p.positionOf(s)
	p.received = append(p.received, fmt.Sprintf("%s:%s:%s", s.Name, topic, payload))
	if at, err := strconv.Atoi(string(payload)); err == nil && topic == "hello" {
		position.next, position.subscribed = at, true
	}
	p.mu.Unlock()
	s.Wake()
}

// Disconnected implements Publisher.
func (p *listPublisher) Disconnected(s *Subscriber) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.positionOf(s)
	p.disconnected[s]++
}

// publish appends payloads to the list and wakes the subscribers of a bus.
func (p *listPublisher) publish(b *Bus, payloads ...string) {
	p.mu.Lock()
	for _, payload := range payloads {
		p.items = append(p.items, []byte(payload))
	}
	p.mu.Unlock()
	b.WakeSubscribers()
}

// countReceived counts the received messages with a prefix of name:topic:payload.
func (p *listPublisher) countReceived(prefix string) (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, got := range p.received {
		if strings.HasPrefix(got, prefix) {
			count++
		}
	}
	return count
}

// checkDisconnected waits until no more than so many connections are open. It checks that Disconnected was called once for every
// other connection, and after all other calls.
func (p *listPublisher) checkDisconnected(t *testing.T, open int) {
	t.Helper()
	eventually(t, "ended connections are disconnected", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.positions)-len(p.disconnected) <= open
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.disconnected {
		if n != 1 {
			t.Errorf("Disconnected was called %d times for a subscriber, want once", n)
		}
	}
	if got := len(p.positions) - len(p.disconnected); got != open {
		t.Errorf("got %d connections that are not disconnected, want %d", got, open)
	}
	if p.lateCalls > 0 {
		t.Errorf("got %d calls after Disconnected, want none", p.lateCalls)
	}
}

// logTo returns a log that writes to a writer.
func logTo(writer io.Writer) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(writer)
	return logrus.NewEntry(log)
}

// openControlMachine opens a control machine at a free address of loopback, for subscribers d, e and f. Change may change its
// options; nil: it does not.
func openControlMachine(t testing.TB, name string, change func(options *Options)) (*Bus, *listPublisher) {
	t.Helper()
	publisher := &listPublisher{}
	options := Options{
		Name:        name,
		Listen:      "127.0.0.1:0",
		Log:         logTo(io.Discard),
		Publisher:   publisher,
		Subscribers: []string{"d", "e", "f"},
	}
	if change != nil {
		change(&options)
	}
	return mustOpen(t, options), publisher
}

// directorMessages collects the messages that a director receives. Their number is the position in its subscription message to a
// listPublisher.
type directorMessages struct {
	mu         sync.Mutex
	payloads   []string
	running    int  // calls of deliver
	concurrent bool // two calls ran at the same time
}

// deliver is an UplinkOptions.Handler.
func (m *directorMessages) deliver(topic string, payload []byte) {
	m.mu.Lock()
	m.running++
	m.concurrent = m.concurrent || m.running > 1
	m.payloads = append(m.payloads, string(payload))
	m.mu.Unlock()
	runtime.Gosched()
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
}

// count returns the number of messages received.
func (m *directorMessages) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.payloads)
}

// subscription is an UplinkOptions.Subscription.
func (m *directorMessages) subscription() (string, []byte) {
	return "hello", []byte(strconv.Itoa(m.count()))
}

// openUplinksInOrder opens uplinks of a director in a region. It waits until the link to the first control machine is the active
// one and a second link is up.
func openUplinksInOrder(t *testing.T, name, region string, messages *directorMessages, control ...ControlMachine) *Uplinks {
	t.Helper()
	return openUplinksInOrderOver(t, nil, name, region, messages, control...)
}

// openUplinksInOrderOver is openUplinksInOrder with a dial function; nil: the system's.
func openUplinksInOrderOver(
	t *testing.T, dial dialFunc, name, region string, messages *directorMessages, control ...ControlMachine,
) *Uplinks {
	t.Helper()
	options := uplinkOptions(name, region, messages, control[0])
	options.Dial = dial
	uplinks := OpenUplinks(options)
	eventually(t, "the first", func() bool { return uplinks.Status().Active == control[0].Name })
	uplinks.SetControlMachines(control)
	eventually(t, "both", func() bool { return uplinks.Status().Up == min(2, len(control)) })
	return uplinks
}

// openTestUplinks opens uplinks of a director in a region.
func openTestUplinks(name, region string, spread time.Duration, messages *directorMessages, control ...ControlMachine) *Uplinks {
	options := uplinkOptions(name, region, messages, control...)
	options.Spread = spread
	return OpenUplinks(options)
}

// uplinkOptions returns the options of a director in a region that collects its messages.
func uplinkOptions(name, region string, messages *directorMessages, control ...ControlMachine) UplinkOptions {
	return UplinkOptions{
		Name:            name,
		Place:           changefeed.Place{Region: region, Zone: region + "1", Site: region + "1a"},
		ControlMachines: control,
		Seed:            1,
		Log:             logTo(io.Discard),
		Subscription:    messages.subscription,
		Handler:         messages.deliver,
	}
}

// controlMachine returns the entry of a control machine in a zone.
func controlMachine(region, zone, name, addr string) ControlMachine {
	place := changefeed.Place{Region: region, Zone: zone, Site: zone + "a"}
	return ControlMachine{changefeed.ControlMachine{Name: name, Place: place}, addr}
}

// northAndSouth returns the entries of control machine a in region north and b in region south.
func northAndSouth(addrOfA, addrOfB string) []ControlMachine {
	return []ControlMachine{
		controlMachine("north", "north1", "a", addrOfA),
		controlMachine("south", "south1", "b", addrOfB),
	}
}

// tcpProxy forwards connections to an address. They can be paused and cut.
type tcpProxy struct {
	listener net.Listener
	upstream string // address

	mu          sync.Mutex
	paused      bool
	connections []net.Conn // both sides
}

// newTCPProxy starts a proxy to an address. It is closed with the test.
func newTCPProxy(t testing.TB, upstream string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &tcpProxy{listener: listener, upstream: upstream}
	t.Cleanup(func() {
		listener.Close()
		proxy.cut()
	})
	go proxy.accept()
	return proxy
}

// accept forwards each connection until the listener is closed.
func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.upstream)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		p.connections = append(p.connections, client, upstream)
		p.mu.Unlock()
		go p.forward(client, upstream)
		go p.forward(upstream, client)
	}
}

// forward copies bytes one way until either side ends. It waits while the proxy is paused.
func (p *tcpProxy) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		for p.isPaused() {
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *tcpProxy) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

func (p *tcpProxy) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
}

// cut closes all connections and ends a pause. The proxy goes on accepting.
func (p *tcpProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.connections {
		connection.Close()
	}
	p.connections, p.paused = nil, false
}

func (p *tcpProxy) addr() string { return p.listener.Addr().String() }

// stateOfLink returns the state of the link to a control machine in Status; "unlisted": it has none of that name.
func stateOfLink(uplinks *Uplinks, name string) string {
	for _, link := range uplinks.Status().Links {
		if link.Name == name {
			return link.State
		}
	}
	return "unlisted"
}

// The two links are to different failure domains, the first in the director's region. When the active one is lost, the director
// subscribes on the other at once and gets the messages after the last one that it has.
func TestUplinksAndFailover(t *testing.T) {
	active, publisherOfActive := openControlMachine(t, "c", nil) // the first of its region by hash
	standby, publisherOfStandby := openControlMachine(t, "b", nil)
	defer standby.Close()
	third, _ := openControlMachine(t, "a", nil)
	defer third.Close()
	var messages directorMessages
	uplinks := openUplinksInOrder(t, "d", "north", &messages,
		controlMachine("north", "north1", "c", active.Addr()),
		controlMachine("south", "south1", "b", standby.Addr()),
		controlMachine("north", "north2", "a", third.Addr()))
	defer uplinks.Close()
	if status := uplinks.Status(); status.UnlinkedFor != 0 || status.Up != 2 || status.Active != "c" || stateOfLink(uplinks, "b") != "up" {
		t.Fatalf("got %+v, want two links up, c active and b standby", status)
	}

	for i := range 50 {
		publisherOfActive.publish(active, fmt.Sprint("n", i))
		publisherOfStandby.publish(standby, fmt.Sprint("n", i))
	}
	eventually(t, "all received", func() bool { return messages.count() == 50 })
	if n := publisherOfStandby.countReceived("d:"); n != 0 {
		t.Errorf("got %d subscription messages on the standby link, want none", n)
	}

	lateness := measureLateness(t)
	began := time.Now()
	active.Close()
	eventually(t, "subscribed", func() bool { return publisherOfStandby.countReceived("d:hello:50") == 1 })
	if took := time.Since(began); took > 400*time.Millisecond+lateness(began) {
		t.Errorf("the failover took %v, want at most 400ms", took)
	}
	if got := uplinks.Status().Active; got != "b" {
		t.Errorf("got active link %q, want b", got)
	}

	publisherOfStandby.publish(standby, "n50", "n51")
	eventually(t, "all received again", func() bool { return messages.count() == 52 })
	eventually(t, "another standby link", func() bool { return stateOfLink(uplinks, "a") == "up" })
	for i, payload := range messages.payloads {
		if payload != fmt.Sprint("n", i) {
			t.Fatalf("message %d is %s, want n%d", i, payload, i)
		}
	}
	if messages.concurrent {
		t.Error("the handler was called twice at the same time")
	}

	checkStatusAfterFailover(t, uplinks.Status())
	eventually(t, "no subscriber is left at the closed control machine", func() bool { return active.Status().Subscribers.Connected == 0 })
	publisherOfActive.checkDisconnected(t, 0)
}

// checkStatusAfterFailover checks the status of a director that has received 52 messages and made one failover, to b.
func checkStatusAfterFailover(t *testing.T, status UplinkStatus) {
	t.Helper()
	if status.Choice.Failovers != 1 || status.Delivered != 52 || status.SubscriptionsSent != 2 || status.Passive != 0 {
		t.Errorf("got %+v, want 1 failover, 52 messages delivered, 2 subscriptions sent and none passive", status)
	}
	if status.ReceivedBytes == 0 || status.WrittenBytes == 0 {
		t.Errorf("got %d bytes received and %d written, want some", status.ReceivedBytes, status.WrittenBytes)
	}
	linkOfB := slices.IndexFunc(status.Links, func(link UplinkLink) bool { return link.Name == "b" })
	if rtt := status.Links[linkOfB].RTT; rtt <= 0 || rtt > 1000 {
		t.Errorf("got a round trip of %v ms, want 0 to 1000 ms", rtt)
	}
}

// When the active link is lost the director subscribes on the other without waiting for a timer: no time passes by the clock of a
// synctest bubble.
func TestFailoverWaitsForNoTimer(t *testing.T) {
	const pollInterval = 5 * time.Millisecond // of eventually
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		network.openControlMachine(t, "a", nil)
		_, publisherOfB := network.openControlMachine(t, "b", nil)
		control := northAndSouth("a", "b")
		uplinks := openUplinksInOrderOver(t, network.dial, "d", "north", &directorMessages{}, control...)
		t.Cleanup(uplinks.Close)
		began := time.Now()
		network["a"].cut()
		eventually(t, "subscribed at b", func() bool { return publisherOfB.countReceived("d:hello") == 1 })
		if took := time.Since(began); took > pollInterval {
			t.Errorf("the failover took %v, want at most %v", took, pollInterval)
		}
		if got := uplinks.Status().Active; got != "b" {
			t.Errorf("got active link %q, want b", got)
		}
	})
}

// A link is lost after a second without a frame. The control machine closes it as well. An idle link that works is not lost. All
// times are by the clock of a synctest bubble.
func TestSilentLinkIsLost(t *testing.T) {
	const silence, pingInterval, pollInterval = time.Second, 300 * time.Millisecond, 5 * time.Millisecond
	const controlMachineSilence = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		a, _ := network.openControlMachine(t, "a", nil)
		_, publisherOfB := network.openControlMachine(t, "b", nil)
		control := northAndSouth("a", "b")
		uplinks := openUplinksInOrderOver(t, network.dial, "d", "north", &directorMessages{}, control...)
		t.Cleanup(uplinks.Close)

		time.Sleep(100 * silence)
		if status := uplinks.Status(); status.Up != 2 || status.Choice.Lost > 0 {
			t.Fatalf("got %+v, want both links up and none lost", status)
		}

		began := time.Now()
		network["a"].dropping.Store(true)
		eventually(t, "subscribed at b", func() bool { return publisherOfB.countReceived("d:hello") == 1 })
		took := time.Since(began)
		if took < silence-pingInterval || took > silence+pollInterval {
			t.Errorf("lost after %v, want %v to %v", took, silence-pingInterval, silence+pollInterval)
		}
		eventually(t, "the control machine drops it as well", func() bool { return a.Status().Subscribers.Silent == 1 })
		if took := time.Since(began); took > controlMachineSilence+pollInterval {
			t.Errorf("the control machine closed it after %v, want at most %v", took, controlMachineSilence+pollInterval)
		}
	})
}

// A link over TCP that falls silent is lost on both sides. TestSilentLinkIsLost checks the times.
func TestSilentLinkIsLostOverTCP(t *testing.T) {
	a, _ := openControlMachine(t, "a", nil)
	defer a.Close()
	b, publisherOfB := openControlMachine(t, "b", nil)
	defer b.Close()
	proxy := newTCPProxy(t, a.Addr())
	control := northAndSouth(proxy.addr(), b.Addr())
	uplinks := openUplinksInOrder(t, "d", "north", &directorMessages{}, control...)
	defer uplinks.Close()
	proxy.setPaused(true)
	eventually(t, "subscribed at b", func() bool { return publisherOfB.countReceived("d:hello") >= 1 })
	eventually(t, "the control machine drops it as well", func() bool { return a.Status().Subscribers.Silent >= 1 })
	proxy.setPaused(false)
}

// cutMesh has many directors, each with links to two of three control machines, over pipes that can be cut.
type cutMesh struct {
	network   pipeNetwork
	directors []*Uplinks
}

// openCutMesh opens three control machines and so many directors. They are closed with the test.
func openCutMesh(t *testing.T, directors int, spread time.Duration) *cutMesh {
	t.Helper()
	m := &cutMesh{network: pipeNetwork{}}
	var names []string
	for i := range directors {
		names = append(names, fmt.Sprint("d", i))
	}
	var control []ControlMachine
	for i := range 3 {
		name := fmt.Sprint("c", i)
		m.network.openControlMachine(t, name, func(o *Options) { o.Subscribers = names })
		control = append(control, controlMachine(fmt.Sprint("r", i), "z", name, name))
	}
	for i, name := range names {
		options := uplinkOptions(name, "", &directorMessages{}, control...)
		options.Place = changefeed.Place{Region: fmt.Sprint("r", i%7), Zone: "z", Site: "s"}
		options.Spread, options.Dial = spread, m.network.dial
		uplinks := OpenUplinks(options)
		t.Cleanup(uplinks.Close)
		m.directors = append(m.directors, uplinks)
	}
	return m
}

// all reports whether a condition holds for the status of every director.
func (m *cutMesh) all(holds func(s UplinkStatus) bool) bool {
	return !slices.ContainsFunc(m.directors, func(u *Uplinks) bool { return !holds(u.Status()) })
}

// cut cuts all links at the same time.
func (m *cutMesh) cut() {
	for _, listener := range m.network {
		listener.cut()
	}
}

// dialsAfter returns the times of all dials since the last cut, as durations after the start, sorted.
func (m *cutMesh) dialsAfter(start time.Time) (dials []time.Duration) {
	for _, listener := range m.network {
		for _, dialed := range listener.dialTimes() {
			dials = append(dials, dialed.Sub(start))
		}
	}
	slices.Sort(dials)
	return dials
}

// After all links are cut at the same time every director is linked again within the spread, and the dials are spread over it. All
// times are by the clock of a synctest bubble, which stands still while a goroutine runs.
func TestDialsSpreadAfterAllLinksCut(t *testing.T) {
	const many, spread, margin = 24, 800 * time.Millisecond, 50 * time.Millisecond
	bothUp := func(s UplinkStatus) bool { return s.Up == 2 }
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		m := openCutMesh(t, many, spread)
		eventually(t, "all up", func() bool { return m.all(bothUp) })
		if took := time.Since(began); took < spread/2 || took > spread+margin {
			t.Errorf("all up after %v, want %v to %v", took, spread/2, spread+margin)
		}

		for round := range 2 {
			cut := time.Now()
			m.cut()
			eventually(t, "all losses seen", func() bool {
				return m.all(func(s UplinkStatus) bool { return s.Choice.Lost >= 2*(round+1) })
			})
			eventually(t, "all linked", func() bool { return m.all(func(s UplinkStatus) bool { return s.Up >= 1 }) })
			if took := time.Since(cut); took > spread+margin {
				t.Errorf("all linked after %v, want at most %v", took, spread+margin)
			}
			eventually(t, "all up again", func() bool { return m.all(bothUp) })
			dials := m.dialsAfter(cut)
			if span := dials[many*3/4] - dials[many/8]; span < spread/6 {
				t.Errorf("from the 1st eighth to the 3rd quarter of the %d dials are %v, want %v at least: %v", len(dials), span, spread/6, dials)
			}
		}
	})
}

// Only the messages of the active link are delivered. Calls of Resubscribe are merged, and the last one is not lost. All times are
// by the clock of a synctest bubble.
func TestPassiveAndResubscribe(t *testing.T) {
	const interval = 200 * time.Millisecond // between two subscription messages
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		a, publisherOfA := network.openControlMachine(t, "a", nil)
		b, publisherOfB := network.openControlMachine(t, "b", nil)
		publisherOfB.unrequested = true
		var messages directorMessages
		control := northAndSouth("a", "b")
		uplinks := openUplinksInOrderOver(t, network.dial, "d", "north", &messages, control...)
		t.Cleanup(uplinks.Close)

		publisherOfA.publish(a, "active")
		publisherOfB.publish(b, "passive", "passive")
		eventually(t, "messages of both links", func() bool { return uplinks.Status().Passive == 2 && messages.count() == 1 })
		if got := messages.payloads[0]; got != "active" {
			t.Errorf("got message %q, want that of the active link", got)
		}

		time.Sleep(interval)
		before := publisherOfA.countReceived("d:hello")
		for range 500 { // over half a second: sent after 0, 200, 400 and, for the last calls, 600 ms
			uplinks.Resubscribe()
			time.Sleep(time.Millisecond)
		}
		messages.deliver("", nil)
		uplinks.Resubscribe()
		eventually(t, "the last subscription message", func() bool { return publisherOfA.countReceived("d:hello:2") >= 1 })
		time.Sleep(2 * interval)
		if sent := publisherOfA.countReceived("d:hello") - before; sent != 4 {
			t.Errorf("got %d subscription messages, want 4", sent)
		}
	})
}

// A control machine that moved to another address is dialled again, and one that is not listed any more is dropped. Other links are
// kept.
func TestSetControl(t *testing.T) {
	a, _ := openControlMachine(t, "a", nil)
	defer a.Close()
	b, _ := openControlMachine(t, "b", nil)
	defer b.Close()
	c, _ := openControlMachine(t, "c", nil)
	defer c.Close()
	movedA, publisherOfMovedA := openControlMachine(t, "a", nil)
	defer movedA.Close()
	var messages directorMessages
	atB := controlMachine("south", "south1", "b", b.Addr())
	uplinks := openUplinksInOrder(t, "d", "north", &messages, controlMachine("north", "north1", "a", a.Addr()), atB)
	defer uplinks.Close()

	uplinks.SetControlMachines([]ControlMachine{controlMachine("north", "north1", "a", movedA.Addr()), atB})
	eventually(t, "the new address", func() bool { return uplinks.Status().Up == 2 && movedA.Status().Subscribers.Connected == 1 })
	if n := b.Status().Subscribers.Accepted; n != 1 {
		t.Errorf("b accepted %d connections, want 1", n)
	}

	uplinks.SetControlMachines([]ControlMachine{controlMachine("west", "west1", "c", c.Addr()), atB})
	eventually(t, "the new machine", func() bool {
		s := uplinks.Status()
		return s.Up == 2 && stateOfLink(uplinks, "c") == "up" && stateOfLink(uplinks, "a") == "unlisted"
	})
	eventually(t, "the dropped link ended", func() bool { return movedA.Status().Subscribers.Connected == 0 })
	publisherOfMovedA.checkDisconnected(t, 0)

	uplinks.SetControlMachines(nil)
	eventually(t, "no link is left", func() bool {
		s := uplinks.Status()
		return s.Up == 0 && s.Active == "" && s.UnlinkedFor > 0 && len(s.Links) == 0
	})
}

// serveConnections accepts connections at a free address, which it returns, and serves each with a function until the test ends.
func serveConnections(t *testing.T, serve func(connection net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// A control machine that sends an invalid frame after the hello loses the link, and the frame is not delivered.
func TestInvalidFramesOfControlMachines(t *testing.T) {
	const control = 9 // incarnation of the control machine
	encodedData := func(sender, receiver uint64) []byte {
		f := dataFrame{sender: sender, receiver: receiver, topic: "note", payload: []byte("payload")}
		return f.appendTo(nil)
	}
	damagedData := func(director uint64) []byte {
		b := encodedData(control, director)
		b[len(b)-1]++
		return b
	}
	for _, test := range []struct {
		name      string
		sent      func(director uint64) []byte // by the incarnation of the director
		delivered bool
		endsLink  bool // whether the frame alone ends the link; otherwise the control machine closes it
	}{
		{
			name:      "valid",
			sent:      func(director uint64) []byte { return encodedData(control, director) },
			delivered: true,
		},
		{
			name:     "from an earlier incarnation",
			sent:     func(director uint64) []byte { return encodedData(control-1, director) },
			endsLink: true,
		},
		{
			name:     "to an earlier incarnation",
			sent:     func(director uint64) []byte { return encodedData(control, director-1) },
			endsLink: true,
		},
		{
			name:     "to no incarnation",
			sent:     func(uint64) []byte { return encodedData(control, 0) },
			endsLink: true,
		},
		{
			name:     "damaged",
			sent:     damagedData,
			endsLink: true,
		},
		{
			name:     "too long",
			sent:     func(uint64) []byte { return bytes.Repeat([]byte{0xff}, frameHeaderBytes) },
			endsLink: true,
		},
		{
			name:     "a request",
			sent:     func(uint64) []byte { return requestFrame{topic: "note"}.appendTo(nil) },
			endsLink: true,
		},
		{
			name: "cut",
			sent: func(director uint64) []byte { return encodedData(control, director)[:12] },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := serveConnections(t, func(connection net.Conn) {
				defer connection.Close()
				in := bufio.NewReader(connection)
				director := answerHello(connection, in, "a", control)
				awaitSubscription(in) // after that the link is the director's active one
				connection.Write(test.sent(director))
				if test.endsLink {
					pingUntilClosed(connection)
				}
			})
			var messages directorMessages
			uplinks := openTestUplinks("d", "north", 0, &messages, controlMachine("north", "north1", "a", addr))
			eventually(t, "up and lost", func() bool { return uplinks.Status().Choice.Lost > 0 })
			uplinks.Close()
			if got := messages.count() > 0; got != test.delivered {
				t.Errorf("delivered: got %v, want %v", got, test.delivered)
			}
		})
	}
}

// A director does not use control machines that reject it, have another name, do not answer or send invalid frames.
func TestUplinksAvoidBadControlMachines(t *testing.T) {
	good, _ := openControlMachine(t, "good", nil)
	defer good.Close()
	rejects, _ := openControlMachine(t, "rejects", func(o *Options) { o.Subscribers = []string{"e"} })
	defer rejects.Close()
	other, _ := openControlMachine(t, "somebody", nil)
	defer other.Close()
	hangs := serveConnections(t, func(connection net.Conn) {
		defer connection.Close()
		io.Copy(io.Discard, connection)
	})
	sendsInvalid := serveConnections(t, func(connection net.Conn) {
		defer connection.Close()
		connection.Write(bytes.Repeat([]byte("x"), 100))
	})
	var messages directorMessages
	uplinks := openTestUplinks("d", "north", 0, &messages,
		controlMachine("north", "a", "rejects", rejects.Addr()),
		controlMachine("north", "b", "other", other.Addr()),
		controlMachine("north", "c", "nobody", freeAddress(t)),
		controlMachine("north", "d", "hangs", hangs),
		controlMachine("north", "e", "sendsInvalid", sendsInvalid),
		controlMachine("south", "f", "good", good.Addr()))
	defer uplinks.Close()

	eventually(t, "the good one is active", func() bool { return uplinks.Status().Active == "good" })
	eventually(t, "all were tried", func() bool {
		return !slices.ContainsFunc(uplinks.Status().Links, func(link UplinkLink) bool { return link.Dials == 0 })
	})
	eventually(t, "the rejection", func() bool { return rejects.Status().Subscribers.Rejected > 0 })
	eventually(t, "the failed dials", func() bool { return uplinks.Status().Choice.Failed >= 4 })
	if status := uplinks.Status(); status.Delivered != 0 || status.Active != "good" {
		t.Errorf("got %+v, want the good one active and no message delivered", status)
	}
}

// answerHello reads the hello of the other side, accepts it under a name and incarnation, and returns the other side's incarnation;
// 0: there was no hello.
func answerHello(connection net.Conn, in *bufio.Reader, name string, incarnation uint64) (other uint64) {
	f, _ := readFrame(in, maxHelloBytes)
	hello, _ := f.(helloFrame)
	answer := helloFrame{version: protocolVersion, name: name, sender: incarnation, receiver: hello.sender}
	connection.Write(answer.appendTo(nil))
	return hello.sender
}

// pingUntilClosed sends pings until the other side closes the connection, so that the link is not lost for silence.
func pingUntilClosed(connection net.Conn) {
	ping := pingFrame{number: 1}.appendTo(nil)
	for {
		if _, err := connection.Write(ping); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitSubscription reads frames until a subscription message comes or the connection ends.
func awaitSubscription(in *bufio.Reader) {
	for {
		f, err := readFrame(in, maxFrameBytes)
		if _, isData := f.(dataFrame); err != nil || isData {
			return
		}
	}
}

// A director whose clock went back learns its later incarnation from the control machine, and is accepted under a higher one.
func TestUplinkClockWentBack(t *testing.T) {
	a, _ := openControlMachine(t, "a", nil)
	defer a.Close()
	a.subscribers.mu.Lock()
	a.subscribers.knownIncarnations["d"] = 1 << 62
	a.subscribers.mu.Unlock()
	var messages directorMessages
	uplinks := openTestUplinks("d", "north", 0, &messages, controlMachine("north", "north1", "a", a.Addr()))
	defer uplinks.Close()
	eventually(t, "accepted", func() bool { return uplinks.Status().Up == 1 })
	if got, want := uplinks.incarnation.Load(), uint64(1<<62+1); got != want {
		t.Errorf("got incarnation %x, want %x", got, want)
	}
	if status := a.Status(); status.Subscribers.Rejected != 1 || status.Counts.OldIncarnation != 1 {
		t.Errorf("got %+v, want one hello of an old incarnation rejected", status)
	}
}

// openSlowMesh opens three control machines that are peers of each other, with low rates of accepting and writing. It returns their
// entries as well.
func openSlowMesh(t *testing.T) (buses []*Bus, publishers []*listPublisher, control []ControlMachine) {
	t.Helper()
	addrs := map[string]string{"c0": freeAddress(t), "c1": freeAddress(t), "c2": freeAddress(t)}
	for name, addr := range addrs {
		bus, publisher := openControlMachine(t, name, func(o *Options) {
			o.Listen = addr
			o.Peers = maps.Clone(addrs)
			delete(o.Peers, name)
			o.AcceptRate = 200
			o.SubscriberRate = 1000
		})
		buses = append(buses, bus)
		publishers = append(publishers, publisher)
		control = append(control, controlMachine("r"+name, "z", name, addr))
	}
	return buses, publishers, control
}

// Close ends every goroutine on both sides, also of links that are being dialled. A second Close and a late Resubscribe have no
// effect.
func TestCloseEndsAllGoroutines(t *testing.T) {
	before := runtime.NumGoroutine()
	func() {
		buses, publishers, control := openSlowMesh(t)
		nobodyListens := controlMachine("rx", "z", "x", freeAddress(t))
		unreachable := controlMachine("ry", "z", "y", "192.0.2.1:9")
		control = append(control, nobodyListens, unreachable)
		var directors []*Uplinks
		for i, name := range []string{"d", "e", "f"} {
			directors = append(directors, openTestUplinks(name, fmt.Sprint("r", i), 50*time.Millisecond, &directorMessages{}, control...))
		}
		for _, director := range directors {
			eventually(t, "up", func() bool { return director.Status().Up == 2 })
		}
		for i, bus := range buses {
			publishers[i].publish(bus, strings.Repeat("x", 30000), strings.Repeat("x", 30000)) // more than the rate allows at once
			eventually(t, "the mesh is up", func() bool {
				return !slices.ContainsFunc(bus.Status().Links, func(link LinkStatus) bool { return link.State != "up" })
			})
		}

		directors[0].Close()
		directors[0].Close()
		directors[0].Resubscribe()
		for _, bus := range buses {
			bus.Close()
		}
		for _, publisher := range publishers {
			publisher.checkDisconnected(t, 0)
		}
		directors[1].Close()
		directors[2].Close()
	}()
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
}

// A subscription message without a payload is not sent. One that is too long is not sent either, and is counted.
func TestSubscriptionMessages(t *testing.T) {
	control, publisher := openControlMachine(t, "a", nil)
	defer control.Close()
	var mu sync.Mutex
	var next []byte
	setPayload := func(payload []byte) {
		mu.Lock()
		defer mu.Unlock()
		next = payload
	}
	options := uplinkOptions("d", "north", &directorMessages{}, controlMachine("north", "north1", "a", control.Addr()))
	options.Log = nil
	options.Subscription = func() (string, []byte) {
		mu.Lock()
		defer mu.Unlock()
		return "hello", next
	}
	uplinks := OpenUplinks(options)
	defer uplinks.Close()
	eventually(t, "up", func() bool { return uplinks.Status().Up == 1 })

	setPayload(make([]byte, maxSubscriberFrameBytes))
	uplinks.Resubscribe()
	eventually(t, "the one that is too long is counted", func() bool { return uplinks.Status().Oversize == 1 })

	setPayload([]byte("5"))
	uplinks.Resubscribe()
	eventually(t, "received", func() bool { return publisher.countReceived("d:hello:5") == 1 })
	if got := publisher.countReceived("d"); got != 1 {
		t.Errorf("got %d messages, want 1", got)
	}
	if status := uplinks.Status(); status.SubscriptionsSent != 1 || status.Choice.Lost > 0 {
		t.Errorf("got %+v, want 1 subscription sent and no link lost", status)
	}
}
