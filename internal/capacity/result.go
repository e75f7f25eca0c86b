package capacity

// Results of runs: outcomes of requests.

import (
	"time"

	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// Tally counts the requests of clients by outcome. A request and its retries count once, except that Retries counts each
// retry.
type Tally struct {
	Requests int `json:"asked"`
	Met      int `json:"met"`    // answered within the latency objective
	Late     int `json:"late"`   // answered after the latency objective
	Rejected int `json:"denied"` // rejected, with no retry left
	Failed   int `json:"failed"` // failed; may have been executed
	Retries  int `json:"retries"`
}

// Share returns the share of the requests that were answered within the latency objective. It is 1 without requests.
func (t Tally) Share() float64 {
	if t.Requests == 0 {
		return 1
	}
	return float64(t.Met) / float64(t.Requests)
}

// add adds the counts of another tally.
func (t *Tally) add(other Tally) {
	t.Requests += other.Requests
	t.Met += other.Met
	t.Late += other.Late
	t.Rejected += other.Rejected
	t.Failed += other.Failed
	t.Retries += other.Retries
}

// Result is the result of one run. Requests are assigned to the time at which the client first sent them.
type Result struct {
	Factor          float64 // multiple of the captured load
	Rate            float64 // offered requests a second
	Classes         []Tally // by request class
	Slots           []Tally // of all request classes, by slot of the counted span, each SlotSpan long
	Utilizations    []simulation.Use
	MachineFailures int           // number of machine failures, except those of the setup
	Fills           int           // fills completed since the counted span began
	Span            time.Duration // length of the counted span
}

// SlotSpan is the time that one entry of Result.Slots covers.
const SlotSpan = 500 * time.Millisecond

// Share returns the share of the requests of a class that were answered within the latency objective, or of all classes if
// the index is negative.
func (r *Result) Share(classIndex int) float64 { return r.Tally(classIndex).Share() }

// Tally returns the tally of one request class, or the sum of all classes if the index is negative.
func (r *Result) Tally(classIndex int) (tally Tally) {
	for i, class := range r.Classes {
		if classIndex < 0 || i == classIndex {
			tally.add(class)
		}
	}
	return tally
}

// Count adds the outcome of a request that the client first sent at the time sent, and that ended at the time ended. Both times
// are relative to the beginning of the counted span. A request sent outside the span is not counted.
func (r *Result) Count(network *topology.Topology, request *Request, sent, ended time.Duration, outcome Outcome, retries int) {
	if sent < 0 || sent >= r.Span {
		return
	}
	tally := Tally{Requests: 1, Retries: retries}
	switch {
	case outcome == Rejected:
		tally.Rejected = 1
	case outcome == Failed:
		tally.Failed = 1
	case ended-sent <= network.LatencyObjective(int(request.Class), int(request.Bytes)):
		tally.Met = 1
	default:
		tally.Late = 1
	}
	r.Classes[request.Class].add(tally)
	slot := int(sent / SlotSpan)
	for len(r.Slots) <= slot {
		r.Slots = append(r.Slots, Tally{})
	}
	r.Slots[slot].add(tally)
}

// Outcome is the final outcome of a client's request.
type Outcome uint8

// Outcomes of a client's request, after its last retry.
const (
	Served   Outcome = iota
	Rejected         // guaranteed not executed
	Failed           // may have been executed
)

// String returns the name of the outcome in the output of measurements.
func (o Outcome) String() string { return [...]string{"served", "denied", "failed"}[o] }
