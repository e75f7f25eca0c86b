package scenario

// This file sets the lengths of the phases of the scenario "scale", which depend on its sizes.

import "time"

// shortestUpTo is the number of directors up to which runs have the shortest length. Runs of maxDirectors are longest.
const shortestUpTo = 60

// timing holds the lengths of the phases of a run.
type timing struct {
	settle           time.Duration // before anything is measured
	quiet            time.Duration // before the first fault
	killLength       time.Duration // from when all jobs run again until the killed leader is restarted
	afterKill        time.Duration
	cutLength        time.Duration // of a region's partition
	afterCut         time.Duration
	afterDrop        time.Duration
	pauseLength      time.Duration // of a control machine's pause
	afterPause       time.Duration
	largeEventPeriod time.Duration // shorter in a shorter run, so that some large events are published
}

// timingOf returns the lengths of phases for the given sizes. They grow linearly with the number of directors beyond
// shortestUpTo.
func timingOf(sizes Sizes) timing {
	growth := float64(max(0, sizes.Directors-shortestUpTo)) / (maxDirectors - shortestUpTo)
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(growth*float64(longest-shortest))
	}
	const ms, s = time.Millisecond, time.Second
	return timing{
		settle:           between(1*s, 6*s),
		quiet:            between(4*s, 22*s),
		killLength:       between(500*ms, 5*s),
		afterKill:        between(1500*ms, 6*s),
		cutLength:        between(3*s, 12*s),
		afterCut:         between(2*s, 10*s),
		afterDrop:        between(2500*ms, 12*s),
		pauseLength:      between(2500*ms, 8*s),
		afterPause:       between(1500*ms, 6*s),
		largeEventPeriod: between(5*s, largeEventPeriod).Round(s),
	}
}
