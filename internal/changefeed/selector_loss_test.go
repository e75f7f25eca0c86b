package changefeed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// linkLoad counts links and subscriptions by control machine.
type linkLoad struct {
	links, subscriptions map[string]int
}

// newLinkLoad returns an empty load.
func newLinkLoad() linkLoad {
	return linkLoad{links: map[string]int{}, subscriptions: map[string]int{}}
}

// add adds the links and the subscription of a director.
func (load *linkLoad) add(selector *selectorTest) {
	for name, state := range selector.links {
		if state == Linked {
			load.links[name]++
		}
	}
	load.subscriptions[selector.active]++
}

// largest returns the largest count of a map.
func largest[K comparable](counts map[K]int) (maximum int) {
	for _, count := range counts {
		maximum = max(maximum, count)
	}
	return maximum
}

// total returns the sum of all counts of a map.
func total[K comparable](counts map[K]int) (sum int) {
	for _, count := range counts {
		sum += count
	}
	return sum
}

// machinePair holds the best two machines of a director.
type machinePair struct{ first, second string }

// lossTest is an installation of directors and nine control machines, with the links of the directors in the absence of faults.
type lossTest struct {
	machines []ControlMachine
	best     []machinePair // by director
	before   linkLoad      // load in the absence of faults
}

const (
	lossDirectors  = 580 // directors in each test with many selectors
	lossDialSpread = 800 * time.Millisecond
	lossSetsOfSize = 12 // number of random sets for each size above one machine
)

// runDirector runs a new selector of a director until a time, and returns it.
func (test *lossTest) runDirector(t *testing.T, director int, until time.Duration, outages []outage) *selectorTest {
	t.Helper()
	selector := newSelectorTest(t, fmt.Sprint("d", director), testSite(director), uint64(director), lossDialSpread, test.machines)
	selector.run(until, outages)
	return selector
}

// newLossTest returns a loss test. It checks that each director has links to its best two machines, and that these links are evenly
// distributed over the machines.
func newLossTest(t *testing.T) *lossTest {
	t.Helper()
	test := &lossTest{machines: nineMachines(), before: newLinkLoad()}
	for i := range lossDirectors {
		selector := test.runDirector(t, i, lossDialSpread+10*time.Millisecond, nil)
		first, second := bestPair(fmt.Sprint("d", i), testSite(i), test.machines)
		if selector.active != first || len(selector.links) != 2 || selector.links[first] != Linked || selector.links[second] != Linked {
			t.Fatalf("d%d: got links %v, active %s, want %s (active) and %s", i, selector.links, selector.active, first, second)
		}
		test.best = append(test.best, machinePair{first, second})
		test.before.add(selector)
	}
	meanLinks := 2 * float64(lossDirectors) / float64(len(test.machines))
	meanActives := float64(lossDirectors) / float64(len(test.machines))
	maxLinks, maxActives := largest(test.before.links), largest(test.before.subscriptions)
	t.Logf("0 lost: links at most %d, mean %.1f; subscriptions at most %d, mean %.1f", maxLinks, meanLinks, maxActives, meanActives)
	if len(test.before.links) != len(test.machines) {
		t.Errorf("got links to %d machines, want to all %d", len(test.before.links), len(test.machines))
	}
	if float64(maxLinks) > 1.4*meanLinks || float64(maxActives) > 1.8*meanActives {
		t.Errorf("got at most %d links and %d subscriptions of one machine, want at most 1.4 times %.1f and 1.8 times %.1f",
			maxLinks, maxActives, meanLinks, meanActives)
	}
	return test
}

// lossSets returns sets of machines to remove: all sets of one machine, or lossSetsOfSize random sets of several machines.
func (test *lossTest) lossSets(size int) (sets [][]string) {
	for bits := range 1 << len(test.machines) {
		var set []string
		for i, machine := range test.machines {
			if bits>>i&1 == 1 {
				set = append(set, machine.Name)
			}
		}
		if len(set) == size {
			sets = append(sets, set)
		}
	}
	if size > 1 {
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(sets), func(i, j int) { sets[i], sets[j] = sets[j], sets[i] })
		sets = sets[:lossSetsOfSize]
	}
	return sets
}

// loadAfterLoss returns the load after a set of machines is lost. It checks that each director has two links, and that no director
// moves unless it has lost a link.
func (test *lossTest) loadAfterLoss(t *testing.T, set []string) linkLoad {
	t.Helper()
	var outages []outage
	for i, name := range set {
		outages = append(outages, outage{name: name, from: 10 * time.Second, to: time.Hour, hangs: i%2 == 1})
	}
	after := newLinkLoad()
	for i, best := range test.best {
		selector := test.runDirector(t, i, 18*time.Second, outages)
		lostFirst, lostSecond := slices.Contains(set, best.first), slices.Contains(set, best.second)
		if selector.linked() != 2 {
			t.Fatalf("without %v: d%d: got links %v, want two", set, i, selector.links)
		}
		if !lostFirst && !lostSecond && len(selector.dialTimes) > 2 {
			t.Fatalf("without %v: d%d: got %d dials, want two, as it lost no link", set, i, len(selector.dialTimes))
		}
		if !lostFirst && selector.active != best.first {
			t.Fatalf("without %v: d%d: got a subscription at %s, want it at the best machine of %v", set, i, selector.active, best)
		}
		if lostFirst && !lostSecond && selector.active != best.second {
			t.Fatalf("without %v: d%d: got a subscription at %s, want it at the second best machine of %v", set, i, selector.active, best)
		}
		after.add(selector)
	}
	return after
}

// maxTakeover returns the largest number of lost links that one machine takes over after a set is lost, as a multiple of the mean over
// the remaining machines.
func (test *lossTest) maxTakeover(set []string, after linkLoad) float64 {
	lost, takeover := 0, 0
	for _, name := range set {
		lost += test.before.links[name]
	}
	for name, count := range after.links {
		takeover = max(takeover, count-test.before.links[name])
	}
	return float64(takeover) / (float64(lost) / float64(len(test.machines)-len(set)))
}

// TestLostLinksSpreadOverRemainingMachines removes up to four of nine control machines. Soon after DialSpread all directors must have
// two links again, no director that lost no link may have moved, and the links of the lost machines must be evenly distributed over
// the others.
func TestLostLinksSpreadOverRemainingMachines(t *testing.T) {
	test := newLossTest(t)
	for _, size := range []int{1, 3, 4} {
		sets := test.lossSets(size)
		maxLinks, maxActives, sumLinks, sumActives, maxGain, remaining := 0, 0, 0, 0, 0.0, 0
		for _, set := range sets {
			after := test.loadAfterLoss(t, set)
			maxLinks, maxActives = max(maxLinks, largest(after.links)), max(maxActives, largest(after.subscriptions))
			sumLinks, sumActives = sumLinks+total(after.links), sumActives+total(after.subscriptions)
			maxGain = max(maxGain, test.maxTakeover(set, after))
			remaining += len(test.machines) - size
		}
		meanLinks, meanActives := float64(sumLinks)/float64(remaining), float64(sumActives)/float64(remaining)
		t.Logf("%d lost, %d sets: links at most %d, mean %.1f; subscriptions at most %d, mean %.1f; taken over at most %.2f times the mean",
			size, len(sets), maxLinks, meanLinks, maxActives, meanActives, maxGain)
		if float64(maxLinks) > 1.4*meanLinks || float64(maxActives) > 1.7*meanActives || maxGain > 1.8 {
			t.Errorf("%d lost: got at most %d links, %d subscriptions and %.2f times the mean taken over by one machine, "+
				"want at most 1.4 times %.1f, 1.7 times %.1f and 1.8", size, maxLinks, maxActives, maxGain, meanLinks, meanActives)
		}
	}
}
