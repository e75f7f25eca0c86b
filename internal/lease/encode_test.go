package lease

import (
	"testing"
	"time"
)

// FuzzMessages checks that no message makes an instance panic, and that encoding and parsing a message again keeps its term and its
// number of leases.
func FuzzMessages(f *testing.F) {
	f.Add(Append(nil, &Message{
		Kind:     LeaseGrant,
		Term:     1 << 50,
		Duration: time.Second,
		Complete: true,
		Leases:   []LeaseRecord{{Duty: "x", Fence: 7, HasRun: true, SinceRun: time.Hour}},
	}))
	f.Add(AppendHealthReport(nil, &HealthReport{Duty: "probe", Fence: 1, Machines: []MachineHealth{{Node: 7}}}))
	config := Config{
		Name:      "a",
		Members:   []string{"a", "b"},
		Lease:     time.Second,
		Heartbeat: 200 * time.Millisecond,
		Duties:    []Duty{{Name: "x", Period: time.Second, Timeout: time.Second}},
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		ParseHealthReport(raw)
		message, err := Parse(raw)
		if err != nil {
			return
		}
		instance := New(config, 0)
		message.From, message.To = "b", "a"
		instance.Receive(5*time.Second, message)
		instance.Tick(5 * time.Second)
		again, err := Parse(Append(nil, &message))
		if err != nil || again.Term != message.Term || len(again.Leases) != len(message.Leases) {
			t.Errorf("after encoding and parsing: got %+v, %v, want %+v", again, err, message)
		}
	})
}
