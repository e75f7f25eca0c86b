package director

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// A refused connection proves that the request was not executed, so even a non-idempotent request must be retried at another
// node.
func TestRefusedConnectionRetriedElsewhere(t *testing.T) {
	w := start(t, 2)
	id := w.sendRequest("order", 5000, "x")
	home := w.nextCommand("GET")
	home.reply(t, "HIT", "-", "")
	w.expectAnswer(id, "", "")
	w.nodes[home.node].Close()
	home.conn.Close()
	for closed := false; !closed; time.Sleep(time.Millisecond) { // until the director has removed the connection
		w.director.pool.mu.Lock()
		closed = len(w.director.pool.byID[uint32(home.node+1)].conns) == 0
		w.director.pool.mu.Unlock()
	}
	w.expectServed("order", "x", "-", "")
}

// An unreadable answer of a node must affect only the requests on its connection, and each request must have its own connection
// while sockets are left. An idempotent request must then be retried, also at the same node if that node answers other requests.
func TestUnreadableAnswer(t *testing.T) {
	w := start(t, 1)
	w.expectServed("log", "", "-", "well")
	first, second := w.sendRequest("log", 5000, "1", "k", "7"), w.sendRequest("log", 5000, "2", "k", "7")
	firstCommand, secondCommand := w.nextCommand("GET"), w.nextCommand("GET")
	if firstCommand.conn == secondCommand.conn {
		t.Fatal("two requests on one connection, want one connection each")
	}
	if firstCommand.body == "2" {
		firstCommand, secondCommand = secondCommand, firstCommand
	}
	w.expectServed("log", "", "-", "meanwhile")
	io.WriteString(firstCommand.conn, "*4\r\n$noise")
	again := w.nextCommand("GET")
	if again.body != "1" || again.conn == firstCommand.conn {
		t.Fatalf("got %v after an unreadable answer, want the first request on another connection", again)
	}
	again.reply(t, "HIT", "-", "a")
	w.expectAnswer(first, "", "a")
	secondCommand.reply(t, "HIT", "-", "b")
	w.expectAnswer(second, "", "b")
}

// If a node stops within an answer, the connection must end and the request must be retried long before the client timeout.
func TestRetryAfterIncompleteAnswer(t *testing.T) {
	w := start(t, 2)
	w.expectServed("page", "", "-", "well")
	id := w.sendRequest("page", 15000, "")
	io.WriteString(w.nextCommand("GET").conn, "*4\r\n$16\r\n00")
	w.nextCommand("GET").reply(t, "HIT", "-", "again")
	w.expectAnswer(id, "", "again")
}

// After a cancelled attempt, a retry at the same node must use another connection. Otherwise a late answer to the first attempt
// could be mistaken for an answer to the second.
func TestRetryUsesAnotherConnection(t *testing.T) {
	w := start(t, 1)
	r := w.bareRequest(time.Hour)
	send := func() *attempt {
		next := bareAttempt(r, "twice")
		next.command.Class, next.command.Timeout = "page", time.Second
		r.attempts = append(r.attempts, next)
		w.director.pool.sendAttempt(1, next)
		return next
	}
	first := send()
	firstCommand := w.nextCommand("GET")
	first.cancel(Cancelled)
	w.nextCommand("DROP")
	w.expectEnding(r, Cancelled)
	second := send()
	secondCommand := w.nextCommand("GET")
	if secondCommand.conn == firstCommand.conn {
		t.Fatal("the second attempt is on the same connection, want another one")
	}
	firstCommand.reply(t, "HIT", "-", "to the first")
	secondCommand.reply(t, "HIT", "-", "to the second")
	if ended := w.nextEnded(r); ended != second || string(ended.response.Body) != "to the second" {
		t.Error("the second attempt ended with another answer than its own")
	}
}

// If a node stops within an answer, no further request may be queued on that connection.
func TestNoRequestBehindIncompleteAnswer(t *testing.T) {
	w := start(t, 1)
	w.sendRequest("page", 500, "")
	firstCommand := w.nextCommand("GET")
	io.WriteString(firstCommand.conn, "*4\r\n$16\r\n"+firstCommand.id+"\r\n$3\r\nHI")
	if _, word, _ := w.readAnswer(); word != "Shed" {
		t.Errorf("got answer %q, want Shed", word)
	}
	w.nextCommand("DROP")
	id := w.sendRequest("page", 5000, "")
	secondCommand := w.nextCommand("GET")
	if secondCommand.conn == firstCommand.conn {
		t.Fatal("the second request is on the connection with the incomplete answer, want another one")
	}
	secondCommand.reply(t, "HIT", "-", "whole")
	w.expectAnswer(id, "", "whole")
}

// If the connection ends or gets stuck before a request was written completely, the attempt must end as PartlySent, which means
// that it was never executed.
func TestPartlySent(t *testing.T) {
	for _, stuck := range []bool{false, true} {
		w := start(t, 1)
		directorConn, peerConn := net.Pipe()
		r := w.bareRequest(time.Hour)
		partial := bareAttempt(r, "")
		partial.command.Body = make([]byte, 48000)
		w.newWritingConn(partial, directorConn)
		if _, err := io.ReadFull(peerConn, make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		if stuck {
			time.Sleep(2 * stuckAfter) // a longer wait does no harm
			partial.cancel(Cancelled)
		} else {
			peerConn.Close()
		}
		if ended := w.nextEnded(r); ended.ending != PartlySent {
			t.Errorf("stuck %v: ended as %v, want %v", stuck, ended.ending, PartlySent)
		}
	}
}

// An order that has waited for too long must be void, since drains and purges may have been applied after it was given.
func TestOrderExpired(t *testing.T) {
	w := start(t, 1)
	r := w.bareRequest(time.Hour)
	stale := bareAttempt(r, "")
	stale.orderedAt -= 2 * orderLifetime
	w.director.pool.sendAttempt(1, stale)
	if ended := w.expectEnding(r, OrderExpired); ended != stale {
		t.Error("another attempt ended, want the stale one")
	}
}

// A node that refuses connections or to which dials time out is dead or unreachable. A node that resets a new connection may be
// healthy.
func TestEndingOfDial(t *testing.T) {
	for err, want := range map[error]Ending{
		syscall.ECONNREFUSED:   ConnectFailed,
		syscall.EHOSTUNREACH:   ConnectFailed,
		syscall.ETIMEDOUT:      ConnectFailed,
		os.ErrDeadlineExceeded: ConnectFailed,
		syscall.ECONNRESET:     Broken,
		syscall.ENETUNREACH:    LocalFault,
		syscall.EADDRNOTAVAIL:  LocalFault,
		syscall.ENOBUFS:        LocalFault,
		syscall.ENFILE:         LocalFault,
		syscall.EMFILE:         LocalFault,
		syscall.ENOMEM:         LocalFault,
		syscall.EPERM:          LocalFault,
		syscall.EACCES:         LocalFault,
		syscall.EAGAIN:         LocalFault,
	} {
		if got := endingOfDial(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}); got != want {
			t.Errorf("%v: got %v, want %v", err, got, want)
		}
	}
}

// Only an attempt that was never executed may be reported as such. With a wrong result, routing would retry a request that must
// not be executed twice.
func TestEndingResult(t *testing.T) {
	neverExecuted := map[Ending]routing.Result{
		ConnectFailed:     routing.ConnectFailed,
		PartlySent:        routing.NotSent,
		OrderExpired:      routing.NotSent,
		NotSent:           routing.Obsolete,
		NoSocket:          routing.Rejected,
		AnsweredNotCached: routing.NotCached,
		AnsweredRejected:  routing.Rejected,
		AnsweredLate:      routing.Obsolete,
		LocalFault:        routing.LocalError,
	}
	maybeExecuted := map[Ending]routing.Result{
		AnsweredHit:         routing.Served,
		AnsweredNotModified: routing.Served,
		AnsweredFault:       routing.Failed,
		NoMemory:            routing.Cancelled,
		Cancelled:           routing.Cancelled,
		Expired:             routing.TimedOut,
		AnswerLost:          routing.Reset,
		Closed:              routing.Reset,
		Stopped:             routing.Reset,
		Broken:              routing.Reset,
		Unreadable:          routing.Reset,
		Stalled:             routing.Reset,
	}
	for ending := range Ending(len(endings)) {
		want, listed := neverExecuted[ending]
		if !listed {
			want, listed = maybeExecuted[ending]
		}
		if !listed {
			t.Errorf("%v is in neither table of the test", ending)
		}
		if got := ending.result(); got != want {
			t.Errorf("%v: got result %d, want %d", ending, got, want)
		}
	}
	if got, want := LocalFault.String(), "local fault"; got != want {
		t.Errorf("name of LocalFault: got %q, want %q", got, want)
	}
}

// A health check must distinguish nodes that answer, are silent or refuse connections. It must not take a socket that is reserved
// for requests.
func TestHealthCheck(t *testing.T) {
	w := start(t, 1)
	w.director.pool.config.DialTimeout = 200 * time.Millisecond
	results := make(chan routing.Result, 1)
	check := func(id uint32) { w.director.pool.checkHealth(id, func(e routing.Result) { results <- e }) }
	check(1)
	w.nextCommand("PING").reply(t, "PONG", "-", "")
	if e := <-results; e != routing.Served {
		t.Errorf("node that answers: got %v, want Served", e)
	}
	check(1)
	w.nextCommand("PING")
	if e := <-results; e != routing.TimedOut {
		t.Errorf("silent node: got %v, want TimedOut", e)
	}
	check(0xaa)
	if e := <-results; e != routing.ConnectFailed {
		t.Errorf("dead node: got %v, want ConnectFailed", e)
	}
	w.director.pool.mu.Lock()
	w.director.pool.socketsLeft = w.director.pool.socketsReserved
	w.director.pool.mu.Unlock()
	check(1)
	select {
	case command := <-w.commands:
		t.Errorf("no spare socket: node received %v, want no health check", command)
	case <-time.After(100 * time.Millisecond):
	}
}

// pausedWrite is a connection whose Write writes the bytes and then blocks until it is released.
type pausedWrite struct {
	net.Conn
	wrote, release chan struct{}
}

func (h *pausedWrite) Write(b []byte) (int, error) {
	n, err := h.Conn.Write(b)
	close(h.wrote)
	<-h.release
	return n, err
}

// If a connection ends after the last byte of a request was written, but before the writer has recorded that, the attempt must
// end as AnswerLost, since the node has the complete request and may have executed it.
func TestResetAfterLastByteWritten(t *testing.T) {
	w := start(t, 1)
	directorConn, peerConn := w.acceptPair(listen(t))
	paused := &pausedWrite{directorConn, make(chan struct{}), make(chan struct{})}
	r := w.bareRequest(time.Hour)
	next := bareAttempt(r, "whole")
	next.command.Class, next.command.Timeout = "order", time.Second
	c := w.newWritingConn(next, paused)
	<-paused.wrote
	peerConn.Close()
	c.read(paused) // until the connection ends
	select {
	case ended := <-r.attemptEnds:
		t.Errorf("ended as %v while the writer is blocked, want no end yet", ended.ending)
	default:
	}
	close(paused.release)
	w.expectEnding(r, AnswerLost)
}

// An answer that is read just after its connection ended must not change how the attempt ended.
func TestAnswerAfterConnectionEnd(t *testing.T) {
	w := start(t, 1)
	directorConn, _ := net.Pipe()
	r := w.bareRequest(time.Hour)
	c := w.newDiallingConn(bareAttempt(r, "crossing"))
	c.established(directorConn, nil)
	_, item, _ := c.nextMessage()
	c.handleWritten(item, 1, 1, nil)
	c.endNow(Broken, nil)
	c.handleResponse(resp.Response{ID: "crossing", Status: resp.Hit, Body: []byte("late")})
	if ended := w.expectEnding(r, AnswerLost); ended.response.Body != nil {
		t.Errorf("got answer %q, want none", ended.response.Body)
	}
}

// A dial must count as a socket until it has ended, even if its connection is retired before. Otherwise the number of sockets
// could exceed the bound.
func TestDialCountsAsSocketUntilItEnds(t *testing.T) {
	var g *gate
	w := startWith(t, 1, nil, func(w *harness) { g = gateDials(w) })
	s := w.director.pool
	left := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.socketsLeft
	}
	all := left()
	w.sendRequest("page", 5000, "")
	<-g.reached
	w.applyNextEvent(discovery.Event{Endpoints: []discovery.Endpoint{{ID: 1, State: routing.Gone}}})
	if _, word, _ := w.readAnswer(); word != "Shed" { // there is no other node
		t.Errorf("got answer %q, want Shed", word)
	}
	if n := left(); n != all-1 {
		t.Errorf("during the dial: got %d of %d sockets free, want one less than all", n, all)
	}
	close(g.opened)
	w.waitUntil("free again", func() bool { return left() == all })
	time.Sleep(50 * time.Millisecond) // the socket must not be returned twice
	if n := left(); n != all {
		t.Errorf("after the dial: got %d sockets free, want %d", n, all)
	}
}

// With a short grace in the settings, an order must be void if its first byte was not written within a third of that grace. The
// attempt was then never executed.
func TestOrderLifetimeWithShortGrace(t *testing.T) {
	w := startWith(t, 1, []string{`"rules":{`, `"rules":{"drainGrace":240000,`}, nil)
	if lifetime := w.director.pool.orderLifetime; lifetime != 80*time.Millisecond {
		t.Errorf("lifetime of an order: got %v, want 80ms", lifetime)
	}
	directorConn, _ := net.Pipe()
	r := w.bareRequest(time.Hour)
	before := time.Now()
	c := w.newDiallingConn(bareAttempt(r, ""))
	c.established(directorConn, nil)
	c.write(directorConn)
	w.expectEnding(r, OrderExpired)
	if took := time.Since(before); took > time.Second {
		t.Errorf("ended after %v, want at most 1s", took)
	}
}

// An attempt must not begin after its startBefore, however long the dial takes.
func TestAttemptNotBegunAfterStartBefore(t *testing.T) {
	w := start(t, 1)
	r := w.bareRequest(time.Hour)
	late := bareAttempt(r, "")
	late.startBefore = late.orderedAt + time.Millisecond
	c := w.newDiallingConn(late)
	w.waitUntil("over", func() bool { return w.director.clock.now() >= late.startBefore })
	if message, _, _ := c.nextMessage(); message != nil {
		t.Errorf("got message %q after startBefore, want none", message)
	}
	w.expectEnding(r, OrderExpired)
	inTime := bareAttempt(r, "")
	inTime.startBefore = inTime.orderedAt + time.Hour
	w.director.pool.mu.Lock()
	c.enqueueAttempt(inTime)
	w.director.pool.mu.Unlock()
	if message, _, firstByteBy := c.nextMessage(); message == nil || !firstByteBy.After(time.Now()) {
		t.Error("attempt before its startBefore: got no message to write in time")
	}
}

// A node closes an idle connection just as a non-idempotent request is queued on it. If the director reads the end of the stream
// first, the request was not written and is retried elsewhere. Otherwise it may have been executed and must fail. It must never
// be sent twice.
func TestIdleConnectionClosedWhileQueueing(t *testing.T) {
	w := start(t, 2)
	home := w.expectServed("order", "x", "-", "")
	s := w.director.pool
	s.mu.Lock() // delays both the next order and the end of the connection
	home.conn.Close()
	id := w.sendRequest("order", 5000, "x")
	w.waitUntil("ordered", func() bool {
		w.director.mu.Lock()
		defer w.director.mu.Unlock()
		return len(w.director.requests) == 1
	})
	s.mu.Unlock()
	served := false
	w.waitUntil("served or failed", func() bool {
		select {
		case command := <-w.commands:
			command.reply(t, "HIT", "-", "")
			served = true
			return true
		default:
			w.conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			_, err := w.reader.Peek(1)
			return err == nil
		}
	})
	w.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if served {
		w.expectAnswer(id, "", "")
	} else if gotID, word, _ := w.readAnswer(); gotID != id || word != "Fault" {
		t.Errorf("got answer to %d, %q; want Fault to the request", gotID, word)
	}
	w.expectNothingElse("the request was served or may have been executed")
}

// blockingObserver is an observer that blocks the goroutines of answered requests until it is closed.
type blockingObserver chan struct{}

func (o blockingObserver) RequestEnded(RequestRecord) { <-o }

// A client may use a request id again as soon as it has the answer, even if the request's goroutine has not ended.
func TestRequestIDReusedRightAfterAnswer(t *testing.T) {
	observer := make(blockingObserver)
	w := startWith(t, 1, nil, func(w *harness) { w.director.Observe(observer) })
	t.Cleanup(func() { close(observer) })
	for _, object := range []string{"00000000000000b1", "00000000000000b2"} {
		id := w.sendRequest("page", 5000, "", "i", "00000000000000ee", "o", object)
		w.nextCommand("GET").reply(t, "HIT", "-", object)
		w.expectAnswer(id, "", object)
	}
}

// If a client uses a request id again, a late duplicate of the answer to the first request must not be taken for the answer to
// the second.
func TestRequestIDReusedWithDuplicateAnswer(t *testing.T) {
	w := start(t, 1)
	first := w.sendRequest("page", 5000, "", "i", "00000000000000ee")
	firstCommand := w.nextCommand("GET")
	firstCommand.reply(t, "HIT", "-", "to the first")
	w.expectAnswer(first, "", "to the first")
	second := w.sendRequest("page", 5000, "", "i", "00000000000000ee", "o", "00000000000000b2")
	secondCommand := w.nextCommand("GET")
	firstCommand.reply(t, "HIT", "-", "to the first")
	if secondCommand.conn == firstCommand.conn {
		t.Error("the second request is on the connection of the first, want another one")
	}
	secondCommand.reply(t, "HIT", "-", "to the second")
	w.expectAnswer(second, "", "to the second")
}
