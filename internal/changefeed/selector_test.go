package changefeed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestLinksMoveBackGradually checks that a machine that recovers gets its directors back over tens of seconds, a few at a time, and
// that none of them is without a link for long.
func TestLinksMoveBackGradually(t *testing.T) {
	const (
		maxMoves    = 4
		maxUnlinked = 2500 * time.Millisecond
	)
	all := nineMachines()
	outages := []outage{
		{name: "c2", from: 20 * time.Second, to: 50 * time.Second},
		{name: "c4", from: 22 * time.Second, to: 55 * time.Second, hangs: true},
	}
	perSecond := map[time.Duration]int{}
	moved, times := 0, 0
	for i := range lossDirectors {
		me := fmt.Sprint("d", i)
		selector := newSelectorTest(t, me, testSite(i), uint64(i), lossDialSpread, all)
		selector.run(4*time.Minute, outages)
		selector.checkBestPair(me, testSite(i), all)
		if len(selector.moved) > maxMoves || selector.unlinkedFor > maxUnlinked {
			t.Errorf("%s: got moves at %v and %v without a link, want at most %d moves and %v",
				me, selector.moved, selector.unlinkedFor, maxMoves, maxUnlinked)
		}
		first, second := bestPair(me, testSite(i), all)
		if len(selector.moved) > 0 {
			moved++
		}
		for _, at := range selector.moved {
			if at < 55*time.Second && first != "c2" && second != "c2" {
				t.Errorf("%s: got a move at %v, want none before a better machine is back", me, at)
			}
			perSecond[at/time.Second]++
			times++
		}
	}
	if moved < 100 {
		t.Errorf("got %d directors that moved, want at least 100", moved)
	}
	if most := largest(perSecond); most > times/8 {
		t.Errorf("got %d moves in one second, want at most an eighth of all %d", most, times)
	}
	t.Logf("%d directors moved %d times, at most %d in one second", moved, times, largest(perSecond))
}

// TestLinksDoNotFollowFlappingMachine checks that links rarely move while a machine fails for three seconds every eight seconds.
func TestLinksDoNotFollowFlappingMachine(t *testing.T) {
	all := nineMachines()
	var outages []outage
	for at := 10 * time.Second; at < 10*time.Minute; at += 8 * time.Second {
		outages = append(outages, outage{name: "c3", from: at, to: at + 3*time.Second})
	}
	for i := range lossDirectors {
		me := fmt.Sprint("d", i)
		first, second := bestPair(me, testSite(i), all)
		if first != "c3" && second != "c3" {
			continue
		}
		selector := newSelectorTest(t, me, testSite(i), uint64(i), lossDialSpread, all)
		selector.run(10*time.Minute, outages)
		counts := selector.selector.Counts()
		if counts.Moves > 30 || counts.Lost > 40 || len(selector.dials) > 110 {
			t.Errorf("%s: got counts %+v and %d dials, want at most 30 moves, 40 lost links and 110 dials", me, counts, len(selector.dials))
		}
		if selector.unlinkedFor > 0 {
			t.Errorf("%s: got %v without a link, want none", me, selector.unlinkedFor)
		}
	}
}

// TestDialsWhileAllMachinesAreDown checks that dials go on while no machine answers, of each machine ever less often down to a bound,
// and that links are up soon after the machines recover.
func TestDialsWhileAllMachinesAreDown(t *testing.T) {
	const (
		downFrom       = 10 * time.Second
		downTo         = 70 * time.Second
		minDials       = 2 + 9*60/6       // two links, then each of nine machines at least each 6 s
		maxDials       = 2 + 9*(60/2+3)   // and at most each 2 s, with three more at first
		maxDialsOfEach = 60/2 + 4         // with one before the outage
		maxUnlinked    = 65 * time.Second // 5 s after the outage
	)
	all := nineMachines()
	var outages []outage
	for _, machine := range all {
		outages = append(outages, outage{name: machine.Name, from: downFrom, to: downTo})
	}
	selector := newSelectorTest(t, "d", testSite(5), 7, lossDialSpread, all)
	selector.run(downTo, outages)
	if dials := len(selector.dials); dials < minDials || dials > maxDials {
		t.Errorf("got %d dials, want %d to %d", dials, minDials, maxDials)
	}
	for _, machine := range all {
		if dials := selector.selector.Dials(machine.Name); dials > maxDialsOfEach {
			t.Errorf("%s: got %d dials, want at most %d", machine.Name, dials, maxDialsOfEach)
		}
	}

	selector.run(downTo+5*time.Second+10*time.Millisecond, outages)
	if selector.linked() != 2 {
		t.Errorf("after the outage: got links %v, want two", selector.links)
	}
	if selector.unlinkedFor > maxUnlinked {
		t.Errorf("got %v without a link, want at most %v", selector.unlinkedFor, maxUnlinked)
	}
}

// TestDialsSpreadOverDialSpread checks that the first dials spread evenly over DialSpread, and so do those after all links broke at
// once.
func TestDialsSpreadOverDialSpread(t *testing.T) {
	const (
		spread  = lossDialSpread
		brokeAt = 20 * time.Second
	)
	all := nineMachines()
	var outages []outage
	for _, machine := range all { // they break all links, and answer again at once
		outages = append(outages, outage{name: machine.Name, from: brokeAt, to: brokeAt + 1})
	}
	var firstDials, dialsAfterLoss [4]int // by quarter of the spread
	for i := range lossDirectors {
		selector := newSelectorTest(t, fmt.Sprint("d", i), testSite(i), uint64(i), spread, all)
		selector.run(40*time.Second, outages)
		afterLoss := slices.IndexFunc(selector.dials, func(at time.Duration) bool { return at >= brokeAt })
		if afterLoss < 2 || selector.dials[1] > spread || selector.dials[afterLoss+1] > brokeAt+spread {
			t.Fatalf("d%d: got dials at %v, want two within %v of the start and two within %v of %v", i, selector.dials, spread, spread, brokeAt)
		}
		firstDials[selector.dials[0]*4/(spread+1)]++
		dialsAfterLoss[(selector.dials[afterLoss]-brokeAt)*4/(spread+1)]++
	}
	// Of two dials that are spread evenly, the first is in the quarters of the spread with probabilities 7/16, 5/16, 3/16 and 1/16.
	for quarter, sixteenths := range [4]int{7, 5, 3, 1} {
		mean := lossDirectors * sixteenths / 16
		least, most := mean*7/10, mean*13/10+6
		for _, count := range []int{firstDials[quarter], dialsAfterLoss[quarter]} {
			if count < least || count > most {
				t.Errorf("quarter %d: got %d dials at first and %d after the loss, want %d to %d",
					quarter, firstDials[quarter], dialsAfterLoss[quarter], least, most)
			}
		}
	}
}

// TestSecondLinkIsMostDistant checks that the second link goes to a machine with the greatest failure distance from the first,
// whatever the preference. A single machine gets one link.
func TestSecondLinkIsMostDistant(t *testing.T) {
	at := Place{Region: "r0", Zone: "z0", Site: "s0"}
	same := ControlMachine{Name: "same", Place: at}
	site := ControlMachine{Name: "site", Place: Place{Region: "r0", Zone: "z0", Site: "s1"}}
	zone := ControlMachine{Name: "zone", Place: Place{Region: "r0", Zone: "z1", Site: "s2"}}
	region := ControlMachine{Name: "region", Place: Place{Region: "r1", Zone: "z2", Site: "s3"}}
	for i := range 20 {
		me := fmt.Sprint("d", i)
		for _, test := range []struct {
			machines   []ControlMachine
			wantLinked string // one of the two links
		}{
			{machines: []ControlMachine{same, site, zone, region}, wantLinked: "region"},
			{machines: []ControlMachine{same, site, zone}, wantLinked: "zone"},
		} {
			selector := newSelectorTest(t, me, at, 1, 0, test.machines)
			selector.run(time.Second, nil)
			if selector.links[test.wantLinked] != Linked || selector.linked() != 2 {
				t.Errorf("%s with %v: got links %v, want two, one of them to %s", me, test.machines, selector.links, test.wantLinked)
			}
		}

		selector := newSelectorTest(t, me, at, 1, 0, []ControlMachine{same})
		selector.run(time.Minute, nil)
		if selector.linked() != 1 || selector.active != "same" {
			t.Errorf("%s with one machine: got links %v, active %q, want one active link", me, selector.links, selector.active)
		}
		expectEqual(t, "next tick with one machine", selector.selector.NextTick(selector.now), Never)
	}
}

// TestNeverTwoLinksInOneRegion checks that with three regions two links are never in the same one, not even after the best two
// machines recover and one of them has replaced a stand-in.
func TestNeverTwoLinksInOneRegion(t *testing.T) {
	all := []ControlMachine{
		{Name: "a", Place: Place{Region: "r0", Zone: "z0", Site: "s0"}},
		{Name: "b", Place: Place{Region: "r0", Zone: "z1", Site: "s1"}},
		{Name: "c", Place: Place{Region: "r1", Zone: "z2", Site: "s2"}},
		{Name: "d", Place: Place{Region: "r2", Zone: "z3", Site: "s3"}},
	}
	regions := map[string]string{}
	for _, machine := range all {
		regions[machine.Name] = machine.Place.Region
	}
	for i := range 200 {
		me := fmt.Sprint("d", i)
		first, second := bestPair(me, all[0].Place, all)
		selector := newSelectorTest(t, me, all[0].Place, uint64(i), 0, all)
		outages := []outage{
			{name: first, from: 20 * time.Second, to: 21 * time.Second},
			{name: second, from: 20 * time.Second, to: 21 * time.Second},
		}
		for at := 10 * time.Second; at < 2*time.Minute; at += 100 * time.Millisecond {
			selector.run(at, outages)
			names := slices.Sorted(maps.Keys(selector.links))
			if selector.linked() == 2 && len(names) == 2 && regions[names[0]] == regions[names[1]] {
				t.Fatalf("%s at %v: got links to %v, want them in different regions", me, at, names)
			}
		}
		if selector.active != first || selector.links[second] != Linked || selector.selector.Counts().Moves == 0 {
			t.Errorf("%s: got links %v, active %s, %d moves, want %s (active) and %s after some moves",
				me, selector.links, selector.active, selector.selector.Counts().Moves, first, second)
		}
	}
}

// TestBackoffDoubles checks that the backoff of a machine doubles with each fault in a row up to a bound, and that a link that was up
// for BackoffResetAfter ends the row.
func TestBackoffDoubles(t *testing.T) {
	selector := NewLinkSelector(SelectorConfig{Name: "d", Seed: 1}, []ControlMachine{{Name: "a"}}, 0)
	now := time.Duration(0)
	backoffAfter := func(upFor time.Duration) (backoff time.Duration) {
		for selector.Links()["a"] != Dialling {
			now = selector.NextTick(now)
			selector.Tick(now)
		}
		selector.LinkUp(now, "a")
		now += upFor
		selector.LinkLost(now, "a")
		for selector.IsBackingOff(now+backoff, "a") {
			backoff += time.Millisecond
		}
		return backoff
	}
	selector.Tick(now)
	for i, test := range []struct{ upFor, least time.Duration }{
		{upFor: time.Second, least: 500 * time.Millisecond},
		{upFor: time.Second, least: time.Second},
		{upFor: time.Second, least: 2 * time.Second},
		{upFor: time.Second, least: 2500 * time.Millisecond},
		{upFor: time.Second, least: 2500 * time.Millisecond},
		{upFor: 10 * time.Second, least: 500 * time.Millisecond},
		{upFor: time.Second, least: time.Second},
	} {
		most := 2*test.least + time.Millisecond
		if backoff := backoffAfter(test.upFor); backoff < test.least || backoff > most {
			t.Errorf("fault %d: got a backoff of %v, want %v to %v", i, backoff, test.least, most)
		}
	}
}

// TestRandomInputs gives a selector inputs in any order, also those that do not fit its state, and changes its list of machines. After
// each step its links are those that follow from its actions. After five minutes without faults the best two machines are linked,
// and the first is active.
func TestRandomInputs(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		all := nineMachines()
		listed := all
		me, at := fmt.Sprint("d", seed), testSite(int(seed))
		selector := newSelectorTest(t, me, at, seed, time.Duration(random.IntN(2))*lossDialSpread, all)
		for range 400 {
			if random.IntN(3) > 0 {
				selector.now += time.Duration(random.IntN(1<<(4+random.IntN(11)))) * time.Millisecond
			}
			name := all[random.IntN(len(all))].Name
			state := selector.links[name] // Vacant if there is none
			switch random.IntN(8) {
			case 0, 1, 2:
				if state == Dialling {
					selector.links[name] = Linked
				}
				selector.apply(selector.selector.LinkUp(selector.now, name), false)
			case 3:
				if state == Dialling {
					selector.disconnect(name)
				}
				selector.apply(selector.selector.DialFailed(selector.now, name), false)
			case 4:
				if state == Linked {
					selector.disconnect(name)
				}
				selector.apply(selector.selector.LinkLost(selector.now, name), false)
			case 5:
				if random.IntN(10) == 0 {
					listed = slices.Clone(all)
					random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
					listed = listed[:1+random.IntN(len(listed))]
					selector.apply(selector.selector.SetMachines(selector.now, listed), true)
				}
			default:
				selector.apply(selector.selector.Tick(selector.now), false)
			}
			if next := selector.selector.NextTick(selector.now); next <= selector.now {
				t.Fatalf("seed %d: got the next tick at %v, want one after %v", seed, next, selector.now)
			}
		}
		selector.run(selector.now+5*time.Minute, nil)
		if len(listed) >= 2 {
			selector.checkBestPair(me, at, listed)
		}
	}
}

// TestSelectorIsDeterministic checks that the same seed, director and history give the same dials, and another seed others.
func TestSelectorIsDeterministic(t *testing.T) {
	dials := func(seed uint64) []time.Duration {
		selector := newSelectorTest(t, "d", testSite(3), seed, time.Second, nineMachines())
		selector.run(5*time.Minute, []outage{
			{name: "c0", from: 10 * time.Second, to: 60 * time.Second, hangs: true},
			{name: "c5", from: 11 * time.Second, to: 200 * time.Second},
		})
		return selector.dials
	}
	want := dials(1)
	if got := dials(1); !slices.Equal(got, want) {
		t.Errorf("same seed: got dials at %v, want %v", got, want)
	}
	if got := dials(2); slices.Equal(got, want) {
		t.Errorf("other seed: got the same dials at %v, want others", got)
	}
}

// TestNewMachineGetsLinksGradually checks that a machine that is added to the list gets its links over tens of seconds, not all at
// once, and that no director is without a link meanwhile.
func TestNewMachineGetsLinksGradually(t *testing.T) {
	all := nineMachines()
	perSecond, moved := map[time.Duration]int{}, 0 // first dials after the change
	for i := range lossDirectors {
		me := fmt.Sprint("d", i)
		selector := newSelectorTest(t, me, testSite(i), uint64(i), 0, all[1:])
		selector.run(time.Minute, nil)
		dialsBefore := len(selector.dials)
		selector.apply(selector.selector.SetMachines(selector.now, all), true)
		selector.run(3*time.Minute, nil)
		first, second := bestPair(me, testSite(i), all)
		if selector.active != first || selector.links[second] != Linked || selector.unlinkedFor > 0 {
			t.Errorf("%s: got links %v, active %s, %v without a link, want %s (active) and %s at all times",
				me, selector.links, selector.active, selector.unlinkedFor, first, second)
		}
		if len(selector.dials) > dialsBefore {
			moved++
			perSecond[(selector.dials[dialsBefore]-time.Minute)/time.Second]++
		}
	}
	if moved < 80 {
		t.Errorf("got %d directors that moved, want at least 80", moved)
	}
	if largest(perSecond) > moved/6 || perSecond[0] > 0 {
		t.Errorf("got first dials by second %v, want none in the first and at most a sixth of %d in each", perSecond, moved)
	}
}
