package capacity

// The search for the load at which a goal breaks.

import (
	"math"

	"indigochute.example/indigochute/internal/topology"
)

const (
	// The coarse rounds find two loads between which the goal breaks. The first round tries coarseFactors loads, each of them
	// coarseRatio times the previous one, of which coarseBeyond lie at or above the estimated break. At most coarseRounds rounds
	// follow, each with loads above or below all previous loads.
	coarseFactors = 8
	coarseRatio   = 1.25
	coarseBeyond  = 2
	coarseRounds  = 5

	// A fine round tries fineFactors loads in a narrower range. Each round shifts its loads by fineShift times the step between
	// two of them, so that no two rounds try the same load.
	fineFactors = 5
	fineShift   = 0.07

	// seedsPerRound is the distance between the seeds of the extra rounds, so that they differ from each other and from the
	// seeds of the planner.
	seedsPerRound = 1000

	// targetDeviation is the standard deviation at which a break is precise enough, as a share of the break.
	targetDeviation = 0.02

	// narrowStretch and wideStretch are ranges of load on both sides of a break, as shares of the break. FitCrossing tries
	// stretches from narrowStretch/2 up to wideStretch.
	narrowStretch = 0.08
	wideStretch   = 0.3

	// crossingTolerance is the relative difference below which a point counts as lying at the break itself.
	crossingTolerance = 0.001
)

// fineRounds holds the stretch on both sides of the break that each fine round covers. 0 stands for the bracket that the
// coarse rounds found. The wide stretches are needed if the share falls slowly with load, because random variation then has a
// large effect on the estimated break.
var fineRounds = [...]float64{0, narrowStretch, wideStretch, wideStretch}

// extraRounds is the index in fineRounds of the first round that is skipped if the break is already precise enough.
const extraRounds = 2

// breakSearch is a search for the load at which a goal breaks.
type breakSearch struct {
	planner    *Planner
	network    *topology.Topology
	failure    Failure
	breakpoint *Break
}

// coarse tries loads around the estimate of Bounds, then greater or smaller loads, until the goal holds at the least load and
// breaks at the greatest, or until coarseRounds more rounds are done. If the capture is too short for greater loads, the
// search ends and the break contains the reason.
func (s *breakSearch) coarse() error {
	factors := s.firstFactors()
	for round := 0; ; round++ {
		err := s.planner.runFactorsWithin(s.network, s.failure, s.breakpoint, factors)
		if isShortDemand(err) && len(s.breakpoint.Points) > 0 {
			s.breakpoint.Reason = err.Error()
			return nil
		}
		if err != nil {
			return err
		}
		first, last := s.breakpoint.ends()
		holdsAtFirst := s.planner.holds(first)
		bracketed := holdsAtFirst && !s.planner.holds(last)
		if bracketed || round == coarseRounds {
			return nil
		}
		factors = nextFactors(first.Factor, last.Factor, holdsAtFirst)
	}
}

// nextFactors returns the factors of the next coarse round: above the greatest factor tried so far if up is true, otherwise
// below the least.
func nextFactors(least, greatest float64, up bool) (factors []float64) {
	for i := 1; i <= coarseFactors/2; i++ {
		ratio := math.Pow(coarseRatio, float64(i))
		if up {
			factors = append(factors, greatest*ratio)
		} else {
			factors = append(factors, least/ratio)
		}
	}
	return factors
}

// firstFactors returns the factors of the first coarse round. They lie around the load that fills the first limit. Most of
// them lie below it, because queueing breaks the goal at a smaller load.
func (s *breakSearch) firstFactors() (factors []float64) {
	bound := math.Inf(1)
	for _, limit := range s.planner.bounds(s.network) {
		bound = min(bound, limit.Factor)
	}
	if math.IsInf(bound, 1) {
		bound = 1
	}
	for i := range coarseFactors {
		factors = append(factors, bound*math.Pow(coarseRatio, float64(i-coarseFactors+coarseBeyond)))
	}
	return factors
}

// fine narrows the break down by fine rounds. It stops early if the capture is too short for a round.
func (s *breakSearch) fine() error {
	for round, stretch := range fineRounds {
		estimate, deviation := FitCrossing(s.breakpoint.Points, s.planner.Goal.share)
		if round >= extraRounds && deviation < targetDeviation*estimate {
			return nil
		}
		low, high := estimate/(1+stretch), estimate*(1+stretch)
		if stretch == 0 {
			low, high = bracket(s.breakpoint.Points, s.planner.Goal.share)
		}
		factors := fineFactorsBetween(low, high, round)
		err := s.planner.runFactors(s.network, s.failure, s.breakpoint, factors, s.seeds(round))
		if isShortDemand(err) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// fineFactorsBetween returns the factors of a fine round between low and high. The ratio of any two neighbouring factors is
// the same.
func fineFactorsBetween(low, high float64, round int) (factors []float64) {
	for i := 1; i <= fineFactors; i++ {
		step := (float64(i) - fineShift*float64(round)) / (fineFactors + 1)
		factors = append(factors, low*math.Pow(high/low, step))
	}
	return factors
}

// seeds returns the seeds of a fine round. They are all seeds of the planner, or a single seed in the first round and if a run
// has many requests. The single seed is the first seed of the planner. In the extra rounds two new seeds replace it.
func (s *breakSearch) seeds(round int) []uint64 {
	all := s.planner.Seeds
	first := all[0]
	leastRate := s.planner.Demand.Rate(allClassesIndex) * s.breakpoint.Points[0].Factor
	manyRequests := leastRate*minRunDuration.Seconds() > maxRunRequests/2
	oneSeed := round == 0 || manyRequests || len(all) == 1
	switch {
	case !oneSeed:
		return all
	case round < extraRounds:
		return all[:1]
	}
	return []uint64{first + seedsPerRound*uint64(round), first + (seedsPerRound+1)*uint64(round)}
}

// conclude computes the break and its bounds from the points of all rounds.
func (s *breakSearch) conclude() {
	breakpoint := s.breakpoint
	var deviation float64
	breakpoint.Factor, deviation = FitCrossing(breakpoint.Points, s.planner.Goal.share)
	breakpoint.Rate = s.planner.Demand.Rate(allClassesIndex) * breakpoint.Factor
	breakpoint.Low = max(breakpoint.Factor/2, breakpoint.Factor-2*deviation)
	breakpoint.High = breakpoint.Factor + 2*deviation
	breakpoint.setUtilizations()
	// A capture from another time could load the fullest limit more or less. The bounds of the limit show by how much.
	fullest := breakpoint.fullest()
	for _, limit := range s.planner.bounds(s.network) {
		if fullest.Name == limit.Name && fullest.Resource == limit.Resource {
			breakpoint.Low = min(breakpoint.Low, breakpoint.Factor*limit.Low/limit.Factor)
			breakpoint.High = max(breakpoint.High, breakpoint.Factor*limit.High/limit.Factor)
		}
	}
}
