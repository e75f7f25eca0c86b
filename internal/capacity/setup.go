package capacity

// Parameters of a run.

import "time"

// Setup describes one run.
type Setup struct {
	Factor  float64       // multiple of the captured load
	Seed    uint64        // for all random choices
	Warmup  time.Duration // length of the warmup before the counted span
	Span    time.Duration // length of the counted span
	Failure Failure       // happens when the counted span begins

	// ForeignLinkShares holds, for each machine in the order of topology.Topology.Machines, the share of its link that
	// zones outside the simulation use at the captured load. It is nil if all zones are simulated.
	ForeignLinkShares []float64
}

// MinRemainingLinkShare is the share of a link that the simulated zones can always use, regardless of the load of the other
// zones.
const MinRemainingLinkShare = 0.02

const (
	// maxRunRequests is the maximum number of requests in a run without a failure. A run with more is shortened.
	maxRunRequests = 15_000

	// minRunDuration is the shortest duration, warmup included, to which a run is shortened.
	minRunDuration = 4 * time.Second
)

// shorten reduces the duration of a run so that it has at most maxRunRequests at the given rate in requests a second. The
// duration is not reduced below minRunDuration, and the ratio of warmup and span does not change.
func (s *Setup) shorten(rate float64) {
	duration := (s.Warmup + s.Span).Seconds()
	maxDuration := maxRunRequests / rate
	if maxDuration >= duration {
		return
	}
	ratio := max(maxDuration/duration, minRunDuration.Seconds()/duration)
	s.Warmup = time.Duration(ratio * float64(s.Warmup))
	s.Span = time.Duration(ratio * float64(s.Span))
}
