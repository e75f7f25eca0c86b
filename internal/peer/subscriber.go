package peer

// The connection of one subscriber: its two goroutines, its limits and its timeouts.

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Limits on the resources that a subscriber may use. They guard against a subscriber that floods and against one that does not read.
const (
	maxSubscriberFrameBytes = 64 << 10 // bytes of one frame that is read from it
	maxSubscriberFrameRate  = 200      // frames a second that are read from it: subscription messages and pings
	maxSubscriberByteRate   = 1 << 20  // bytes a second that are read from it
	subscriberSocketBuffer  = 64 << 10 // bytes that the kernel buffers for it, in each direction
	subscriberBurstSeconds  = 1        // burst of writes to it, in seconds at its rate
)

// Timeouts and intervals of a subscriber.
const (
	subscriberPingInterval   = 300 * time.Millisecond // after the last frame written to it
	subscriberSilenceTimeout = 4 * time.Second        // time without a frame from it after which its connection is closed
	slowSubscriberTimeout    = 2 * time.Second        // time for one write after which its connection is closed
)

// Publisher provides the messages that are written to subscribers. Its methods must be safe for concurrent use: Next and Receive
// may run at the same time for one subscriber, and any methods may run at the same time for several subscribers, one of which may be
// an earlier connection of the same name.
type Publisher interface {
	// Next returns the next message for s, with a payload of at most MaxPayloadBytes. A nil payload means that there is no message
	// at present. The goroutine that writes to s calls it after each Wake and after each write. It must not block for long.
	Next(s *Subscriber) (topic string, payload []byte)
	// Receive handles a message of s. The goroutine that reads from s calls it. It must not block for long.
	Receive(s *Subscriber, topic string, payload []byte)
	// Disconnected is called once for s, after all other calls for it have returned.
	Disconnected(s *Subscriber)
}

// closeReason is the reason for which a subscriber's connection was closed.
type closeReason uint8

const (
	reasonDisconnected closeReason = iota // the connection failed, or the subscriber sent a frame that is not accepted
	reasonDisplaced                       // a newer connection of the same name replaced it
	reasonRemoved                         // its name is no longer allowed to subscribe
	reasonSlow                            // a write was not complete within slowSubscriberTimeout
	reasonSilent                          // no frame was received for subscriberSilenceTimeout
	reasonClosing                         // the bus is closing
)

// Subscriber is one connection of a subscriber. It is open until end is called. One goroutine reads from it, and another writes to it.
type Subscriber struct {
	Name  string
	State any // for use by the publisher; the bus does not touch it

	bus            *Bus
	socket         net.Conn
	incarnation    uint64        // incarnation of the subscriber
	ownIncarnation uint64        // incarnation of this instance, as sent in its hello
	wake           chan struct{} // has an element while there may be something to write
	done           chan struct{} // closed by end
	ending         sync.Once     // runs the body of end
	pendingPong    atomic.Uint64 // number of the last ping that was not answered yet; 0 if there is none
}

func newSubscriber(b *Bus, socket net.Conn, hello helloFrame) *Subscriber {
	return &Subscriber{
		Name:           hello.name,
		bus:            b,
		socket:         socket,
		incarnation:    hello.sender,
		ownIncarnation: b.Incarnation(),
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
}

// Wake signals the writer to call Publisher.Next for this subscriber. It never blocks.
func (s *Subscriber) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run reads and writes until the connection ends. It calls Publisher.Disconnected after both goroutines have finished.
func (s *Subscriber) run(in *bufio.Reader) {
	var writer sync.WaitGroup
	writer.Go(s.write)
	s.read(in)
	s.end(reasonDisconnected)
	writer.Wait()
	s.bus.options.Publisher.Disconnected(s)
}

// end closes the connection and counts the reason. Only the first call has an effect.
func (s *Subscriber) end(reason closeReason) {
	s.ending.Do(func() {
		close(s.done)
		s.socket.Close()
		s.bus.subscribers.count(func(c *SubscribersStatus) {
			switch reason {
			case reasonDisplaced:
				c.Displaced++
			case reasonRemoved:
				c.Removed++
			case reasonSlow:
				c.Slow++
			case reasonSilent:
				c.Silent++
			}
		})
	})
}

// read handles the frames of the subscriber until no frame arrives for subscriberSilenceTimeout, or a frame is not accepted.
func (s *Subscriber) read(in *bufio.Reader) {
	pacer := newReadPacer(maxSubscriberFrameRate, maxSubscriberByteRate)
	for {
		s.socket.SetReadDeadline(time.Now().Add(subscriberSilenceTimeout))
		f, err := readFrame(in, maxSubscriberFrameBytes)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				s.end(reasonSilent)
			}
			s.bus.countUnreadable(err)
			return
		}
		size, ok := s.handleFrame(f)
		if !ok {
			return
		}
		pacer.wait(maxFrameOverhead+size, s.done)
	}
}

// handleFrame handles one frame and returns the size of its payload in bytes. It returns false if the frame is not accepted.
func (s *Subscriber) handleFrame(f frame) (size int, ok bool) {
	switch f := f.(type) {
	case pingFrame:
		s.pendingPong.Store(f.number)
		s.Wake()
		return 0, true
	case dataFrame:
		if f.sender != s.incarnation || !f.isFor(s.ownIncarnation) {
			s.bus.count(func(c *Counts) { c.OldIncarnation++ })
			return 0, false
		}
		s.bus.options.Publisher.Receive(s, f.topic, f.payload)
		return len(f.payload), true
	}
	s.bus.count(func(c *Counts) { c.Unreadable++ })
	return 0, false
}

// write writes the publisher's messages at the subscriber's rate, and a ping after subscriberPingInterval without a write. It also
// writes the pongs. If the reading goroutine wrote them, a subscriber that sends pings and reads nothing would extend the write
// deadline indefinitely.
func (s *Subscriber) write() {
	rate := float64(s.bus.options.SubscriberRate)
	bucket := tokenBucket{rate: rate, burst: subscriberBurstSeconds * rate}
	idle := time.NewTimer(subscriberPingInterval)
	defer idle.Stop()
	rateWait := time.NewTimer(time.Hour)
	defer rateWait.Stop()
	var buffer []byte
	pings := uint64(0)
	for {
		buffer = s.appendPong(buffer[:0])
		if wait := bucket.waitTime(time.Now()); wait == 0 {
			buffer = s.appendNext(buffer)
		} else {
			rateWait.Reset(wait)
		}
		if len(buffer) == 0 {
			select {
			case <-s.done:
				return
			case <-s.wake:
				continue
			case <-rateWait.C:
				continue
			case <-idle.C:
				pings++
				buffer = pingFrame{number: pings}.appendTo(buffer)
			}
		}
		written, ok := s.send(buffer)
		bucket.withdraw(float64(written))
		if !ok {
			return
		}
		idle.Reset(subscriberPingInterval)
	}
}

// send writes bytes within slowSubscriberTimeout and counts the bytes written. If the write fails, it closes the connection and returns
// false.
func (s *Subscriber) send(buffer []byte) (written int, ok bool) {
	s.socket.SetWriteDeadline(time.Now().Add(slowSubscriberTimeout))
	written, err := s.socket.Write(buffer)
	s.bus.subscribers.bytes.Add(int64(written))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.end(reasonSlow)
	case err != nil:
		s.end(reasonDisconnected)
	default:
		s.bus.subscribers.frames.Add(1)
	}
	return written, err == nil
}

// appendPong appends the pong to the last ping, unless that ping was already answered.
func (s *Subscriber) appendPong(buffer []byte) []byte {
	number := s.pendingPong.Swap(0)
	if number == 0 {
		return buffer
	}
	return pongFrame{number: number}.appendTo(buffer)
}

// appendNext appends the publisher's next message, if there is one. A message whose payload is too long is dropped and counted.
func (s *Subscriber) appendNext(buffer []byte) []byte {
	topic, payload := s.bus.options.Publisher.Next(s)
	if payload == nil {
		return buffer
	}
	if len(payload) > MaxPayloadBytes {
		s.bus.subscribers.count(func(c *SubscribersStatus) { c.Oversize++ })
		return buffer
	}
	data := dataFrame{sender: s.ownIncarnation, receiver: s.incarnation, topic: topic, payload: payload}
	return data.appendTo(buffer)
}
