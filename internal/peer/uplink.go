package peer

// The link of a director to one control machine: its goroutines, timeouts and errors.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Timeouts and intervals of an uplink.
const (
	uplinkSilenceTimeout    = time.Second            // time without a frame after which the link is lost
	uplinkPingInterval      = time.Second            // between two pings
	minSubscriptionInterval = 200 * time.Millisecond // between two subscription messages on one link
)

// maxSubscriptionBytes is the largest payload of a subscription message. It follows from the largest frame that a control machine
// accepts.
const maxSubscriptionBytes = maxSubscriberFrameBytes - maxFrameOverhead - maxTopicBytes

// Errors of an uplink. They are logged; docs/oncall.md quotes the first two.
var (
	errWrongPeer         = errors.New("uplink: unexpected peer name or protocol version")
	errRejected          = errors.New("uplink: rejected: the control machine does not list this director, or knows a later incarnation of it")
	errIncarnationRaised = fmt.Errorf("%w: incarnation raised above the known one", errRejected)
	errWrongIncarnation  = errors.New("uplink: message from or to another incarnation")
)

// uplink is one connection to a control machine, or one attempt to dial it. It exists until end is called and is not redialled: the
// selector decides on the next attempt, for which another uplink is created. One goroutine dials and writes, and another reads.
type uplink struct {
	uplinks         *Uplinks
	name            string
	addr            string
	ctx             context.Context // done when the link has ended
	cancel          context.CancelFunc
	wake            chan struct{} // has an element while a subscription message may be due
	subscriptionDue atomic.Bool
	roundTrip       atomic.Int64 // round trip time of the last ping, in nanoseconds; 0 if not known

	mu     sync.Mutex // guards socket until the exchange of hellos, after which socket does not change
	socket net.Conn

	incarnation        uint64 // incarnation of this director, as sent in its hello
	controlIncarnation uint64 // incarnation of the control machine, from its hello
}

func newUplink(u *Uplinks, name, addr string) *uplink {
	l := &uplink{uplinks: u, name: name, addr: addr, wake: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// end closes the connection, or cancels the dial. It may be called more than once.
func (l *uplink) end() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != nil {
		l.socket.Close()
	}
}

// setSocket sets the dialled connection. If the link has ended in the meantime, it closes the connection and returns an error.
func (l *uplink) setSocket(socket net.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.socket = socket
	if l.ctx.Err() == nil {
		return nil
	}
	socket.Close()
	return context.Cause(l.ctx)
}

// requestSubscription signals the writer to send a subscription message. It never blocks.
func (l *uplink) requestSubscription() {
	l.subscriptionDue.Store(true)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run dials, exchanges hellos and writes until the link ends.
func (l *uplink) run() {
	in, err := l.connect()
	if errors.Is(err, errIncarnationRaised) { // the second attempt uses the higher incarnation
		in, err = l.connect()
	}
	if err != nil {
		l.uplinks.reportDialFailed(l, err)
		return
	}
	l.uplinks.reportLinkUp(l)
	l.uplinks.goroutines.Go(func() { l.read(in) })
	l.write()
	l.socket.Close() // ends read, which reports the loss
}

// connect dials and exchanges hellos. If it returns an error, the connection is closed. The error errIncarnationRaised means that this
// director's incarnation was too low and has been raised.
func (l *uplink) connect() (*bufio.Reader, error) {
	dialContext, cancel := context.WithTimeout(l.ctx, dialTimeout)
	socket, err := l.dial(dialContext)
	cancel()
	if err != nil {
		return nil, err
	}
	if err := l.setSocket(socket); err != nil {
		return nil, err
	}
	in := bufio.NewReader(countingConn{socket, &l.uplinks.counters.receivedBytes})
	if err := l.exchangeHello(in); err != nil {
		socket.Close()
		return nil, err
	}
	return in, nil
}

// dial connects to the control machine. It retries after a local error until the context is done: such an error does not indicate a
// fault of the control machine, so it must not affect the selection.
func (l *uplink) dial(ctx context.Context) (net.Conn, error) {
	for {
		socket, err := dialOrDefault(l.uplinks.options.Dial)(ctx, "tcp", l.addr)
		if !isLocalError(err) {
			return socket, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(randomBackoff(minRedialBackoff)):
		}
	}
}

// countingConn is a connection that counts the bytes read from it.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// send writes bytes within a timeout and counts the bytes written.
func (l *uplink) send(b []byte, timeout time.Duration) error {
	l.socket.SetWriteDeadline(time.Now().Add(timeout))
	written, err := l.socket.Write(b)
	l.uplinks.counters.writtenBytes.Add(int64(written))
	return err
}

// exchangeHello writes this director's hello and reads that of the control machine. It returns the errors of checkAnswer and of the
// connection.
func (l *uplink) exchangeHello(in *bufio.Reader) error {
	u := l.uplinks
	l.incarnation = u.incarnation.Load()
	hello := helloFrame{version: protocolVersion, name: u.options.Name, sender: l.incarnation}
	if err := l.send(hello.appendTo(nil), helloTimeout); err != nil {
		return err
	}
	l.socket.SetReadDeadline(time.Now().Add(helloTimeout))
	f, err := readFrame(in, maxHelloBytes)
	if err != nil {
		return err
	}
	answer, ok := f.(helloFrame)
	if !ok {
		return errWrongPeer
	}
	if err := l.checkAnswer(answer); err != nil {
		return err
	}
	l.controlIncarnation = answer.sender
	return nil
}

// checkAnswer checks that a hello is from the expected control machine and accepts this director. The error is errWrongPeer,
// errRejected or errIncarnationRaised. The last one means that the control machine knows a higher incarnation of this director.
func (l *uplink) checkAnswer(answer helloFrame) error {
	u := l.uplinks
	switch {
	case answer.version != protocolVersion || answer.name != l.name:
		return errWrongPeer
	case answer.receiver == l.incarnation:
		return nil
	}
	raiseIncarnationAbove(&u.incarnation, answer.receiver, u.options.Log)
	if answer.receiver > l.incarnation { // raised by this call, or earlier by the other link
		return errIncarnationRaised
	}
	return errRejected
}

// write sends pings and subscription messages until the link ends. Subscription messages are at least minSubscriptionInterval apart.
func (l *uplink) write() {
	pings := time.NewTicker(uplinkPingInterval)
	defer pings.Stop()
	intervalOver := time.NewTimer(time.Hour)
	defer intervalOver.Stop()
	var lastSubscription time.Time
	buffer := l.appendPing(nil)
	for {
		wait := minSubscriptionInterval - time.Since(lastSubscription)
		switch {
		case !l.subscriptionDue.Load():
		case wait > 0:
			intervalOver.Reset(wait)
		default:
			l.subscriptionDue.Store(false)
			lastSubscription = time.Now()
			buffer = l.appendSubscription(buffer)
		}
		if len(buffer) > 0 {
			if l.send(buffer, uplinkSilenceTimeout) != nil {
				return
			}
			buffer = buffer[:0]
		}
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-intervalOver.C:
		case <-pings.C:
			buffer = l.appendPing(buffer)
		}
	}
}

// appendPing appends a ping with the present time as its number. The pong repeats it, from which the round trip time is computed.
func (l *uplink) appendPing(buffer []byte) []byte {
	return pingFrame{number: pingNumber(l.uplinks.sinceStart())}.appendTo(buffer)
}

// appendSubscription appends the subscription message. A message whose payload exceeds maxSubscriptionBytes is dropped, counted and
// logged.
func (l *uplink) appendSubscription(buffer []byte) []byte {
	u := l.uplinks
	topic, payload := u.options.Subscription()
	if payload == nil {
		return buffer
	}
	if len(payload) > maxSubscriptionBytes {
		u.counters.oversize.Add(1)
		u.options.Log.WithField("bytes", len(payload)).Error("uplink: subscription message not sent because it is too long")
		return buffer
	}
	u.counters.subscriptionsSent.Add(1)
	data := dataFrame{sender: l.incarnation, receiver: l.controlIncarnation, topic: topic, payload: payload}
	return data.appendTo(buffer)
}

// read handles the frames of the control machine until the link fails or no frame arrives for uplinkSilenceTimeout. Then it reports
// the loss.
func (l *uplink) read(in *bufio.Reader) {
	pacer := newReadPacer(maxFrameRate, maxByteRate)
	for {
		l.socket.SetReadDeadline(time.Now().Add(uplinkSilenceTimeout))
		f, err := readFrame(in, maxFrameBytes)
		size := 0
		if err == nil {
			size, err = l.handleFrame(f)
		}
		if err != nil {
			l.uplinks.reportLinkLost(l, err)
			return
		}
		pacer.wait(maxFrameOverhead+size, l.ctx.Done())
	}
}

// handleFrame handles one frame and returns the size of its payload in bytes. An error ends the link.
func (l *uplink) handleFrame(f frame) (size int, err error) {
	switch f := f.(type) {
	case pingFrame: // resets the silence timeout; it is not answered with a pong
		return 0, nil
	case pongFrame:
		if rtt := roundTrip(l.uplinks.sinceStart(), f.number); rtt >= 0 {
			l.roundTrip.Store(int64(rtt))
		}
		return 0, nil
	case dataFrame:
		if f.sender != l.controlIncarnation || f.receiver != l.incarnation {
			return 0, errWrongIncarnation
		}
		l.deliver(f)
		return len(f.payload), nil
	}
	return 0, errUnexpectedFrame
}

// deliver passes a message to the handler if this is the active link. It first waits until the handler has finished with the last
// message of the formerly active link.
func (l *uplink) deliver(data dataFrame) {
	u := l.uplinks
	u.handlerMu.Lock()
	defer u.handlerMu.Unlock()
	if u.active.Load() != l {
		u.counters.passive.Add(1)
		return
	}
	u.counters.delivered.Add(1)
	u.options.Handler(data.topic, data.payload)
}
