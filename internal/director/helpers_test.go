package director

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/discovery"
)

// testTimeout is how long a test waits for something that must happen. It is far longer than anything in these tests takes.
const testTimeout = 10 * time.Second

// nodeCommand is one command that a test node received.
type nodeCommand struct {
	word, id, fields, body string
	conn                   net.Conn // the connection that it arrived on
	node                   int      // index of the node in harness.nodes
}

// reply answers the command.
func (c nodeCommand) reply(t testing.TB, word, fields, body string) {
	t.Helper()
	message := "*4\r\n"
	for _, text := range []string{c.id, word, fields, body} {
		message += fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
	}
	if _, err := io.WriteString(c.conn, message); err != nil {
		t.Error(err)
	}
}

// harness is a director on loopback with its environment: nodes whose commands the test answers, a journal service and a client.
type harness struct {
	t        testing.TB
	director *Director
	commands chan nodeCommand   // commands that the nodes received
	conn     net.Conn           // the client's connection
	reader   *bufio.Reader      // reads from conn
	nodes    []net.Listener     // the caches' listeners; the cache with index i has the id i+1
	journal  net.Listener       // the journal service's listener; only the test accepts connections from it
	stop     context.CancelFunc // sends the shutdown signal
	served   chan struct{}      // closed once the director has ended
	lastID   uint32             // the last id used for a message and its request
	logged   logRecorder        // the director's log
}

// classesJSON is the configuration's request classes: an idempotent one, one with idempotency keys and a non-idempotent one.
const classesJSON = `[{"name":"page","aim":%[1]d,"deadline":%[1]d,"idempotency":"read_like","group":"all"},
 {"name":"log","aim":%[1]d,"deadline":%[1]d,"idempotency":"idempotency_key","group":"all","window":%[1]d},
 {"name":"order","aim":%[1]d,"deadline":%[1]d,"idempotency":"non_idempotent","group":"all"}]`

// start starts a director with the given number of caches, and connects a client.
func start(t testing.TB, caches int) *harness { return startWith(t, caches, nil, nil) }

// startWith is start with replacements in the text of the configuration, given as old and new text in turn. It calls prepare
// before the director serves.
func startWith(t testing.TB, caches int, replacements []string, prepare func(*harness)) *harness {
	w := &harness{t: t, commands: make(chan nodeCommand, 100), journal: listen(t)}
	var hosts []string
	for i := range caches {
		listener := listen(t)
		w.nodes = append(w.nodes, listener)
		go w.serveNode(i, listener)
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":%q,"site":"here","class":"box","health":"SERVING"}`,
			i+1, listener.Addr()))
	}
	hosts = append(hosts, `{"host":"s-000000aa","dial":"127.0.0.1:1","site":"here","class":"mid","health":"SERVING"}`)
	conf := parseConfig(t, hosts, w.journal.Addr().String(), replacements)
	log := logrus.New()
	log.SetOutput(&w.logged)
	w.director = New(conf, logrus.NewEntry(log))
	if prepare != nil {
		prepare(w)
	}
	listener := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.served = w.serveOn(ctx, listener)
	w.connect(listener.Addr().String())
	t.Cleanup(stop)
	return w
}

// parseConfig returns the configuration of a director with the given nodes, after replacements in its text.
func parseConfig(t testing.TB, hosts []string, journal string, replacements []string) *config.Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:1","seed":"0000000000000007","journal":%[3]q,
		"limits":{"cores":1,"memory_mb":64,"sockets":64},
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[%[2]s]}}]},
		"settings":{"classes":`+classesJSON+`,"instances":1,"zone":0,"zones":["here"],"models":["box","mid"],
		"domain":{"midKind":1,"sourceKind":9,"passOn":[false,true,true],"hubOf":[0],"zoneBalancers":[1]},
		"limits":{"sendCap":4,"cancel":true,"retryAfter":true,"maxRetryAfter":1000000,"maxStreams":32},
		"rules":{"fallMultiple":3,"tipAfter":3000000,"rampTime":9000000,"startCapacity":0.2}}}`,
		testTimeout.Microseconds(), strings.Join(hosts, ","), journal)
	conf, err := config.Parse([]byte(strings.NewReplacer(replacements...).Replace(text)), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

// listen opens a listener on loopback that is closed at the end of the test.
func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// dial connects to an address. The connection has a deadline and is closed at the end of the test.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	t.Cleanup(func() { conn.Close() })
	return conn
}

// serveNode forwards the commands that a node receives to the test.
func (w *harness) serveNode(node int, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(conn)
			for {
				command, err := readNodeCommand(in)
				if err != nil {
					return
				}
				command.conn, command.node = conn, node
				w.commands <- command
			}
		}()
	}
}

// readNodeCommand reads one command to a node.
func readNodeCommand(in *bufio.Reader) (nodeCommand, error) {
	var words [4]string
	var n int
	if _, err := fmt.Fscanf(in, "*%d\r\n", &n); err != nil {
		return nodeCommand{}, err
	}
	if n > len(words) {
		return nodeCommand{}, fmt.Errorf("command has %d words, want at most 4", n)
	}
	for i := range n {
		var size int
		if _, err := fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
			return nodeCommand{}, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nodeCommand{}, err
		}
		words[i] = string(b[:size])
	}
	return nodeCommand{word: words[0], id: words[1], fields: words[2], body: words[3]}, nil
}

// nextCommand returns the next command that a node received, and fails the test if it is not the given one.
func (w *harness) nextCommand(word string) nodeCommand {
	w.t.Helper()
	select {
	case command := <-w.commands:
		if command.word != word {
			w.t.Fatalf("node received %v, want %s", command, word)
		}
		return command
	case <-time.After(testTimeout):
		w.t.Fatalf("no node received a command, want %s", word)
	}
	return nodeCommand{}
}

// packText encodes a text for a client's message.
func packText(s string) string {
	return "\xda" + string(binary.BigEndian.AppendUint16(nil, uint16(len(s)))) + s
}

// sendRequest writes a request and returns its message id. The timeout is in milliseconds. more has further fields, as key and
// value in turn, which override the default ones.
func (w *harness) sendRequest(vhost string, timeout int, body string, more ...string) uint32 {
	id, b := w.requestText(vhost, timeout, body, more...)
	w.write(b)
	return id
}

// requestText encodes a request as sendRequest does, and returns its message id and the text.
func (w *harness) requestText(vhost string, timeout int, body string, more ...string) (uint32, string) {
	w.lastID++ // serves as the message id and as the request id
	fields := append([]string{"i", fmt.Sprintf("%016x", w.lastID), "d", strconv.Itoa(timeout), "o", "00000000000000a1",
		"n", "2", "shard", "3"}, more...)
	b := "\x94\x00\xce" + string(binary.BigEndian.AppendUint32(nil, w.lastID)) + packText(vhost) + "\x92\xde\x00"
	b += string(rune(len(fields) / 2))
	for _, f := range fields {
		b += packText(f)
	}
	b += "\xc6" + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + body
	return w.lastID, b
}

// write writes to the client's connection.
func (w *harness) write(text string) {
	w.t.Helper()
	if _, err := io.WriteString(w.conn, text); err != nil {
		w.t.Fatal(err)
	}
}

// readAnswer reads one answer. It returns the message id, the name of the error or "", and the body or the fields of the
// error.
func (w *harness) readAnswer() (id uint32, word, body string) {
	w.t.Helper()
	head := w.readBytes(8)
	if !bytes.HasPrefix(head, []byte("\x94\x01\xce")) {
		w.t.Fatalf("got an answer that begins with %x, want 9401ce", head)
	}
	id = binary.BigEndian.Uint32(head[3:])
	if isError := head[7] == 0x92; isError {
		word, body = w.readError()
		return id, word, body
	}
	size := w.readBytes(6)
	body = string(w.readBytes(int(binary.BigEndian.Uint32(size[2:]))))
	if w.readBytes(1)[0] == 0x81 {
		return id, "still " + string(w.readBytes(8)[7:]), body
	}
	return id, "", body
}

// readError reads the rest of an answer that is an error: the name of the error, and its fields as one text.
func (w *harness) readError() (word, fields string) {
	w.t.Helper()
	word = string(w.readBytes(int(w.readBytes(1)[0] & 0x1f)))
	for range 2 * (w.readBytes(1)[0] & 0x0f) {
		size := int(w.readBytes(1)[0])
		if size == 0xd9 { // the size is in the next byte
			size = int(w.readBytes(1)[0])
		} else {
			size &= 0x1f
		}
		fields += string(w.readBytes(size)) + " "
	}
	w.readBytes(1)
	return word, fields
}

// readBytes reads n bytes from the client's connection.
func (w *harness) readBytes(n int) []byte {
	w.t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(w.reader, b); err != nil {
		w.t.Fatal(err)
	}
	return b
}

// expectServed sends a request, has the node answer it, and checks the client's answer. It returns the command to the node.
func (w *harness) expectServed(vhost, body, fields, answer string) nodeCommand {
	w.t.Helper()
	id := w.sendRequest(vhost, 5000, body, "k", "7")
	command := w.nextCommand("GET")
	command.reply(w.t, "HIT", fields, answer)
	w.expectAnswer(id, "", answer)
	return command
}

// expectAnswer checks the next answer to the client.
func (w *harness) expectAnswer(id uint32, word, body string) {
	w.t.Helper()
	if gotID, gotWord, gotBody := w.readAnswer(); gotID != id || gotWord != word || gotBody != body {
		w.t.Fatalf("got answer to %d: %q, %d bytes; want answer to %d: %q, %d bytes", gotID, gotWord, len(gotBody), id, word, len(body))
	}
}

// logRecorder is a log output that records the text.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// count returns how often a text was logged.
func (l *logRecorder) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// waitUntil waits until a condition holds, and fails the test after testTimeout.
func (w *harness) waitUntil(state string, reached func() bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("still not %s after %v", state, testTimeout)
		}
	}
}

// expectNothingElse sends a request that is served, and checks that nodes received no other command.
func (w *harness) expectNothingElse(reason string) {
	w.t.Helper()
	id := w.sendRequest("page", 5000, "", "o", "00000000000000ff")
	command := w.nextCommand("GET")
	if command.id != fmt.Sprintf("%016x", id) {
		w.t.Fatalf("%s: node received %v, want only the last request", reason, command)
	}
	command.reply(w.t, "HIT", "note=cached", "")
	w.expectAnswer(id, "", "")
	select {
	case command := <-w.commands:
		w.t.Fatalf("%s: node received %v, want only the last request", reason, command)
	default:
	}
}

// useConn makes another connection the client's. The returned function restores the previous one.
func (w *harness) useConn(conn net.Conn) (restore func()) {
	previous, previousReader := w.conn, w.reader
	w.conn, w.reader = conn, bufio.NewReader(conn)
	return func() { w.conn, w.reader = previous, previousReader }
}

// connect makes a new connection the client's, as useConn does.
func (w *harness) connect(addr string) (restore func()) { return w.useConn(dial(w.t, addr)) }

// connectAnother makes a second connection to the same director the client's, as useConn does.
func (w *harness) connectAnother() (restore func()) { return w.connect(w.conn.RemoteAddr().String()) }

// gate is a Network that blocks dials to nodes until it is opened.
type gate struct {
	systemNetwork
	journal string        // address of the journal service; dials to it are not blocked
	reached chan struct{} // receives an item for each dial that is blocked
	opened  chan struct{} // closed by the test to let the dials continue
}

// gateDials makes the director dial through a new gate.
func gateDials(w *harness) *gate {
	g := &gate{journal: w.journal.Addr().String(), reached: make(chan struct{}, 100), opened: make(chan struct{})}
	w.director.UseNetwork(g)
	return g
}

func (g *gate) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address != g.journal {
		g.reached <- struct{}{}
		<-g.opened
	}
	return g.systemNetwork.DialContext(ctx, network, address)
}

// acceptPair connects to a listener. It returns the accepted connection, for the director, and its other end, for the peer.
func (w *harness) acceptPair(listener net.Listener) (*net.TCPConn, net.Conn) {
	peerConn := dial(w.t, listener.Addr().String())
	directorConn, err := listener.Accept()
	if err != nil {
		w.t.Fatal(err)
	}
	return directorConn.(*net.TCPConn), peerConn
}

// serveOn makes the director serve on a listener until the context ends. The channel is closed once it has ended.
func (w *harness) serveOn(ctx context.Context, listener net.Listener) (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		w.director.serve(ctx, listener)
		close(ended)
	}()
	return ended
}

// awaitEnd waits until the director has ended.
func (w *harness) awaitEnd(ended <-chan struct{}) {
	w.t.Helper()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		w.t.Fatalf("the director has not ended after %v", testTimeout)
	}
}

// applyNextEvent makes the director apply an event as the next one of the current watch.
func (w *harness) applyNextEvent(event discovery.Event) {
	w.t.Helper()
	w.director.mu.Lock()
	event.Number = w.director.lastEvent + 1
	watchNumber := w.director.watchNumber
	w.director.mu.Unlock()
	if err := w.director.handleEvent(watchNumber, event); err != nil {
		w.t.Fatal(err)
	}
}

// waitForEvent waits until the director has applied an event.
func (w *harness) waitForEvent(number uint64) {
	w.t.Helper()
	w.waitUntil(fmt.Sprintf("at event %d", number), func() bool {
		w.director.mu.Lock()
		defer w.director.mu.Unlock()
		return w.director.lastEvent == number
	})
}

// bareRequest returns a request that no client sent and that is not registered at routing. The test starts its attempts itself.
func (w *harness) bareRequest(deadline time.Duration) *request {
	return &request{
		director:    w.director,
		client:      newClientConn(w.director, nil),
		attemptEnds: make(chan *attempt, 9),
		clientGone:  make(chan struct{}),
		deadline:    deadline,
	}
}

// bareAttempt returns an attempt of a bareRequest, ordered now.
func bareAttempt(r *request, id string) *attempt {
	next := &attempt{request: r, orderedAt: r.director.clock.now()}
	next.command.ID = id
	return next
}

// newDiallingConn returns a connection to the first node that has an attempt queued and is not established yet.
func (w *harness) newDiallingConn(next *attempt) *nodeConn {
	w.director.pool.mu.Lock()
	defer w.director.pool.mu.Unlock()
	conn := w.director.pool.open(w.director.pool.byID[1])
	conn.enqueueAttempt(next)
	return conn
}

// newWritingConn returns an established connection to the first node whose writer is running and has an attempt queued.
func (w *harness) newWritingConn(next *attempt, directorConn net.Conn) *nodeConn {
	conn := w.newDiallingConn(next)
	conn.established(directorConn, nil)
	go conn.write(directorConn)
	return conn
}

// closeRecorder records how many bytes were unread when a connection was closed. Closing a socket with unread bytes loses
// answers in transit.
type closeRecorder struct {
	*net.TCPConn
	unread chan int
}

func (c *closeRecorder) Close() error {
	if raw, err := c.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1<<20), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			select {
			case c.unread <- max(0, n):
			default:
			}
		})
	}
	return c.TCPConn.Close()
}

// cancellationText encodes a client's cancellation of a request.
func cancellationText(id uint32) string {
	return "\x93\x02" + packText("cancelRequest") + "\x91\xce" + string(binary.BigEndian.AppendUint32(nil, id))
}

// nextEnded waits for the next attempt of a request to end, and returns it.
func (w *harness) nextEnded(r *request) *attempt {
	w.t.Helper()
	select {
	case ended := <-r.attemptEnds:
		return ended
	case <-time.After(testTimeout):
		w.t.Fatal("no attempt ended")
	}
	return nil
}

// expectEnding waits for the next attempt of a request to end, checks its ending and returns it.
func (w *harness) expectEnding(r *request, want Ending) *attempt {
	w.t.Helper()
	ended := w.nextEnded(r)
	if ended.ending != want {
		w.t.Errorf("attempt ended as %v, want %v", ended.ending, want)
	}
	return ended
}
