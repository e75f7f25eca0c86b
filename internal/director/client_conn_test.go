package director

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// A client's cancellation must be forwarded to the node, and an answer that arrives after it must be ignored.
func TestClientCancels(t *testing.T) {
	w := start(t, 1)
	id := w.sendRequest("page", 5000, "")
	command := w.nextCommand("GET")
	w.write("\x93\x02" + packText("cancelRequest") + "\x91" + string(rune(id)))
	if drop := w.nextCommand("DROP"); drop.id != command.id {
		t.Errorf("node received a cancellation of %q, want one of its request", drop.id)
	}
	command.reply(t, "HIT", "-", "after the cancellation")
	w.expectServed("page", "", "-", "to the next request")
}

// If a client leaves before the first order for its request is carried out, the attempt must still end. Otherwise routing would
// count it as in flight for ever, and finally reject all requests. Nothing may be sent to a node. If the client leaves before the
// request is registered at routing, there must be no attempt.
func TestClientLeavesBeforeFirstAttempt(t *testing.T) {
	w := start(t, 1)
	c := newClientConn(w.director, nil)
	for i := range 64 {
		message := msgpack.Message{
			Class:          "log",
			IdempotencyKey: "7",
			RequestID:      fmt.Sprintf("%016x", i+1),
			Object:         "00000000000000a1",
			Body:           []byte("x"),
			Timeout:        time.Second,
		}
		r := newRequest(w.director, c, message, w.director.clock.now())
		if err := r.admit(); err != nil {
			t.Fatal(err)
		}
		r.markClientGone() // after the attempt was ordered, and before the order is carried out
		r.run()
		r.finish()
		if len(r.attempts) != 1 || !r.attempts[0].isFinished() || r.attempts[0].conn != nil || len(r.orders) > 0 {
			t.Fatalf("request %d: %d attempts, %d orders left; want one finished attempt and no order", i, len(r.attempts), len(r.orders))
		}
	}
	r := newRequest(w.director, c, msgpack.Message{Class: "page"}, w.director.clock.now())
	r.markClientGone()
	if r.serve(); len(r.attempts) > 0 || r.state != requestClientGone {
		t.Errorf("%d attempts, state %q; want none, %q", len(r.attempts), r.state, requestClientGone)
	}
}

// An unreadable message must end only its own connection. An unsolicited answer must not end a connection.
func TestUnreadableMessagesAndUnsolicitedAnswers(t *testing.T) {
	w := start(t, 2)
	other := dial(t, w.conn.RemoteAddr().String())
	other.Write([]byte("\x94\x00\x01\xdb\xff\xff\xff\xff"))
	if answer, err := io.ReadAll(other); err != nil || !strings.Contains(string(answer), "Fault") {
		t.Errorf("got answer %q, then %v; want Fault, then EOF", answer, err)
	}
	id := w.sendRequest("nothing of ours", 5000, "")
	if gotID, word, _ := w.readAnswer(); gotID != id || word != "Fault" {
		t.Errorf("got answer to %d, %q; want Fault to the invalid request", gotID, word)
	}
	id = w.sendRequest("page", 5000, "")
	firstCommand := w.nextCommand("GET")
	nodeCommand{id: "00000000000000ff", conn: firstCommand.conn}.reply(t, "HIT", "-", "to nobody")
	firstCommand.reply(t, "HIT", "-", "to this one")
	w.expectAnswer(id, "", "to this one")
	firstCommand.reply(t, "HIT", "-", "a second copy")
	if secondCommand := w.expectServed("page", "", "-", "next"); secondCommand.conn != firstCommand.conn {
		t.Error("unsolicited answers ended the connection, want it to be used again")
	}
}

// Invalid requests must be answered with an error and not be forwarded to a node.
func TestInvalidRequests(t *testing.T) {
	w := start(t, 1)
	open := w.sendRequest("page", 5000, "")
	command := w.nextCommand("GET")
	for name, test := range map[string]struct {
		class  string
		fields []string
	}{
		"request id not hexadecimal":      {"page", []string{"i", "xyz"}},
		"request id empty":                {"page", []string{"i", ""}},
		"request id in upper case":        {"page", []string{"i", "0123456789ABCDEF"}},
		"request id of an open request":   {"page", []string{"i", command.id}},
		"object id too short":             {"page", []string{"o", "a1"}},
		"object id not hexadecimal":       {"page", []string{"o", "noise"}},
		"part negative":                   {"page", []string{"n", "-1"}},
		"part not an integer":             {"page", []string{"n", "1e9"}},
		"group too large":                 {"page", []string{"shard", "256"}},
		"group not a number":              {"page", []string{"shard", "no"}},
		"timeout negative":                {"page", []string{"d", "-5"}},
		"timeout beyond a duration":       {"page", []string{"d", "99999999999999"}},
		"timeout beyond the class's":      {"page", []string{"d", "2000000"}},
		"entity tag with separators":      {"page", []string{"mine", "a,b=c"}},
		"idempotency key missing":         {"log", nil},
		"idempotency key with a space":    {"log", []string{"k", "a b"}},
		"class that is not in the config": {"nothing of ours", nil},
	} {
		id := w.sendRequest(test.class, 5000, "", test.fields...)
		if gotID, word, reason := w.readAnswer(); gotID != id || word != "Fault" {
			t.Errorf("%s: got answer to %d, %q %s; want one to %d, Fault", name, gotID, word, reason, id)
		}
	}
	command.reply(t, "HIT", "-", "to the open request")
	w.expectAnswer(open, "", "to the open request")
	w.expectServed("page", "", "-", "to the next request")
}

// Of hundreds of requests that one client sends at the same time, most must be rejected with a Retry-After and the rest forwarded.
func TestHundredsOfConcurrentRequests(t *testing.T) {
	w := start(t, 1)
	const all = 300
	for range all {
		w.sendRequest("page", 5000, "", "o", fmt.Sprintf("%016x", w.lastID+1))
	}
	var received []nodeCommand
	rejected := 0
	for rejected+len(received) < all {
		select {
		case command := <-w.commands:
			received = append(received, command)
		default:
			w.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := w.reader.Peek(1); err != nil {
				continue
			}
			w.conn.SetReadDeadline(time.Now().Add(testTimeout))
			if _, word, rest := w.readAnswer(); word != "Shed" || !strings.HasPrefix(rest, "w ") {
				t.Fatalf("got answer %q %q, want Shed with a Retry-After", word, rest)
			}
			rejected++
		}
	}
	if len(received) > maxGoroutinesPerClient {
		t.Errorf("%d requests of one client were forwarded, want at most maxGoroutinesPerClient", len(received))
	}
}

// Clients that send nothing, or only one request, must be evicted for new ones. A client with an open request must not.
func TestSilentClientsEvicted(t *testing.T) {
	w := start(t, 1)
	first := w.sendRequest("page", 5000, "")
	command := w.nextCommand("GET")
	addr, open := w.conn.RemoteAddr().String(), w.conn
	var silent []net.Conn
	for i := range 2 * w.director.bounds.clientSockets {
		w.conn = dial(t, addr)
		silent = append(silent, w.conn)
		if i%2 == 0 {
			w.reader = bufio.NewReader(w.conn)
			w.expectServed("log", "", "-", "once")
		}
	}
	if n := w.director.clients.each(func(*clientConn) {}); n > w.director.bounds.clientSockets {
		t.Errorf("got %d connections, want at most the bound", n)
	}
	if _, err := silent[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("client that was silent for longest: got %v, want EOF", err)
	}
	w.reader = bufio.NewReader(open)
	command.reply(t, "HIT", "-", "to the open request")
	w.expectAnswer(first, "", "to the open request")
}

// A connection with an unread request must not be evicted, since a director that was stalled has not read requests that arrived.
func TestClientWithUnreadRequestNotEvicted(t *testing.T) {
	w := start(t, 1)
	listener := listen(t)
	accept := func(write string) *clientConn {
		conn := dial(t, listener.Addr().String())
		directorConn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, write)
		return newClientConn(w.director, directorConn)
	}
	s := &clientSet{max: 2, active: map[*clientConn]bool{}}
	unread, silent, next := accept("a req"), accept(""), accept("")
	for !unread.hasUnread() {
		time.Sleep(time.Millisecond)
	}
	for i, c := range []*clientConn{unread, silent, next} {
		if !s.admit(c, time.Duration(i)*time.Hour) {
			t.Fatal("connection was not admitted")
		}
	}
	if !s.active[unread] || s.active[silent] {
		t.Error("the client with an unread request was evicted, want the silent one evicted")
	}
	next.mu.Lock()
	next.open[1] = &request{}
	next.mu.Unlock()
	if s.admit(accept(""), 9*time.Hour) {
		t.Error("connection was admitted although no other can be evicted")
	}
}

// A connection on which the client sends nothing, or does not complete its first message, must be closed after
// firstMessageTimeout.
func TestIncompleteFirstMessage(t *testing.T) {
	w := start(t, 1)
	silent, partial := dial(t, w.conn.RemoteAddr().String()), dial(t, w.conn.RemoteAddr().String())
	io.WriteString(partial, "\x94\x00\x07\xa4page\x92")
	for _, conn := range []net.Conn{silent, partial} {
		if _, err := io.ReadAll(conn); err != nil {
			t.Error(err)
		}
	}
}

// A client that does not read must not delay other clients, and must receive its complete answer once it reads.
func TestSlowReader(t *testing.T) {
	w := start(t, 1)
	directorConn, peerConn := net.Pipe() // unbuffered: a write blocks until the other end reads
	go newClientConn(w.director, directorConn).read()
	readingConn := w.conn
	w.conn = peerConn
	first := w.sendRequest("log", 8000, "", "k", "7")
	big := strings.Repeat("x", 240000)
	w.nextCommand("GET").reply(t, "HIT", "-", big)
	w.conn = readingConn
	second := w.sendRequest("log", 8000, "", "k", "7")
	w.nextCommand("GET").reply(t, "HIT", "-", "y")
	w.expectAnswer(second, "", "y")
	w.reader = bufio.NewReader(peerConn)
	w.expectAnswer(first, "", big)
	peerConn.Close()
}
