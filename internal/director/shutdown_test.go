package director

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// After the shutdown signal, requests must still be answered. Then the director must end by itself.
func TestShutdown(t *testing.T) {
	w := start(t, 1)
	before := w.sendRequest("log", 5000, "1", "k", "7")
	command := w.nextCommand("GET")
	w.stop()
	after := w.sendRequest("log", 5000, "2", "k", "7")
	w.nextCommand("GET").reply(t, "HIT", "-", "b")
	w.expectAnswer(after, "", "b")
	command.reply(t, "HIT", "-", "a")
	w.expectAnswer(before, "", "a")
	w.awaitEnd(w.served)
	if _, err := w.reader.ReadByte(); err != io.EOF {
		t.Errorf("client connection: got %v, want EOF", err)
	}
}

// A request that is still open long after the shutdown signal must fail before the process is killed.
func TestShutdownFailsOpenRequests(t *testing.T) {
	w := start(t, 1)
	id := w.sendRequest("order", 15000, "1")
	w.nextCommand("GET")
	w.stop()
	if gotID, word, _ := w.readAnswer(); gotID != id || word != "Fault" {
		t.Fatalf("got answer to %d, %q; want Fault to the open request", gotID, word)
	}
	<-w.served
}

// A request that arrives after the director has closed its writing side must not be forwarded, since no answer could reach the
// client.
func TestRequestsAfterCloseWriteIgnored(t *testing.T) {
	w := start(t, 1)
	w.stop()
	if _, err := w.reader.ReadByte(); err != io.EOF { // the client sees the end of the stream, but still writes
		t.Fatalf("got %v, want EOF", err)
	}
	for range 8 {
		w.sendRequest("order", 5000, "x")
	}
	<-w.served
	w.director.mu.Lock()
	defer w.director.mu.Unlock()
	if w.director.lastID != 0 {
		t.Errorf("%d requests were registered, want none", w.director.lastID)
	}
}

// A request that is unread or has arrived in part when its connection is about to be closed must be answered first, whether the
// connection is idle, is evicted or the director shuts down.
func TestRequestsArrivingBeforeClose(t *testing.T) {
	w := start(t, 1)
	listener := listen(t)
	for name, text := range map[string]func(string) (string, string){
		"whole": func(call string) (string, string) { return call, "" },
		"half":  func(call string) (string, string) { return call[:20], call[20:] },
		"behind another": func(call string) (string, string) { // behind an unknown notification, which gets no answer
			return "\x93\x02" + packText("hello") + "\x90" + call, ""
		},
	} {
		directorConn, peerConn := w.acceptPair(listener)
		id, call := w.requestText("page", 5000, "")
		first, rest := text(call)
		io.WriteString(peerConn, first)
		c := newClientConn(w.director, directorConn)
		w.waitUntil("readable", c.hasUnread)
		c.mu.Lock()
		c.hasSentMessage, c.lastActivity = true, -time.Hour // the client was silent for long before this request
		c.mu.Unlock()
		c.closeWhenIdle()
		go c.read()
		if rest != "" {
			w.waitUntil("reading the message", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.midMessage
			})
			c.closeWhenIdle()
			io.WriteString(peerConn, rest)
		}
		w.nextCommand("GET").reply(t, "HIT", "-", name)
		restore := w.useConn(peerConn)
		w.expectAnswer(id, "", name)
		if _, err := w.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: got %v after the answer, want EOF", name, err)
		}
		restore()
	}
}

// Closing a socket with unread bytes resets the connection and loses answers. So no connection may be closed with unread bytes,
// neither after an unreadable message nor when it is idle, even if the client still writes.
func TestNoCloseWithUnreadBytes(t *testing.T) {
	w := start(t, 1)
	listener := listen(t)
	for name, write := range map[string]string{"unreadable": "\x94\x00\x01\xdb\xff\xff\xff\xff", "idle": ""} {
		tcp, peerConn := w.acceptPair(listener)
		directorConn := &closeRecorder{tcp, make(chan int, 1)}
		c := newClientConn(w.director, directorConn)
		go c.read()
		io.WriteString(peerConn, write)
		if write == "" {
			c.closeWhenIdle()
		}
		restore := w.useConn(peerConn)
		if name == "unreadable" {
			if _, word, _ := w.readAnswer(); word != "Fault" {
				t.Errorf("got answer %q, want Fault", word)
			}
		}
		if _, err := w.reader.ReadByte(); err != io.EOF { // the client sees the end of the stream
			t.Errorf("%s: got %v, want EOF", name, err)
		}
		restore()
		peerConn.Write(make([]byte, 300<<10))
		if n := <-directorConn.unread; n > 0 {
			t.Errorf("%s: closed with %d unread bytes, want none", name, n)
		}
	}
}

// An unreadable message must end its connection only after the open requests on it are answered.
func TestOpenRequestsAnsweredAfterUnreadableMessage(t *testing.T) {
	w := start(t, 1)
	tcp, peerConn := w.acceptPair(listen(t))
	directorConn := &deadlineCounter{TCPConn: tcp}
	go newClientConn(w.director, directorConn).read()
	w.useConn(peerConn)
	id := w.sendRequest("order", 8000, "x")
	command := w.nextCommand("GET")
	w.write("\x94\x00\x63\xdb\xff\xff\xff\xff")
	if got, word, _ := w.readAnswer(); got != 99 || word != "Fault" {
		t.Errorf("got answer to %d, %q; want one to 99, Fault", got, word)
	}
	before := directorConn.deadlines.Load()
	w.waitUntil("reading further", func() bool { return directorConn.deadlines.Load() > before+3 })
	command.reply(t, "HIT", "-", "after the unreadable message")
	w.expectAnswer(id, "", "after the unreadable message")
	if _, err := w.reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v after the answer, want EOF", err)
	}
}

// deadlineCounter is a connection that counts the calls of SetReadDeadline, of which there is one for each wait of the reader.
type deadlineCounter struct {
	*net.TCPConn
	deadlines atomic.Int32
}

func (c *deadlineCounter) SetReadDeadline(t time.Time) error {
	c.deadlines.Add(1)
	return c.TCPConn.SetReadDeadline(t)
}

// lateListener is a listener that returns one more connection after its deadline was set.
type lateListener struct {
	net.Listener
	stopped chan struct{}
	late    chan net.Conn
}

func (l *lateListener) SetDeadline(time.Time) error {
	close(l.stopped)
	return nil
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.stopped
	select {
	case conn := <-l.late:
		time.Sleep(100 * time.Millisecond) // a director that does not wait for the connection has ended by now
		return conn, nil
	default:
		return nil, os.ErrDeadlineExceeded
	}
}

// A connection that is accepted after the listener's deadline was set must be served before the director ends.
func TestConnectionAcceptedAtEndOfShutdown(t *testing.T) {
	w := start(t, 1)
	w.conn.Close()
	l := &lateListener{listen(t), make(chan struct{}), make(chan net.Conn, 1)}
	directorConn, peerConn := w.acceptPair(l.Listener)
	l.late <- directorConn
	w.useConn(peerConn)
	id := w.sendRequest("page", 5000, "")
	ctx, stop := context.WithCancel(context.Background())
	ended := w.serveOn(ctx, l)
	stop()
	command := w.nextCommand("GET")
	select {
	case <-ended:
		t.Error("the director has ended, want it to wait for the open request")
	default:
	}
	command.reply(t, "HIT", "-", "late")
	w.expectAnswer(id, "", "late")
	<-ended
}

// A shutdown signal that arrives before the director serves must not change the shutdown. A reload during the shutdown must move
// the watch.
func TestSignalBeforeServeAndReloadDuringShutdown(t *testing.T) {
	w := start(t, 1)
	listener := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	stop()
	ended := w.serveOn(ctx, listener)
	w.connect(listener.Addr().String())
	w.expectServed("page", "", "-", "after the signal")
	newService := listen(t)
	moved := *w.director.config
	moved.DiscoveryAddr = netip.MustParseAddrPort(newService.Addr().String())
	w.director.reload(&moved, nil)
	w.acceptWatch(newService)
	<-ended
}

// If open requests are failed while their answers are being written, no request may get two answers. A client that reads nothing
// may delay the end of the shutdown for a bounded time only.
func TestShutdownFailureDuringAnswer(t *testing.T) {
	w := start(t, 1)
	directorConn, peerConn := net.Pipe() // unbuffered: a write blocks until the other end reads
	c := newClientConn(w.director, directorConn)
	go c.read()
	w.director.clients.admit(c, 0)
	readingConn := w.conn
	w.conn = peerConn
	id := w.sendRequest("log", 8000, "", "k", "7")
	w.nextCommand("GET").reply(t, "HIT", "-", strings.Repeat("x", 1000))
	w.waitUntil("being written", func() bool {
		w.director.mu.Lock()
		defer w.director.mu.Unlock()
		for _, r := range w.director.requests {
			return !r.answerDue
		}
		return false
	})
	w.director.failAllOpen()
	w.director.failAllOpen()
	w.reader = bufio.NewReader(peerConn)
	w.expectAnswer(id, "", strings.Repeat("x", 1000))
	peerConn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if b, err := w.reader.ReadByte(); err == nil {
		t.Errorf("got a second answer that begins with %x, want none", b)
	}
	peerConn.SetReadDeadline(time.Now().Add(testTimeout))
	w.conn = peerConn
	w.sendRequest("order", 15000, "never answered, never read")
	w.nextCommand("GET")
	w.conn = readingConn
	before := time.Now()
	w.stop()
	<-w.served
	if took := time.Since(before); took > maxDrainTime+drainMargin+drainGrace+time.Second {
		t.Errorf("shutdown took %v, want at most 1s more than the schedule", took)
	}
}
