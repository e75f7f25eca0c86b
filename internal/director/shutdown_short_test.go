package director

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// resendWindow bounds the time from writing a request to the end of its connection in which the request may stay unanswered. Its
// client sends such a request again elsewhere.
const resendWindow = 50 * time.Millisecond

// busyClient is a client that sends requests on its connection until it sees the end of the stream.
type busyClient struct {
	harness  // has its own connection
	requests []string
	wrote    map[uint32]time.Time
	answers  map[uint32]time.Time
	ended    time.Time // when it saw the end of the stream; zero: never
	mu       sync.Mutex
}

const (
	busyClientOpen  = 16               // open requests at a time
	busyClientPause = time.Millisecond // between two requests
)

func (client *busyClient) run(until time.Time) {
	slots, end := make(chan struct{}, busyClientOpen), make(chan struct{})
	go func() {
		defer close(end)
		for {
			if _, err := client.reader.Peek(1); err != nil {
				client.mu.Lock()
				if errors.Is(err, io.EOF) {
					client.ended = time.Now()
				}
				client.mu.Unlock()
				return
			}
			id, _, _ := client.readAnswer()
			client.mu.Lock()
			client.answers[id] = time.Now()
			client.mu.Unlock()
			<-slots
		}
	}()
	first := client.lastID - uint32(len(client.requests)) + 1
	for i, call := range client.requests {
		select {
		case slots <- struct{}{}:
		case <-end:
			return
		case <-time.After(time.Until(until)):
			return
		}
		client.mu.Lock()
		client.wrote[first+uint32(i)] = time.Now()
		client.mu.Unlock()
		if _, err := io.WriteString(client.conn, call); err != nil || time.Now().After(until) {
			return
		}
		time.Sleep(busyClientPause)
	}
}

// With short deadlines the process may be killed soon after the shutdown signal. Even if nodes hang and clients keep sending on
// their open connections, all requests that are read must be answered before the kill.
func TestShutdownWhileClientsKeepSending(t *testing.T) {
	for _, longest := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(longest.String(), func(t *testing.T) {
			replacements := []string{strconv.FormatInt(testTimeout.Microseconds(), 10), strconv.FormatInt(longest.Microseconds(), 10)}
			w := startWith(t, 2, replacements, nil)
			var clients []*busyClient
			const kill = 700 * time.Millisecond // after the longest deadline
			for range 4 {
				client := &busyClient{wrote: map[uint32]time.Time{}, answers: map[uint32]time.Time{}}
				client.t, client.conn, client.lastID = t, dial(t, w.conn.RemoteAddr().String()), w.lastID
				client.reader = bufio.NewReader(client.conn)
				for range 2000 {
					_, call := client.requestText("page", int(longest.Milliseconds()), "", "o", "00000000000000a1")
					client.requests = append(client.requests, call)
				}
				w.lastID = client.lastID
				clients = append(clients, client)
			}
			var running sync.WaitGroup
			killed := time.Now().Add(100*time.Millisecond + longest + kill)
			for _, client := range clients {
				running.Go(func() { client.run(killed) })
			}
			time.Sleep(time.Until(killed) - longest - kill)
			w.stop()
			time.Sleep(time.Until(killed))
			all, answered := 0, 0
			for i, client := range clients {
				client.mu.Lock()
				for id, wrote := range client.wrote {
					all++
					answer, ok := client.answers[id]
					switch {
					case ok && answer.Before(killed):
						answered++
					case !client.ended.IsZero() && client.ended.Sub(wrote) < resendWindow: // the client sends it again elsewhere
					default:
						t.Errorf("client %d: request written %v before the kill has no answer; the connection ended %v before the kill",
							i, killed.Sub(wrote), killed.Sub(client.ended))
					}
				}
				client.mu.Unlock()
			}
			t.Logf("%d of %d requests were answered", answered, all)
			if answered < 100 {
				t.Errorf("%d requests were answered, want at least 100", answered)
			}
			running.Wait()
			<-w.served
		})
	}
}

// slowWriter is a connection on which each write takes some time, as on a busy machine. It counts calls of Close during a write.
type slowWriter struct {
	*net.TCPConn
	writing  atomic.Int32
	closedIn *atomic.Int32
}

const slowWrite = 6 * time.Millisecond

func (c *slowWriter) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	time.Sleep(slowWrite)
	return c.TCPConn.Write(b)
}

func (c *slowWriter) Close() error {
	if c.writing.Load() > 0 {
		c.closedIn.Add(1)
	}
	return c.TCPConn.Close()
}

// slowListener is a listener that accepts connections as slowWriters.
type slowListener struct {
	*net.TCPListener
	closedIn atomic.Int32
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowWriter{TCPConn: conn, closedIn: &l.closedIn}, nil
}

// Each write of these clients has the rest of one message and the beginning of the next, so that a message is always incomplete.
// At the end of a shutdown, no connection may be closed while a request that was read is unanswered.
func TestShutdownWithIncompleteMessages(t *testing.T) {
	const longest = 200 * time.Millisecond
	replacements := []string{strconv.FormatInt(testTimeout.Microseconds(), 10), strconv.FormatInt(longest.Microseconds(), 10)}
	w := startWith(t, 1, replacements, func(w *harness) {
		w.director.clientLog.interval = 0 // logs every connection
	})
	l := &slowListener{TCPListener: listen(t).(*net.TCPListener)}
	ctx, stop := context.WithCancel(context.Background())
	ended := w.serveOn(ctx, l)
	var running sync.WaitGroup
	defer running.Wait()
	for range 8 {
		conn := dial(t, l.Addr().String())
		client := &harness{t: t, lastID: w.lastID}
		var pieces []string
		begin := ""
		for range 200 {
			_, call := client.requestText("page", int(longest.Milliseconds()), "", "o", "00000000000000a1")
			half := len(call) / 2
			pieces, begin = append(pieces, begin+call[:half]), call[half:]
		}
		w.lastID = client.lastID
		running.Go(func() { io.Copy(io.Discard, conn) })
		running.Go(func() {
			for _, piece := range pieces {
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
				time.Sleep(2 * slowWrite)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	stop()
	w.awaitEnd(ended)
	if n := l.closedIn.Load(); n > 0 {
		t.Errorf("%d connections were closed during the write of an answer, want none", n)
	}
	w.logged.mu.Lock()
	defer w.logged.mu.Unlock()
	for line := range strings.Lines(w.logged.text.String()) {
		if strings.Contains(line, "ending=stopped") && regexp.MustCompile(`open=[1-9]`).MatchString(line) {
			t.Error(line)
		}
	}
}

// Once the writing side of a connection is closed, no more requests may be registered: a message that is completed after that
// must be ignored.
func TestMessageCompletedAfterCloseWrite(t *testing.T) {
	w := start(t, 1)
	directorConn, peerConn := w.acceptPair(listen(t))
	c := newClientConn(w.director, directorConn)
	go c.read()
	w.useConn(peerConn)
	_, first := w.requestText("page", 5000, "")
	_, second := w.requestText("page", 5000, "")
	w.write(first + second[:20])
	command := w.nextCommand("GET")
	c.closeWriteIfCaughtUp()
	if c.isWriteClosed() {
		t.Error("writing side closed with an open request, want it open")
	}
	command.reply(t, "HIT", "-", "")
	w.readAnswer()
	w.waitUntil("closed for writing", func() bool {
		c.closeWriteIfCaughtUp()
		return c.isWriteClosed()
	})
	if _, err := w.reader.ReadByte(); err != io.EOF {
		t.Errorf("got %v, want EOF", err)
	}
	w.write(second[20:])
	w.waitUntil("closed", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.closed
	})
	w.director.mu.Lock()
	defer w.director.mu.Unlock()
	if w.director.lastID != 1 {
		t.Errorf("%d requests were registered, want 1", w.director.lastID)
	}
}
