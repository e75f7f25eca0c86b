package lease

import (
	"fmt"
	"testing"
	"time"
)

// benchInstallation is an installation whose messages take a tenth of a heartbeat interval and whose clocks agree. When the benchmark
// begins it has a leader, and every job has a lease holder.
type benchInstallation struct {
	names     []string
	instances map[string]*Instance
	inbox     map[string][]Message
	now       time.Duration
	leader    string
	follower  string                   // one of the other instances
	spent     map[string]time.Duration // by instance: processing time in Tick, Receive and DueRuns
	bytes     map[string]int           // by instance: encoded bytes sent
	messages  map[Kind]int             // messages sent by kind
}

const (
	benchHeartbeat      = 250 * time.Millisecond
	ticksPerHeartbeat   = 10
	benchTick           = benchHeartbeat / ticksPerHeartbeat
	benchPeriod         = 10 * time.Second
	heartbeatsPerPeriod = int(benchPeriod / benchHeartbeat)
)

// newBenchInstallation returns an installation in which every job has run twice.
func newBenchInstallation(b *testing.B, instances, duties int) *benchInstallation {
	b.Helper()
	installation := &benchInstallation{
		instances: map[string]*Instance{},
		inbox:     map[string][]Message{},
		spent:     map[string]time.Duration{},
		bytes:     map[string]int{},
		messages:  map[Kind]int{},
	}
	config := Config{Lease: 1200 * time.Millisecond, Heartbeat: benchHeartbeat, Drift: 0.02, StartUnixMilli: 1e6}
	for i := range duties {
		config.Duties = append(config.Duties, Duty{Name: fmt.Sprintf("duty%d", i), Period: benchPeriod, Timeout: time.Second})
	}
	for i := range instances {
		config.Members = append(config.Members, fmt.Sprintf("control%d", i))
	}
	installation.names = config.Members
	for i, name := range installation.names {
		config.Name, config.Seed = name, uint64(i+1)
		if err := config.Check(); err != nil {
			b.Fatal(err)
		}
		installation.instances[name] = New(config, 0)
	}
	for range 400 {
		installation.heartbeat()
		if !installation.settled(config.Duties) {
			continue
		}
		for range 2 * heartbeatsPerPeriod {
			installation.heartbeat()
		}
		clear(installation.spent)
		clear(installation.bytes)
		clear(installation.messages)
		return installation
	}
	b.Fatalf("%d instances with %d jobs: not every job got a lease holder", instances, duties)
	return nil
}

// settled sets leader and follower. It reports whether there is a leader and every job has a lease holder.
func (installation *benchInstallation) settled(duties []Duty) bool {
	owned := 0
	installation.leader, installation.follower = "", ""
	for _, name := range installation.names {
		instance := installation.instances[name]
		if instance.IsLeader(installation.now) {
			installation.leader = name
		} else {
			installation.follower = name
		}
		for _, duty := range duties {
			if _, ok := instance.Holds(installation.now, duty.Name); ok {
				owned++
			}
		}
	}
	return installation.leader != "" && owned == len(duties)
}

// heartbeat simulates one heartbeat interval. The work of an instance in one tick is timed by two readings of the clock.
func (installation *benchInstallation) heartbeat() {
	for range ticksPerHeartbeat {
		installation.now += benchTick
		sent := map[string][]Message{}
		for _, name := range installation.names {
			instance := installation.instances[name]
			began := time.Now()
			var out []Message
			for _, message := range installation.inbox[name] {
				out = append(out, instance.Receive(installation.now, message)...)
			}
			out = append(out, instance.Tick(installation.now)...)
			for _, order := range instance.DueRuns(installation.now) {
				instance.RunEnded(order.Duty, order.Run)
			}
			installation.spent[name] += time.Since(began)
			for _, message := range out {
				sent[message.To] = append(sent[message.To], message)
				installation.bytes[name] += len(Append(nil, &message))
				installation.messages[message.Kind]++
			}
		}
		installation.inbox = sent
	}
}

// benchmarkHeartbeats measures heartbeat intervals. One iteration is one period, in which each job runs once, many of them in the
// same interval. ns/op is the time of all instances for a period, including the delivery of their messages. The other figures are
// the processing time of one instance and the bytes of its messages, without headers, for one interval. The scaling command looks
// the units up by name, so the leader is still named keeper and the follower member there.
func benchmarkHeartbeats(b *testing.B, instances, duties int) {
	installation := newBenchInstallation(b, instances, duties)
	count := 0
	for b.Loop() {
		for range heartbeatsPerPeriod {
			installation.heartbeat()
			count++
		}
	}
	if !installation.instances[installation.leader].IsLeader(installation.now) {
		b.Fatal("the leader has changed")
	}
	for _, kind := range []Kind{VoteRequest, Vote, Heartbeat, LeaseGrant} {
		if installation.messages[kind] == 0 {
			b.Fatalf("no message of kind %d was sent; messages by kind: %v", kind, installation.messages)
		}
	}
	for unit, name := range map[string]string{"keeper": installation.leader, "member": installation.follower} {
		b.ReportMetric(float64(installation.spent[name].Nanoseconds())/float64(count), unit+"-ns/beat")
		b.ReportMetric(float64(installation.bytes[name])/float64(count), unit+"-B/beat")
	}
}

// BenchmarkScaleDutyInstances measures a heartbeat interval by the number of instances, with 60 jobs.
func BenchmarkScaleDutyInstances(b *testing.B) {
	for _, n := range []int{3, 5, 9, 20, 40, MaxInstances} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) { benchmarkHeartbeats(b, n, 60) })
	}
}

// BenchmarkScaleDutyDuties measures a heartbeat interval by the number of jobs, each run every ten seconds, with 9 instances. The
// leader is notified of each run in the interval in which the run begins.
func BenchmarkScaleDutyDuties(b *testing.B) {
	for _, n := range []int{100, 1000, 2500, 5000, 10000} {
		b.Run(fmt.Sprintf("duties=%d", n), func(b *testing.B) { benchmarkHeartbeats(b, 9, n) })
	}
}

// benchReport returns a report of a number of machines, of which one in ten is down.
func benchReport(machines int) *HealthReport {
	report := &HealthReport{Duty: "probe", Fence: 1764576000000 << fenceBits, Run: 1}
	for i := range machines {
		report.Machines = append(report.Machines, MachineHealth{Node: uint32(i + 1), StartedUnix: 1764576000000 + int64(i), Alive: i%10 > 0,
			Age: time.Duration(i) * time.Millisecond})
	}
	return report
}

// reportSizes has the numbers of machines in the benchmarks of reports.
var reportSizes = []int{36, 72, 145, 290, 580}

// BenchmarkScaleNewsAppend measures the encoding of the report of one run into a reused buffer.
func BenchmarkScaleNewsAppend(b *testing.B) {
	for _, machines := range reportSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			report := benchReport(machines)
			var raw []byte
			b.ReportAllocs()
			for b.Loop() {
				raw = AppendHealthReport(raw[:0], report)
			}
			b.ReportMetric(float64(len(raw)), "B/msg")
		})
	}
}

// BenchmarkScaleNewsParse measures the decoding of the report of one run.
func BenchmarkScaleNewsParse(b *testing.B) {
	for _, machines := range reportSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			raw := AppendHealthReport(nil, benchReport(machines))
			b.ReportAllocs()
			for b.Loop() {
				if report, err := ParseHealthReport(raw); err != nil || len(report.Machines) != machines {
					b.Fatal(len(report.Machines), err)
				}
			}
		})
	}
}

// BenchmarkScaleNewsTake measures the time that a board takes to accept the report of one run.
func BenchmarkScaleNewsTake(b *testing.B) {
	for _, machines := range reportSizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			report, board := benchReport(machines), NewHealthBoard()
			b.ReportAllocs()
			for b.Loop() {
				report.Run++
				if accepted := board.Accept(time.Duration(report.Run)*time.Second, report); len(accepted) != machines {
					b.Fatalf("%d of %d results were accepted", len(accepted), machines)
				}
			}
		})
	}
}
