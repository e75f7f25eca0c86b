package peer

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
)

// usage is the use of resources by this process at a time.
type usage struct {
	at            time.Time
	processorTime time.Duration // since the process started
	heap          uint64        // bytes, stacks included
	goroutines    int
}

// measureUsage measures the use after a garbage collection.
func measureUsage(b *testing.B) usage {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return usage{time.Now(), processorTime(b), m.HeapInuse + m.StackInuse, runtime.NumGoroutine()}
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// report reports the means over so many directors: the memory and goroutines between before and from, and the processor time and
// bytes a second between from and to.
func report(b *testing.B, before, from, to usage, directors int, written, received int64) {
	n, span := float64(directors), to.at.Sub(from.at).Seconds()
	b.ReportMetric(float64(written)/span/n, "written-B/s/director")
	b.ReportMetric(float64(received)/span/n, "received-B/s/director")
	b.ReportMetric((to.processorTime-from.processorTime).Seconds()/span/n*100, "%core/director")
	b.ReportMetric((float64(from.heap)-float64(before.heap))/n/1024, "KB/director")
	b.ReportMetric(float64(from.goroutines-before.goroutines)/n, "goroutines/director")
	b.ReportMetric(0, "ns/op")
}

// discardLog returns a log that is discarded.
func discardLog() *logrus.Entry {
	return logTo(io.Discard)
}

// BenchmarkMesh measures the cost of a mesh of idle buses to each of them: bytes written (pings and pongs; as many are received),
// processor time, memory and goroutines. All are in one process, over loopback. Bytes are without TCP headers.
func BenchmarkMesh(b *testing.B) {
	for _, many := range []int{10, 20, 40, 80} {
		b.Run(fmt.Sprintf("instances=%d", many), func(b *testing.B) {
			for b.Loop() {
				measureMesh(b, many, discardLog())
			}
		})
	}
}

// measureMesh measures one mesh once all links are up.
func measureMesh(b *testing.B, instances int, log *logrus.Entry) {
	addrs := meshAddresses(b, instances)
	before := measureUsage(b)
	var buses []*Bus
	for name := range addrs {
		bus, err := Open(Options{Name: name, Listen: addrs[name], Peers: allBut(addrs, name), Log: log})
		if err != nil {
			b.Fatal(err)
		}
		defer bus.Close()
		buses = append(buses, bus)
	}
	time.Sleep(3 * time.Second)
	from := measureUsage(b)
	first, up := meshTraffic(buses)
	time.Sleep(4 * time.Second)
	last, _ := meshTraffic(buses)
	to := measureUsage(b)
	if up != instances*(instances-1) {
		b.Fatalf("%d of %d links are up", up, instances*(instances-1))
	}
	report(b, before, from, to, instances, last-first, last-first)
}

// meshAddresses returns free addresses of loopback by name, for so many instances.
func meshAddresses(b *testing.B, instances int) map[string]string {
	addrs := map[string]string{}
	for i := range instances {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		addrs[fmt.Sprintf("n%d", i)] = listener.Addr().String()
		listener.Close()
	}
	return addrs
}

// allBut returns a copy of addresses without that of a name.
func allBut(addrs map[string]string, name string) map[string]string {
	others := maps.Clone(addrs)
	delete(others, name)
	return others
}

// meshTraffic returns the bytes that buses wrote to each other so far, and how many links are up.
func meshTraffic(buses []*Bus) (written int64, up int) {
	for _, bus := range buses {
		status := bus.Status()
		written += status.PongBytes
		for _, link := range status.Links {
			written += link.WrittenBytes
			if link.State == "up" {
				up++
			}
		}
	}
	return written, up
}

// silentPublisher is a publisher without messages.
type silentPublisher struct{}

func (silentPublisher) Next(*Subscriber) (string, []byte)   { return "", nil }
func (silentPublisher) Receive(*Subscriber, string, []byte) {}
func (silentPublisher) Disconnected(*Subscriber)            {}

// subscriptionOf200Bytes is an UplinkOptions.Subscription.
func subscriptionOf200Bytes() (topic string, payload []byte) { return "hello", make([]byte, 200) }

// BenchmarkUplinks measures the cost of idle uplinks to two of nine control machines to each director. Directors and control
// machines are in one process, over loopback: processor time, memory and goroutines are those of both sides together, per
// director. The processor time includes that of the mesh of the control machines; memory and goroutines do not.
func BenchmarkUplinks(b *testing.B) {
	for _, many := range []int{20, 60, 145, 290, 580} {
		b.Run(fmt.Sprintf("directors=%d", many), func(b *testing.B) {
			for b.Loop() {
				measureUplinks(b, many, discardLog())
			}
		})
	}
}

// measureUplinks measures the uplinks of so many directors once all links are up.
func measureUplinks(b *testing.B, directors int, log *logrus.Entry) {
	var names []string
	for i := range directors {
		names = append(names, fmt.Sprintf("d%d", i))
	}
	control, closeControl := openControlMesh(b, names, log)
	defer closeControl()
	time.Sleep(time.Second)
	before := measureUsage(b)
	var all []*Uplinks
	for i, name := range names {
		uplinks := OpenUplinks(UplinkOptions{
			Name:            name,
			Place:           scalePlace(i),
			ControlMachines: control,
			Spread:          800 * time.Millisecond,
			Seed:            uint64(i),
			Log:             log,
			Subscription:    subscriptionOf200Bytes,
			Handler:         func(string, []byte) {},
		})
		defer uplinks.Close()
		all = append(all, uplinks)
	}
	time.Sleep(3 * time.Second)
	from := measureUsage(b)
	written, received, _ := uplinkTraffic(all)
	time.Sleep(4 * time.Second)
	writtenLater, receivedLater, up := uplinkTraffic(all)
	to := measureUsage(b)
	if up != 2*directors {
		b.Fatalf("%d of %d links are up", up, 2*directors)
	}
	report(b, before, from, to, directors, writtenLater-written, receivedLater-received)
}

// scalePlace returns the place of the machine of a number. There are 39 sites, 18 zones and 7 regions.
func scalePlace(i int) changefeed.Place {
	return changefeed.Place{Region: fmt.Sprint("r", i%7), Zone: fmt.Sprint("z", i%18), Site: fmt.Sprint("s", i%39)}
}

// openControlMesh opens nine control machines that are peers of each other, for directors of the given names.
func openControlMesh(b *testing.B, directors []string, log *logrus.Entry) (control []ControlMachine, closeAll func()) {
	var buses []*Bus
	addrs := map[string]string{}
	for i := range 9 {
		name := fmt.Sprintf("c%d", i)
		bus, err := Open(Options{Name: name, Listen: "127.0.0.1:0", Log: log, Subscribers: directors, Publisher: silentPublisher{}})
		if err != nil {
			b.Fatal(err)
		}
		buses = append(buses, bus)
		addrs[name] = bus.Addr()
		control = append(control, ControlMachine{changefeed.ControlMachine{Name: name, Place: scalePlace(i)}, bus.Addr()})
	}
	for i, bus := range buses {
		bus.SetPeers(allBut(addrs, control[i].Name))
	}
	return control, func() {
		for _, bus := range buses {
			bus.Close()
		}
	}
}

// uplinkTraffic returns the bytes that directors wrote and received so far, and how many links are up.
func uplinkTraffic(all []*Uplinks) (written, received int64, up int) {
	for _, uplinks := range all {
		status := uplinks.Status()
		written, received, up = written+status.WrittenBytes, received+status.ReceivedBytes, up+status.Up
	}
	return written, received, up
}

// BenchmarkScaleSubscribers measures dialling, accepting and ending the connection of one subscriber, besides so many idle others.
// The processor time is that of both sides together, so a control machine needs no more to accept one.
func BenchmarkScaleSubscribers(b *testing.B) {
	for _, many := range []int{16, 32, 65, 129, 258} {
		b.Run(fmt.Sprintf("subscribers=%d", many), func(b *testing.B) {
			var names []string
			for i := range many + 1 {
				names = append(names, fmt.Sprintf("d%d", i))
			}
			bus, err := Open(Options{Name: "c", Listen: "127.0.0.1:0", Log: discardLog(), Subscribers: names, Publisher: silentPublisher{}})
			if err != nil {
				b.Fatal(err)
			}
			defer bus.Close()
			subscribe := func(name string, incarnation uint64) net.Conn {
				connection, err := net.Dial("tcp", bus.Addr())
				if err != nil {
					b.Fatal(err)
				}
				hello := helloFrame{version: protocolVersion, name: name, sender: incarnation}
				answer, err := writeHelloAndRead(connection, bufio.NewReader(connection), hello)
				if err != nil || answer.receiver != incarnation {
					b.Fatalf("%+v, %v", answer, err)
				}
				return connection
			}
			for _, name := range names[1:] {
				defer subscribe(name, 1).Close()
			}
			used, count := processorTime(b), 0
			for b.Loop() {
				count++
				subscribe(names[0], uint64(count)).Close()
			}
			b.ReportMetric(float64((processorTime(b)-used).Nanoseconds())/float64(count), "cpu-ns/op")
		})
	}
}
