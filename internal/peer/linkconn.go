package peer

// The goroutines of a link to a peer, which dial, exchange hellos, write messages and pings, and read pongs.

import (
	"bufio"
	"context"
	"net"
	"time"
)

// writeBatchBytes limits a batch of messages: no further message is added to a write that has at least this many bytes.
const writeBatchBytes = 32 << 10

// run dials and writes until the link ends, with an exponential backoff between dials.
func (l *link) run() {
	backoff := minRedialBackoff
	for {
		began := time.Now()
		err := l.runOnce()
		if time.Since(began) > maxRedialBackoff { // the connection was up for some time
			backoff = minRedialBackoff
		}
		select {
		case <-l.done:
			return
		case <-time.After(randomBackoff(backoff)):
		}
		if !isLocalError(err) { // a local error is not a reason to dial the peer less often
			backoff = min(2*backoff, maxRedialBackoff)
		}
	}
}

// runOnce dials, exchanges hellos and writes until the connection fails. It returns an error only if the dial failed.
func (l *link) runOnce() error {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
	dialContext, cancel := context.WithTimeout(context.Background(), dialTimeout)
	socket, err := dialOrDefault(l.bus.options.Dial)(dialContext, "tcp", l.addr)
	cancel()
	if err != nil {
		l.setState(linkWaiting, nil)
		return err
	}
	if !l.setState(linkDialling, socket) {
		socket.Close()
		return nil
	}
	in := bufio.NewReader(socket)
	incarnation := l.bus.Incarnation()
	peerIncarnation, ok := l.exchangeHello(socket, in, incarnation)
	if !ok {
		return nil
	}
	l.bus.goroutines.Go(func() { l.readPongs(socket, in) })
	l.write(socket, dataFrame{sender: incarnation, receiver: peerIncarnation})
	l.setState(linkWaiting, nil) // closes the socket, which ends readPongs
	return nil
}

// exchangeHello writes this instance's hello, reads the answer and returns the peer's incarnation. It returns false if no answer
// accepts this instance, or if the link has ended.
func (l *link) exchangeHello(socket net.Conn, in *bufio.Reader, incarnation uint64) (peerIncarnation uint64, ok bool) {
	socket.SetDeadline(time.Now().Add(helloTimeout))
	hello := helloFrame{version: protocolVersion, name: l.bus.options.Name, sender: incarnation}
	answer, err := writeHelloAndRead(socket, in, hello)
	if err != nil || answer.version != protocolVersion || answer.name != l.name {
		l.setState(linkWaiting, nil)
		return 0, false
	}
	if answer.receiver != incarnation { // the peer does not list this instance, or knows a later incarnation of it
		l.setState(linkRejected, nil)
		l.bus.raiseIncarnation(answer.receiver)
		return 0, false
	}
	socket.SetDeadline(time.Time{})
	l.helloReceived(answer.sender)
	return answer.sender, l.setState(linkUp, nil)
}

// writeHelloAndRead writes a hello and returns the other side's hello. The caller sets the deadlines.
func writeHelloAndRead(socket net.Conn, in *bufio.Reader, hello helloFrame) (helloFrame, error) {
	if _, err := socket.Write(hello.appendTo(nil)); err != nil {
		return helloFrame{}, err
	}
	f, err := readFrame(in, maxHelloBytes)
	if err != nil {
		return helloFrame{}, err
	}
	answer, ok := f.(helloFrame)
	if !ok {
		return helloFrame{}, errUnexpectedFrame
	}
	return answer, nil
}

// write sends messages and pings until the connection fails, no frame is received for silenceTimeout, or the link ends. The envelope
// is a data frame with the incarnations of both ends, without topic and payload.
func (l *link) write(socket net.Conn, envelope dataFrame) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	var buffer []byte
	for {
		buffer = buffer[:0]
		select {
		case <-l.done:
			return
		case <-ticker.C:
			if l.isSilent() {
				discardUnsent(socket)
				return
			}
			ping := pingFrame{number: pingNumber(l.bus.sinceStart())}
			buffer = ping.appendTo(buffer)
		case <-l.wake:
			buffer = l.appendQueued(buffer, envelope)
		}
		if len(buffer) == 0 {
			continue
		}
		if l.send(socket, buffer) != nil {
			return
		}
	}
}

// send writes bytes within silenceTimeout and counts the bytes written.
func (l *link) send(socket net.Conn, b []byte) error {
	socket.SetWriteDeadline(time.Now().Add(silenceTimeout))
	written, err := socket.Write(b)
	l.mu.Lock()
	l.writtenBytes += int64(written)
	l.mu.Unlock()
	return err
}

// appendQueued appends queued messages until the buffer has writeBatchBytes or the queue is empty. If messages may be left, it
// signals the writer again, so that a ping can be sent between two batches.
func (l *link) appendQueued(buffer []byte, envelope dataFrame) []byte {
	for len(buffer) < writeBatchBytes {
		next, ok := l.dequeue()
		if !ok {
			return buffer
		}
		envelope.topic, envelope.payload = next.topic, next.payload
		buffer = envelope.appendTo(buffer)
	}
	l.wakeWriter()
	return buffer
}

// discardUnsent makes the kernel drop unsent bytes when the connection is closed, because messages must not arrive after the link
// was closed for silence.
func discardUnsent(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// pingNumber returns the number of a ping that is sent now: the time since the start in nanoseconds, at least 1. The pong repeats the
// number, from which roundTrip computes the round trip time.
func pingNumber(sinceStart time.Duration) uint64 { return uint64(max(1, sinceStart)) }

// roundTrip returns the time since the ping with a number was sent. A negative result means that this instance sent no ping with that
// number.
func roundTrip(sinceStart time.Duration, number uint64) time.Duration {
	if number == 0 {
		return -1
	}
	return sinceStart - time.Duration(number)
}

// readPongs reads pongs until the connection ends or a frame of another kind arrives. Then it closes the connection, which ends write.
func (l *link) readPongs(socket net.Conn, in *bufio.Reader) {
	defer socket.Close()
	for {
		f, err := readFrame(in, maxHelloBytes)
		pong, ok := f.(pongFrame)
		if err != nil || !ok {
			return
		}
		l.pongReceived(roundTrip(l.bus.sinceStart(), pong.number))
	}
}
