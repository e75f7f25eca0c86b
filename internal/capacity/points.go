package capacity

// Shares of a goal by load.

import (
	"cmp"
	"math"
	"slices"
)

// Point is the share of a goal at one load, over all runs at that load.
type Point struct {
	Factor          float64 `json:"factor"` // multiple of the captured load
	Rate            float64 `json:"rate"`   // offered requests a second
	Share           float64 `json:"share"`  // of the requests that are answered within the latency objective
	Requests        int     `json:"asked"`
	Rejected        int     `json:"denied"`
	Late            int     `json:"late"`
	MachineFailures int     `json:"falls"`
}

// add adds the result of a run. The tally counts the requests of the run to which the goal applies.
func (p *Point) add(result *Result, tally Tally) {
	met := p.Share*float64(p.Requests) + float64(tally.Met)
	p.Share = met / float64(max(1, p.Requests+tally.Requests))
	p.Requests += tally.Requests
	p.Rejected += tally.Rejected
	p.Late += tally.Late
	p.MachineFailures += result.MachineFailures
}

// factorTolerance is the relative difference below which two factors count as equal.
const factorTolerance = 1e-9

// Points returns one point for each factor of the results, in ascending order of the factor.
func Points(results []*Result, goal *Goal) (points []Point) {
	for _, result := range results {
		sameFactor := func(p Point) bool { return math.Abs(p.Factor/result.Factor-1) < factorTolerance }
		index := slices.IndexFunc(points, sameFactor)
		if index < 0 {
			index = len(points)
			points = append(points, Point{Factor: result.Factor, Rate: result.Rate})
		}
		points[index].add(result, result.Tally(goal.classIndex))
	}
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.Factor, b.Factor) })
	return points
}
