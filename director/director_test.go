package director

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/config"
	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/feed"
	"indigochute.example/indigochute/msgpack"
)

const patience = 10 * time.Second // far more than anything here takes

// asked is one command that a stand-in for a node got.
type asked struct {
	word, id, fields, body string
	conn                   net.Conn
	node                   int
}

func (a asked) reply(t *testing.T, word, fields, body string) {
	t.Helper()
	b := "*4\r\n"
	for _, s := range []string{a.id, word, fields, body} {
		b += fmt.Sprintf("$%d\r\n%s\r\n", len(s), s)
	}
	if _, err := io.WriteString(a.conn, b); err != nil {
		t.Error(err)
	}
}

// world is a director between stand-ins on loopback: caches that do as a test says, and a client.
type world struct {
	t       *testing.T
	d       *Director
	asks    chan asked
	nc      net.Conn
	in      *bufio.Reader
	nodes   []net.Listener
	journal net.Listener
	stop    context.CancelFunc
	served  chan struct{}
	lastID  uint32
}

const vhosts = `[{"name":"page","aim":%[1]d,"deadline":%[1]d,"idempotency":"read_like","group":"all"},
 {"name":"log","aim":%[1]d,"deadline":%[1]d,"idempotency":"idempotency_key","group":"all","window":%[1]d},
 {"name":"order","aim":%[1]d,"deadline":%[1]d,"idempotency":"non_idempotent","group":"all"}]`

func start(t *testing.T, caches int) *world {
	w := &world{t: t, asks: make(chan asked, 100), served: make(chan struct{}), journal: listen(t)}
	var hosts []string
	for i := range caches {
		l := listen(t)
		w.nodes = append(w.nodes, l)
		go w.stand(i, l)
		hosts = append(hosts, fmt.Sprintf(`{"host":"s-%08x","dial":%q,"site":"here","class":"box","health":"SERVING"}`,
			i+1, l.Addr()))
	}
	hosts = append(hosts, `{"host":"s-000000aa","dial":"127.0.0.1:1","site":"here","class":"mid","health":"SERVING"}`)
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:1","seed":"0000000000000007","journal":%[3]q,
		"limits":{"cores":1,"memory_mb":64,"sockets":64},
		"known":{"pos":1,"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[%[2]s]}}]},
		"settings":{"classes":`+vhosts+`,"instances":1,"zone":0,"zones":["here"],"models":["box","mid"],
		"domain":{"midKind":1,"sourceKind":9,"passOn":[false,true,true],"hubOf":[0],"zoneBalancers":[1]},
		"limits":{"sendCap":4,"cancel":true,"retryAfter":true,"maxRetryAfter":1000000,"maxStreams":32},
		"rules":{"fallMultiple":3,"tipAfter":3000000,"rampTime":9000000,"startCapacity":0.2}}}`,
		patience.Microseconds(), strings.Join(hosts, ","), w.journal.Addr())
	conf, err := config.Parse([]byte(text), "", "")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.d = New(conf, logrus.NewEntry(log))
	l := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() {
		w.d.serve(ctx, l)
		close(w.served)
	}()
	w.nc = dial(t, l.Addr().String())
	w.in = bufio.NewReader(w.nc)
	t.Cleanup(stop)
	return w
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func dial(t *testing.T, addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	nc.SetDeadline(time.Now().Add(2 * patience))
	t.Cleanup(func() { nc.Close() })
	return nc
}

// stand hands what a cache is asked to the test.
func (w *world) stand(node int, l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			in := bufio.NewReader(nc)
			for {
				var words [4]string
				var n int
				if _, err := fmt.Fscanf(in, "*%d\r\n", &n); err != nil || n > 4 {
					return
				}
				for i := range n {
					var size int
					if _, err := fmt.Fscanf(in, "$%d\r\n", &size); err != nil {
						return
					}
					b := make([]byte, size+2)
					if _, err := io.ReadFull(in, b); err != nil {
						return
					}
					words[i] = string(b[:size])
				}
				w.asks <- asked{words[0], words[1], words[2], words[3], nc, node}
			}
		}()
	}
}

// next is what a node was asked next.
func (w *world) next(word string) asked {
	w.t.Helper()
	select {
	case a := <-w.asks:
		if a.word != word {
			w.t.Fatalf("a node got %v, not %s", a, word)
		}
		return a
	case <-time.After(patience):
		w.t.Fatalf("no node got a %s", word)
	}
	return asked{}
}

func str(s string) string {
	return "\xda" + string(binary.BigEndian.AppendUint16(nil, uint16(len(s)))) + s
}

// call writes a req; timeout is in milliseconds.
func (w *world) call(vhost string, timeout int, body string, more ...string) uint32 {
	w.lastID++
	fields := append([]string{"i", fmt.Sprintf("%016x", w.lastID), "d", strconv.Itoa(timeout), "o", "00000000000000a1",
		"n", "2", "shard", "3"}, more...)
	b := "\x94\x00\xce" + string(binary.BigEndian.AppendUint32(nil, w.lastID)) + str(vhost) + "\x92\xde\x00"
	b += string(rune(len(fields) / 2))
	for _, f := range fields {
		b += str(f)
	}
	b += "\xc6" + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + body
	w.write(b)
	return w.lastID
}

func (w *world) write(b string) {
	if _, err := io.WriteString(w.nc, b); err != nil {
		w.t.Fatal(err)
	}
}

// answer reads one answer: to which req, the word of its error or "", and the body or the rest.
func (w *world) answer() (id uint32, word, body string) {
	w.t.Helper()
	head := w.take(8)
	if !bytes.HasPrefix(head, []byte("\x94\x01\xce")) {
		w.t.Fatalf("an answer begins with %x", head)
	}
	id = binary.BigEndian.Uint32(head[3:])
	if head[7] == 0x92 {
		word = string(w.take(int(w.take(1)[0] & 0x1f)))
		rest := ""
		for range 2 * (w.take(1)[0] & 0x0f) {
			n := int(w.take(1)[0])
			if n == 0xd9 {
				n = int(w.take(1)[0])
			} else {
				n &= 0x1f
			}
			rest += string(w.take(n)) + " "
		}
		w.take(1)
		return id, word, rest
	}
	size := w.take(6)
	body = string(w.take(int(binary.BigEndian.Uint32(size[2:]))))
	if w.take(1)[0] == 0x81 {
		return id, "still " + string(w.take(8)[7:]), body
	}
	return id, "", body
}

func (w *world) take(n int) []byte {
	w.t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(w.in, b); err != nil {
		w.t.Fatal(err)
	}
	return b
}

// serves sees a req through: a node answers it, the client has the answer.
func (w *world) serves(vhost, body, fields, answer string) asked {
	w.t.Helper()
	id := w.call(vhost, 5000, body, "k", "7")
	a := w.next("GET")
	a.reply(w.t, "HIT", fields, answer)
	w.expect(id, "", answer)
	return a
}

func (w *world) expect(id uint32, word, body string) {
	w.t.Helper()
	if gotID, gotWord, gotBody := w.answer(); gotID != id || gotWord != word || gotBody != body {
		w.t.Fatalf("answer to %d: %q, %d bytes; want %d: %q, %d bytes", gotID, gotWord, len(gotBody), id, word, len(body))
	}
}

func TestBytesPassUnchanged(t *testing.T) {
	w := start(t, 1)
	big := strings.Repeat("0123456\xff\r\n", 24000)
	id := w.call("page", 5000, "", "mine", "4be0c1927d55a6f3")
	a := w.next("GET")
	for _, f := range []string{"c=page", "k=00000000000000a1", "p=2", "next=s-000000aa", "cached=4be0c1927d55a6f3"} {
		if !strings.Contains(","+a.fields+",", ","+f+",") {
			t.Errorf("fields %q lack %s", a.fields, f)
		}
	}
	if a.id != fmt.Sprintf("%016x", id) {
		t.Errorf("id %q", a.id)
	}
	a.reply(t, "HIT", "note=fetched,slow=12,t0=1,sum=ab,load=util:0.5;x1:2", big)
	w.expect(id, "", big)
	id = w.call("page", 5000, "", "mine", "4be0c1927d55a6f3")
	w.next("GET").reply(t, "VALID", "sum=4b,t0=1,note=cached", "")
	w.expect(id, "still 1", "")
	id = w.call("log", 5000, big[:48000], "k", "5c0f")
	if a = w.next("GET"); a.body != big[:48000] || !strings.Contains(a.fields, ",i=5c0f") {
		t.Errorf("body of %d bytes, fields %q", len(a.body), a.fields)
	}
	a.reply(t, "HIT", "-", "ok")
	w.expect(id, "", "ok")
}

func TestAnswersInAnyOrder(t *testing.T) {
	w := start(t, 1)
	first, second := w.call("log", 5000, "1", "k", "7"), w.call("log", 5000, "2", "k", "7")
	a, b := w.next("GET"), w.next("GET")
	if a.body == "2" {
		a, b = b, a
	}
	b.reply(t, "HIT", "-", b.body)
	w.expect(second, "", "2")
	a.reply(t, "HIT", "-", a.body)
	w.expect(first, "", "1")
}

// A node that turns a req away, errs or breaks off: what may have run is sent again only where that is harmless.
func TestFurtherDispatches(t *testing.T) {
	for _, c := range []struct {
		vhost, word string
		again       bool
	}{
		{"page", "SHED", true}, {"page", "FAULT", true}, {"page", "", true},
		{"log", "SHED", true}, {"log", "", true},
		{"order", "SHED", true}, {"order", "FAULT", false}, {"order", "", false},
	} {
		w := start(t, 2)
		w.serves("page", "", "-", "so that it is no stranger")
		id := w.call(c.vhost, 5000, "x", "k", "7")
		a := w.next("GET")
		if c.word == "" {
			a.conn.Close()
		} else {
			a.reply(t, c.word, "-", "")
		}
		if !c.again {
			if _, word, _ := w.answer(); word != "Fault" {
				t.Errorf("%s after %q: %q", c.vhost, c.word, word)
			}
			continue
		}
		b := w.next("GET")
		if b.node == a.node {
			t.Errorf("%s after %q: the same cache again", c.vhost, c.word)
		}
		b.reply(t, "HIT", "note=cached", "y")
		w.expect(id, "", "y")
	}
}

// Nobody listens at the first: a refused connection proves that nothing ran, even for a non-replayable req.
func TestRefusedConnection(t *testing.T) {
	w := start(t, 2)
	id := w.call("order", 5000, "x")
	home := w.next("GET")
	home.reply(t, "HIT", "-", "")
	w.expect(id, "", "")
	w.nodes[home.node].Close()
	home.conn.Close()
	for closed := false; !closed; time.Sleep(time.Millisecond) { // until the director has seen it
		w.d.nodes.mu.Lock()
		closed = len(w.d.nodes.byID[uint32(home.node+1)].conns) == 0
		w.d.nodes.mu.Unlock()
	}
	w.serves("order", "x", "-", "")
}

// A node that takes reqs and answers none: the final answer comes before the client timeout, and the node is
// told. An answer that crosses is dropped, and the next req is served.
func TestHang(t *testing.T) {
	w := start(t, 1)
	id := w.call("page", 500, "")
	a := w.next("GET")
	if gotID, word, rest := w.answer(); gotID != id || word != "Shed" || !strings.HasPrefix(rest, "w ") {
		t.Fatalf("%d %q %q", gotID, word, rest)
	}
	if drop := w.next("DROP"); drop.id != a.id {
		t.Errorf("dropped %q", drop.id)
	}
	a.reply(t, "HIT", "note=cached", "late")
	w.serves("page", "", "note=cached", "in time")
}

func TestClientCancels(t *testing.T) {
	w := start(t, 1)
	id := w.call("page", 5000, "")
	a := w.next("GET")
	w.write("\x93\x02" + str("cancelRequest") + "\x91" + string(rune(id)))
	if drop := w.next("DROP"); drop.id != a.id {
		t.Errorf("dropped %q", drop.id)
	}
	a.reply(t, "HIT", "-", "nobody waits")
	w.serves("page", "", "-", "here")
}

// A client that leaves before its req's first order is followed: the dispatch must end all the same, or the module counts
// it as out for good and in the end denies all.
func TestClientLeavesBeforeTheOrderIsFollowed(t *testing.T) {
	w := start(t, 1)
	c := newClient(w.d, nil)
	for i := range 64 {
		r := newReq(w.d, c, msgpack.Message{Vhost: "page", Req: fmt.Sprintf("%016x", i+1), Obj: "00000000000000a1",
			Timeout: time.Second}, w.d.clock.now())
		r.leave()
		r.live()
		if len(r.sent) != 1 || !r.sent[0].over || len(r.todo) > 0 {
			t.Fatalf("req %d: %d dispatches, %d orders not followed", i, len(r.sent), len(r.todo))
		}
	}
}

// What cannot be read costs its own connection only.
func TestUnreadable(t *testing.T) {
	w := start(t, 2)
	other := dial(t, w.nc.RemoteAddr().String())
	other.Write([]byte("\x94\x00\x01\xdb\xff\xff\xff\xff"))
	if said, err := io.ReadAll(other); err != nil || !strings.Contains(string(said), "Fault") {
		t.Errorf("told %q, then %v", said, err)
	}
	id := w.call("nothing of ours", 5000, "")
	if gotID, word, _ := w.answer(); gotID != id || word != "Fault" {
		t.Errorf("%d %q", gotID, word)
	}
	id = w.call("page", 5000, "")
	a := w.next("GET")
	asked{id: "00000000000000ff", conn: a.conn}.reply(t, "HIT", "-", "to nobody")
	a.reply(t, "HIT", "-", "to this one")
	w.expect(id, "", "to this one")
	a.reply(t, "HIT", "-", "a second copy")
	if b := w.serves("page", "", "-", "next"); b.conn != a.conn {
		t.Error("answers that nobody asked for cost the connection")
	}
}

// What cannot be read from a node costs the reqs on that connection alone, which have it to themselves while there are
// sockets; the machine, which answers others, is asked again for what may run again.
func TestOneSpoiltAnswer(t *testing.T) {
	w := start(t, 1)
	w.serves("log", "", "-", "well")
	first, second := w.call("log", 5000, "1", "k", "7"), w.call("log", 5000, "2", "k", "7")
	a, b := w.next("GET"), w.next("GET")
	if a.conn == b.conn {
		t.Fatal("two reqs on one connection")
	}
	if a.body == "2" {
		a, b = b, a
	}
	w.serves("log", "", "-", "meanwhile")
	io.WriteString(a.conn, "*4\r\n$noise")
	again := w.next("GET")
	if again.body != "1" || again.conn == a.conn {
		t.Fatalf("%v follows a spoilt answer", again)
	}
	again.reply(t, "HIT", "-", "a")
	w.expect(first, "", "a")
	b.reply(t, "HIT", "-", "b")
	w.expect(second, "", "b")
}

// An answer that stops holds up its connection for a while only, long before the client timeout.
func TestAnswerStops(t *testing.T) {
	w := start(t, 2)
	w.serves("page", "", "-", "well")
	id := w.call("page", 15000, "")
	io.WriteString(w.next("GET").conn, "*4\r\n$16\r\n00")
	w.next("GET").reply(t, "HIT", "-", "again")
	w.expect(id, "", "again")
}

// Reqs that no node could use are answered with an error, and no node gets them.
func TestUnfitReqs(t *testing.T) {
	w := start(t, 1)
	open := w.call("page", 5000, "")
	a := w.next("GET")
	for _, c := range [][]string{
		{"page", "i", "xyz"}, {"page", "i", ""}, {"page", "i", "0123456789ABCDEF"}, {"page", "o", "a1"}, {"page", "o", "noise"},
		{"page", "n", "-1"}, {"page", "n", "1e9"}, {"page", "shard", "256"}, {"page", "shard", "no"}, {"page", "d", "-5"},
		{"page", "d", "99999999999999"}, {"page", "d", "2000000"}, {"page", "mine", "a,b=c"}, {"log"}, {"log", "k", "a b"},
		{"nothing of ours"}, {"page", "i", a.id},
	} {
		id := w.call(c[0], 5000, "", c[1:]...)
		if gotID, word, why := w.answer(); gotID != id || word != "Fault" {
			t.Errorf("%q: %d %q %s", c, gotID, word, why)
		}
	}
	a.reply(t, "HIT", "-", "the first of the two")
	w.expect(open, "", "the first of the two")
	w.serves("page", "", "-", "fit again")
}

// Of hundreds of reqs at once most are turned away, with a time to come back, and the rest is served.
func TestHundredsAtOnce(t *testing.T) {
	w := start(t, 1)
	const all = 300
	for range all {
		w.call("page", 5000, "", "o", fmt.Sprintf("%016x", w.lastID+1))
	}
	var asks []asked
	denied := 0
	for denied+len(asks) < all {
		select {
		case a := <-w.asks:
			asks = append(asks, a)
		default:
			w.nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := w.in.Peek(1); err != nil {
				continue
			}
			w.nc.SetReadDeadline(time.Now().Add(patience))
			if _, word, rest := w.answer(); word != "Shed" || !strings.HasPrefix(rest, "w ") {
				t.Fatalf("%q %q", word, rest)
			}
			denied++
		}
	}
	if len(asks) > tasksEach {
		t.Errorf("%d reqs of one client at nodes", len(asks))
	}
}

// Machines that left the list, and their connections, are forgotten.
func TestNodesThatLeft(t *testing.T) {
	w := start(t, 1)
	for i := range 100 {
		m := feed.Machine{ID: uint32(1000 + i), Addr: netip.MustParseAddrPort(w.nodes[0].Addr().String())}
		for _, m.State = range []control.State{control.Ready, control.Draining, control.Gone} {
			if err := w.d.hear(feed.Event{Number: w.d.last + 1, Machines: []feed.Machine{m}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := len(w.d.nodes.byID); n != 2 {
		t.Errorf("%d nodes are held", n)
	}
	w.serves("page", "", "-", "by the one that stayed")
}

// Clients that asked once and stay, or say nothing, make room for those who ask; one with a req open does not.
func TestSilentClientsMakeRoom(t *testing.T) {
	w := start(t, 1)
	first := w.call("page", 5000, "")
	a := w.next("GET")
	addr, open := w.nc.RemoteAddr().String(), w.nc
	var stayed []net.Conn
	for i := range 2 * w.d.bounds.clientSockets {
		w.nc = dial(t, addr)
		stayed = append(stayed, w.nc)
		if i%2 == 0 {
			w.in = bufio.NewReader(w.nc)
			w.serves("log", "", "-", "once")
		}
	}
	if n := w.d.clients.each(func(*client) {}); n > w.d.bounds.clientSockets {
		t.Errorf("%d connections are held", n)
	}
	if _, err := stayed[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the one silent for longest: %v", err)
	}
	w.in = bufio.NewReader(open)
	a.reply(t, "HIT", "-", "still here")
	w.expect(first, "", "still here")
}

// A connection whose req lies unread does not make room: a director that was held back must not close over it.
func TestUnreadReqsKeepTheirPlace(t *testing.T) {
	w := start(t, 1)
	l := listen(t)
	accept := func(write string) *client {
		nc := dial(t, l.Addr().String())
		here, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, write)
		return newClient(w.d, here)
	}
	s := &clients{most: 2, all: map[*client]bool{}}
	asks, mute, next := accept("a req"), accept(""), accept("")
	for !asks.unread() {
		time.Sleep(time.Millisecond)
	}
	for i, c := range []*client{asks, mute, next} {
		if !s.admit(c, time.Duration(i)*time.Hour) {
			t.Fatal("not admitted")
		}
	}
	if !s.all[asks] || s.all[mute] {
		t.Error("the one with a req unread made room")
	}
	next.mu.Lock()
	next.open[1] = &req{}
	next.mu.Unlock()
	if s.admit(accept(""), 9*time.Hour) {
		t.Error("admitted where nobody can make room")
	}
}

// A connection that says nothing, or never comes to the end of its first message, is closed within the time owed.
func TestNothingWhole(t *testing.T) {
	w := start(t, 1)
	mute, half := dial(t, w.nc.RemoteAddr().String()), dial(t, w.nc.RemoteAddr().String())
	io.WriteString(half, "\x94\x00\x07\xa4page\x92")
	for _, nc := range []net.Conn{mute, half} {
		if _, err := io.ReadAll(nc); err != nil {
			t.Error(err)
		}
	}
}

// A configuration read anew moves the feed at once, from the number held, and what is open stays open. A faulty one
// changes nothing.
func TestReload(t *testing.T) {
	w := start(t, 1)
	id := w.call("page", 5000, "")
	a := w.next("GET")
	hello := func(l net.Listener) net.Conn {
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		var from [8]byte
		if _, err := io.ReadFull(nc, from[:]); err != nil || from[7] != 1 {
			t.Fatalf("starts from %v, %v", from, err)
		}
		return nc
	}
	before := hello(w.journal)
	w.d.reload(nil, errors.New("journal: missing"))
	moved := *w.d.conf
	there := listen(t)
	moved.Journal = netip.MustParseAddrPort(there.Addr().String())
	w.d.reload(&moved, nil)
	after := hello(there)
	if _, err := before.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the old connection: %v", err)
	}
	moved.Journal = netip.MustParseAddrPort(w.journal.Addr().String())
	w.d.reload(w.d.conf, nil)
	w.d.reload(&moved, nil) // one after the other: the last counts
	hello(w.journal)
	if _, err := after.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the second connection: %v", err)
	}
	a.reply(t, "HIT", "-", "through it all")
	w.expect(id, "", "through it all")
}

// After the signal what comes is answered still; then the director ends by itself.
func TestLeaving(t *testing.T) {
	w := start(t, 1)
	before := w.call("log", 5000, "1", "k", "7")
	a := w.next("GET")
	w.stop()
	after := w.call("log", 5000, "2", "k", "7")
	w.next("GET").reply(t, "HIT", "-", "b")
	w.expect(after, "", "b")
	a.reply(t, "HIT", "-", "a")
	w.expect(before, "", "a")
	select {
	case <-w.served:
	case <-time.After(patience):
		t.Fatal("it stays")
	}
	if _, err := w.in.ReadByte(); err != io.EOF {
		t.Errorf("the client's connection ends with %v", err)
	}
}

// A req that is open for too long after the signal is aborted, not left to be killed.
func TestLeavingWithoutAnswers(t *testing.T) {
	w := start(t, 1)
	id := w.call("order", 15000, "1")
	w.next("GET")
	w.stop()
	if gotID, word, _ := w.answer(); gotID != id || word != "Fault" {
		t.Fatalf("%d %q", gotID, word)
	}
	<-w.served
}

// Over the bound on bodies a req is denied at once, before any node has it.
func TestBodiesBounded(t *testing.T) {
	w := start(t, 1)
	w.d.bodies.Add(w.d.bounds.bodies)
	id := w.call("order", 5000, "x")
	if gotID, word, _ := w.answer(); gotID != id || word != "Shed" {
		t.Fatalf("%d %q", gotID, word)
	}
	w.d.bodies.Add(-w.d.bounds.bodies)
	slow := &req{d: w.d, from: &client{}}
	if !slow.hold(int(w.d.bounds.clientBodies/2)+1) || slow.enter(control.Ask{}) != errFull {
		t.Error("a client that holds half of its bound is not denied")
	}
	if slow.hold(int(w.d.bounds.clientBodies/2)) || w.d.bodies.Load() != slow.held.Load() {
		t.Error("over the bound, or counted wrongly")
	}
	w.serves("order", "x", "-", "")
}

// A client that does not read holds up nobody else, and has its whole answer once it does.
func TestSlowReader(t *testing.T) {
	w := start(t, 1)
	here, there := net.Pipe() // takes nothing that is not read
	go newClient(w.d, here).read()
	quick := w.nc
	w.nc = there
	first := w.call("log", 8000, "", "k", "7")
	big := strings.Repeat("x", 240000)
	w.next("GET").reply(t, "HIT", "-", big)
	w.nc = quick
	second := w.call("log", 8000, "", "k", "7")
	w.next("GET").reply(t, "HIT", "-", "y")
	w.expect(second, "", "y")
	w.in = bufio.NewReader(there)
	w.expect(first, "", big)
	there.Close()
}

// A dispatch given up is remembered on its connection: the same req goes to that node on another one.
func TestSameReqTwiceAtANode(t *testing.T) {
	w := start(t, 1)
	s := w.d.nodes
	r := &req{d: w.d, from: &client{}, ends: make(chan *dispatch, 9)}
	send := func() *dispatch {
		x := &dispatch{r: r, at: w.d.clock.now()}
		x.ask.ID, x.ask.Vhost, x.ask.Wait = "twice", "page", time.Second
		r.sent = append(r.sent, x)
		s.send(1, x)
		return x
	}
	x := send()
	a := w.next("GET")
	x.withdraw(Withdrawn)
	if w.next("DROP"); (<-r.ends).ending != Withdrawn {
		t.Error("not withdrawn")
	}
	y := send()
	b := w.next("GET")
	if b.conn == a.conn {
		t.Fatal("on the same connection")
	}
	a.reply(t, "HIT", "-", "to the first")
	b.reply(t, "HIT", "-", "to the second")
	if z := <-r.ends; z != y || string(z.answer.Body) != "to the second" {
		t.Error("the first one's answer was taken")
	}
}

// A node that leaves off amid an answer: nothing more waits behind that.
func TestHalfAnAnswer(t *testing.T) {
	w := start(t, 1)
	w.call("page", 500, "")
	a := w.next("GET")
	io.WriteString(a.conn, "*4\r\n$16\r\n"+a.id+"\r\n$3\r\nHI")
	if _, word, _ := w.answer(); word != "Shed" {
		t.Errorf("%q", word)
	}
	w.next("DROP")
	id := w.call("page", 5000, "")
	b := w.next("GET")
	if b.conn == a.conn {
		t.Fatal("behind half an answer")
	}
	b.reply(t, "HIT", "-", "whole")
	w.expect(id, "", "whole")
}

// A node that the feed lists at another address, or started anew, gets nothing more over its old connections; a new
// node may have the address of one that has gone.
func TestNodesMove(t *testing.T) {
	w := start(t, 2)
	ask := func() asked { return w.serves("page", "", "-", "") }
	addr := func(i int) netip.AddrPort { return netip.MustParseAddrPort(w.nodes[i].Addr().String()) }
	home := ask().node
	m := feed.Machine{ID: uint32(home + 1), Addr: addr(1 - home), State: control.Ready}
	other := feed.Machine{ID: uint32(2 - home), Addr: addr(1 - home), State: control.Gone}
	hear := func(machines ...feed.Machine) {
		if err := w.d.hear(feed.Event{Number: w.d.last + 1, Machines: machines}); err != nil {
			t.Fatal(err)
		}
	}
	hear(other, m)
	before := ask()
	if before.node != 1-home {
		t.Fatal("asked at the old address")
	}
	m.BornUnix = time.Now().UnixMilli() - time.Minute.Milliseconds()
	hear(m)
	if after := ask(); after.node != before.node || after.conn == before.conn {
		t.Error("asked over the connection from before its start")
	}
}

// A connection that ends, or is given up as stuck, before a req was written whole: the req never ran.
func TestSentInPart(t *testing.T) {
	for _, stuck := range []bool{false, true} {
		w := start(t, 1)
		s := w.d.nodes
		here, there := net.Pipe()
		r := &req{d: w.d, from: &client{}, ends: make(chan *dispatch, 9)}
		x := &dispatch{r: r, at: w.d.clock.now()}
		x.ask.Body = make([]byte, 48000)
		s.mu.Lock()
		c := s.open(s.byID[1])
		c.add(x)
		s.mu.Unlock()
		c.up(here)
		go c.write(here)
		if _, err := io.ReadFull(there, make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		if stuck {
			time.Sleep(2 * stuckAfter) // more does no harm
			x.withdraw(Withdrawn)
		} else {
			there.Close()
		}
		if y := <-r.ends; y.ending != SentInPart {
			t.Errorf("stuck %v: ended as %v", stuck, y.ending)
		}
	}
}

// What has waited to be written is void by then: drains and purges heard since would be passed over.
func TestStaleOrders(t *testing.T) {
	w := start(t, 1)
	r := &req{d: w.d, from: &client{}, ends: make(chan *dispatch, 9)}
	x := &dispatch{r: r, at: w.d.clock.now() - 2*staleAfter}
	w.d.nodes.send(1, x)
	if y := <-r.ends; y != x || y.ending != Stale {
		t.Errorf("ended as %v", y.ending)
	}
}

func TestFeedReconnects(t *testing.T) {
	w := start(t, 1)
	frame := func(number uint64, kind byte, payload ...byte) []byte {
		b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
		return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
	}
	purge := make([]byte, 16)
	for i, c := range []struct {
		from  uint64
		write [][]byte
	}{
		{1, [][]byte{frame(1, 0), frame(2, 3, purge...), frame(2, 3, purge...), frame(3, 3, purge...)}},
		{3, [][]byte{frame(4, 9)}},              // a kind unheard of
		{3, [][]byte{frame(7, 3, purge...)}},    // a gap
		{3, [][]byte{frame(7, 3, purge...)}},    // that stays
		{7, [][]byte{{0xff, 0xff, 0xff, 0xff}}}, // an impossible length
		{7, nil},
	} {
		nc, err := w.journal.Accept()
		if err != nil {
			t.Fatal(err)
		}
		var hello [8]byte
		if _, err := io.ReadFull(nc, hello[:]); err != nil {
			t.Fatal(err)
		}
		if from := binary.BigEndian.Uint64(hello[:]); from != c.from {
			t.Errorf("connection %d starts from %d, not %d", i, from, c.from)
		}
		for _, b := range c.write {
			nc.Write(b)
		}
		nc.(*net.TCPConn).CloseWrite()
	}
}

// A director that was held back reads what came meanwhile before its timers say that nothing did, and takes what it
// reads then to have come at the earliest time that it may have.
func TestHeldBack(t *testing.T) {
	c := newClock()
	c.start = c.start.Add(-time.Hour)
	if at := c.arrived(); at != 0 {
		t.Errorf("before the timers' task woke: arrived at %v", at)
	}
	if wait := c.wake(2 * time.Hour); wait != catchUp {
		t.Errorf("timers wait for %v", wait)
	}
	if at := c.arrived(); at != 0 {
		t.Errorf("while catching up: arrived at %v", at)
	}
	if wait := c.wake(2*time.Hour + catchUp); wait > 0 {
		t.Errorf("timers wait for %v more", wait)
	}
	c.until = 0
	if at := c.arrived(); at < time.Hour {
		t.Errorf("afterwards: arrived at %v", at)
	}
}

// A machine that refuses connections, or lets none come up, is dead or cut off; one that resets a new one may be well.
func TestEndingsOfDials(t *testing.T) {
	for err, want := range map[error]Ending{syscall.ECONNREFUSED: NeverConnected, syscall.EHOSTUNREACH: NeverConnected,
		os.ErrDeadlineExceeded: NeverConnected, syscall.ECONNRESET: Cut, syscall.EMFILE: Cut} {
		if got := endingOfDial(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}); got != want {
			t.Errorf("%v: %v", err, got)
		}
	}
}

// Only what never ran may be told as such: a wrong entry here lets an effect happen twice.
func TestEndings(t *testing.T) {
	never := map[Ending]control.Ending{NeverConnected: control.NoConnect, SentInPart: control.Unsent, Stale: control.Unsent,
		NeverSent: control.Moot, NoRoom: control.Full, AnsweredNone: control.Miss, AnsweredFull: control.Full,
		AnsweredLate: control.Moot}
	may := map[Ending]control.Ending{AnsweredHit: control.Done, AnsweredSame: control.Done,
		AnsweredFault: control.Failed, NoMemory: control.Cancelled, Withdrawn: control.Cancelled,
		Expired: control.TimedOut, Lost: control.Reset, Closed: control.Reset, Stopped: control.Reset,
		Cut: control.Reset, Unreadable: control.Reset, Stalled: control.Reset}
	for e := range Ending(len(endings)) {
		want, proof := never[e]
		if !proof {
			want = may[e]
			if _, listed := may[e]; !listed {
				t.Errorf("%v is in neither table", e)
			}
		}
		if e.outcome() != want {
			t.Errorf("%v is told as %d", e, e.outcome())
		}
	}
	if AnsweredLate.String() != "late" {
		t.Errorf("names are out of step: %v", AnsweredLate)
	}
}

// A probe tells a node that answers, one that is silent and one that refuses; it takes no socket that a req may need.
func TestProbe(t *testing.T) {
	w := start(t, 1)
	w.d.nodes.conf.DialTimeout = 200 * time.Millisecond
	ends := make(chan control.Ending, 1)
	ask := func(id uint32) { w.d.nodes.probe(id, func(e control.Ending) { ends <- e }) }
	ask(1)
	w.next("PING").reply(t, "PONG", "-", "")
	if e := <-ends; e != control.Done {
		t.Errorf("a node that answers: %v", e)
	}
	ask(1)
	w.next("PING")
	if e := <-ends; e != control.TimedOut {
		t.Errorf("a silent node: %v", e)
	}
	ask(0xaa)
	if e := <-ends; e != control.NoConnect {
		t.Errorf("a dead node: %v", e)
	}
	w.d.nodes.mu.Lock()
	w.d.nodes.left = w.d.nodes.spare
	w.d.nodes.mu.Unlock()
	ask(1)
	select {
	case a := <-w.asks:
		t.Errorf("probed with no socket to spare: %v", a)
	case <-time.After(100 * time.Millisecond):
	}
}

// What sending takes comes from the answer's bytes and the pace that the configuration tells; an empty one tells nothing.
func TestSendingByBytes(t *testing.T) {
	d := &Director{conf: &config.Config{Flow: 5000}}
	if got := d.sending(2255); got != 451*time.Millisecond || d.sending(0) != 0 {
		t.Errorf("%v for 2255 bytes, %v for none", got, d.sending(0))
	}
	if d.conf.Flow = 0; d.sending(2255) != 0 {
		t.Error("a size without a pace")
	}
}
