package director

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// idleDirector returns a director with the given number of caches and without sockets, and the list of its endpoints.
func idleDirector(b *testing.B, machines int) (*Director, []discovery.Endpoint) {
	parent := `{"host":"s-000000aa","dial":"127.0.0.1:1","site":"here","class":"mid","health":"SERVING"}`
	conf := parseConfig(b, []string{parent}, "127.0.0.1:1", nil)
	log := logrus.New()
	logged := &logRecorder{}
	log.SetOutput(logged)
	b.Cleanup(func() { // a panic in routing is only logged
		if logged.text.Len() > 0 {
			b.Error(logged.text.String())
		}
	})
	d := New(conf, logrus.NewEntry(log))
	list := []discovery.Endpoint{{ID: 0xaa, Addr: netip.MustParseAddrPort("127.0.0.1:1"), State: routing.Ready, Kind: 1}}
	for i := range machines {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8443)
		list = append(list, discovery.Endpoint{ID: uint32(0x1000 + i), Addr: addr, State: routing.Ready, StartedUnix: 1764576000000})
	}
	applyAsNext(b, d, discovery.Event{Endpoints: list, Complete: true})
	return d, list
}

// applyAsNext makes the director apply an event with the next number.
func applyAsNext(b *testing.B, d *Director, e discovery.Event) {
	e.Number = d.lastEvent + 1
	if err := d.handleEvent(0, e); err != nil || d.lastEvent != e.Number {
		b.Fatal(d.lastEvent, err)
	}
}

var endpointCounts = []int{20, 70, 140, 280}

// BenchmarkScaleApplyList applies a complete list of endpoints in which one endpoint has changed.
func BenchmarkScaleApplyList(b *testing.B) {
	for _, n := range endpointCounts {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			d, list := idleDirector(b, n)
			b.ReportAllocs()
			for b.Loop() {
				list[n].State = routing.Ready + routing.Draining - list[n].State
				applyAsNext(b, d, discovery.Event{Endpoints: list, Complete: true})
			}
			if len(d.pool.byID) != n+1 || d.pool.byID[list[n].ID].ready != (list[n].State == routing.Ready) {
				b.Fatalf("%d machines are known", len(d.pool.byID))
			}
		})
	}
}

// BenchmarkScaleApplyChange applies the event of one changed endpoint, for several numbers of known endpoints.
func BenchmarkScaleApplyChange(b *testing.B) {
	for _, n := range endpointCounts {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			d, list := idleDirector(b, n)
			change := list[n : n+1]
			b.ReportAllocs()
			for b.Loop() {
				change[0].State = routing.Ready + routing.Draining - change[0].State
				applyAsNext(b, d, discovery.Event{Endpoints: change})
			}
			if len(d.pool.byID) != n+1 || d.pool.byID[change[0].ID].ready != (change[0].State == routing.Ready) {
				b.Fatalf("%d machines are known", len(d.pool.byID))
			}
		})
	}
}

// BenchmarkScaleApplyPurge applies one purge, for several numbers of earlier purges.
func BenchmarkScaleApplyPurge(b *testing.B) {
	for _, n := range []int{100, 500, 1000, 5000, 10000} {
		b.Run(fmt.Sprintf("purges=%d", n), func(b *testing.B) {
			d, _ := idleDirector(b, 20)
			at := time.Now().UnixMilli()
			for i := range n {
				applyAsNext(b, d, discovery.Event{Purge: &discovery.Purge{Object: uint64(i + 1), StampUnix: at}})
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				applyAsNext(b, d, discovery.Event{Purge: &discovery.Purge{Object: uint64(i%n + 1), StampUnix: at + int64(i)}})
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC() // frees what the first collection only marked, such as pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkScaleClients measures the heap and stacks of idle client connections on which one message was answered. The memory of
// the clients' ends, which are in the same process, is included. ns/op covers connecting, the answer and closing.
func BenchmarkScaleClients(b *testing.B) {
	const spare = 3 // goroutines of the watch, whose number varies
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("clients=%d", n), func(b *testing.B) {
			w := startWith(b, 1, []string{`"sockets":64`, `"sockets":4096`}, nil)
			addr := w.conn.RemoteAddr().String()
			count := func() int { return w.director.clients.each(func(*clientConn) {}) }
			w.conn.Close()
			w.waitUntil("left", func() bool { return count() == 0 })
			round := func() int64 {
				tasks, before := runtime.NumGoroutine(), memoryInUse()
				all, answer := make([]net.Conn, n), make([]byte, 64)
				for i := range all {
					var err error
					if all[i], err = net.Dial("tcp", addr); err != nil {
						b.Fatal(err)
					}
					io.WriteString(all[i], "\x94\x00\x09"+packText("alive")+"\x91\x80")
				}
				for _, conn := range all {
					conn.SetReadDeadline(time.Now().Add(testTimeout))
					if _, err := conn.Read(answer); err != nil {
						b.Fatal(err)
					}
				}
				if held := count(); held != n {
					b.Fatalf("%d connections are held", held)
				}
				w.waitUntil("at rest", func() bool { return runtime.NumGoroutine() <= tasks+n+spare })
				took := memoryInUse() - before
				for _, conn := range all {
					conn.Close()
				}
				w.waitUntil("left", func() bool { return count() == 0 && runtime.NumGoroutine() <= tasks+spare })
				return took
			}
			round() // allocates memory that later rounds reuse
			bytes, times := int64(0), 0
			for b.Loop() {
				bytes += round()
				times++
			}
			b.ReportMetric(float64(bytes)/float64(times), "held-B")
		})
	}
}

// BenchmarkForwardedRequest measures a request from the client's write to the answer, with one attempt at a node that answers
// immediately. The client and the node are in the same process, so their work is included.
func BenchmarkForwardedRequest(b *testing.B) {
	w := start(b, 1)
	b.ReportAllocs()
	for b.Loop() {
		id := w.sendRequest("page", 5000, "")
		w.nextCommand("GET").reply(b, "HIT", "-", "ok")
		w.expectAnswer(id, "", "ok")
	}
}
