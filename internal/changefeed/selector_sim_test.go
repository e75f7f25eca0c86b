package changefeed

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// outage is a period in which a machine does not answer.
type outage struct {
	name     string
	from, to time.Duration
	hangs    bool // whether dials fail by a timeout instead of immediately
}

const (
	dialDuration = 5 * time.Millisecond
	dialTimeout  = time.Second // of a dial to a machine that hangs
)

// selectorTest simulates the machines of one selector, with outages, and checks the selector after each step.
type selectorTest struct {
	t            testing.TB
	linkSelector *LinkSelector
	now          time.Duration
	links        map[string]LinkState     // links and dials according to the actions so far
	active       string                   // machine of the subscription according to the actions so far
	resultDue    map[string]time.Duration // when the result of a dial is known, by machine
	dialTimes    []time.Duration          // times of all dials
	moveTimes    []time.Duration          // times of all moves
	unlinkedFor  time.Duration            // total time without a link, after the first link
	everLinked   bool
}

// newSelectorTest returns a test with a new selector, at time 0.
func newSelectorTest(t testing.TB, directorName string, at Place, seed uint64, spread time.Duration, all []ControlMachine) *selectorTest {
	selector := &selectorTest{t: t, links: map[string]LinkState{}, resultDue: map[string]time.Duration{}}
	selector.linkSelector = NewLinkSelector(SelectorConfig{Name: directorName, Place: at, Seed: seed, DialSpread: spread}, all, 0)
	return selector
}

// linked returns the number of links that are up.
func (selector *selectorTest) linked() (count int) {
	for _, state := range selector.links {
		if state == Linked {
			count++
		}
	}
	return count
}

// disconnect removes the link or dial to a machine, and the subscription there.
func (selector *selectorTest) disconnect(name string) {
	delete(selector.links, name)
	if selector.active == name {
		selector.active = ""
	}
}

// checkBestPair reports an error unless the director has links to exactly the best two of the listed machines, and subscribes at the
// best one.
func (selector *selectorTest) checkBestPair(directorName string, at Place, listed []ControlMachine) {
	selector.t.Helper()
	first, second := bestPair(directorName, at, listed)
	if selector.active != first || selector.links[second] != Linked || len(selector.links) != 2 {
		selector.t.Errorf("%s: got links %v, active %s, want %s (active) and %s", directorName, selector.links, selector.active, first, second)
	}
}

// apply carries out actions and checks them. The last link may be dropped only if listChanged is set, because its machine may then no
// longer be listed.
func (selector *selectorTest) apply(actions []Action, listChanged bool) {
	selector.t.Helper()
	for _, action := range actions {
		switch action.Kind {
		case Dial:
			selector.applyDial(action.Name)
		case Drop:
			selector.applyDrop(action.Name, listChanged)
		case Activate:
			if selector.links[action.Name] != Linked {
				selector.t.Fatalf("%v: got a subscription at %s, want one at a link that is up", selector.now, action.Name)
			}
			selector.active = action.Name
		}
	}
	selector.checkState()
}

// applyDial carries out a Dial. The machine must be listed, neither linked nor dialled, and not backing off. A third machine may be
// dialled only while two links are up.
func (selector *selectorTest) applyDial(name string) {
	selector.t.Helper()
	_, used := selector.links[name]
	backingOff := selector.linkSelector.IsBackingOff(selector.now, name)
	listed := slices.Contains(selector.linkSelector.Names(), name)
	if used || backingOff || !listed {
		selector.t.Fatalf("%v: got a dial to %s (used %v, backing off %v, listed %v), want one to a free machine",
			selector.now, name, used, backingOff, listed)
	}
	if len(selector.links) >= 2 && selector.linked() < 2 {
		selector.t.Fatalf("%v: got a third dial, to %s, want none until two links are up: %v", selector.now, name, selector.links)
	}
	selector.links[name] = Dialling
	selector.dialTimes = append(selector.dialTimes, selector.now)
}

// applyDrop carries out a Drop. The link or dial must exist.
func (selector *selectorTest) applyDrop(name string, listChanged bool) {
	selector.t.Helper()
	state, used := selector.links[name]
	if !used {
		selector.t.Fatalf("%v: got a drop of %s, want one of a link or dial", selector.now, name)
	}
	selector.disconnect(name)
	if state == Linked && !listChanged && selector.linked() == 0 {
		selector.t.Fatalf("%v: got a drop of the last link, to %s, want none", selector.now, name)
	}
}

// checkState checks that the state of the selector agrees with its actions so far.
func (selector *selectorTest) checkState() {
	selector.t.Helper()
	links, active := selector.linkSelector.Links(), selector.linkSelector.Active()
	if !maps.Equal(links, selector.links) || active != selector.active {
		selector.t.Fatalf("%v: got links %v, active %q, want %v, %q according to the actions",
			selector.now, links, active, selector.links, selector.active)
	}
	if len(links) > 3 {
		selector.t.Fatalf("%v: got links %v, want at most 3", selector.now, links)
	}
	if (active == "") != (selector.linked() == 0) {
		selector.t.Fatalf("%v: got active %q with %d links up, want an active one if and only if a link is up",
			selector.now, active, selector.linked())
	}
	wantZero := selector.linked() > 0 || selector.now == selector.linkSelector.unlinkedSince
	if unlinkedFor := selector.linkSelector.UnlinkedFor(selector.now); (unlinkedFor == 0) != wantZero {
		selector.t.Fatalf("%v: got UnlinkedFor %v with %d links up, want 0: %v", selector.now, unlinkedFor, selector.linked(), wantZero)
	}
}

// outageOf returns the present outage of a machine, if there is one.
func (selector *selectorTest) outageOf(name string, outages []outage) (current outage, isDown bool) {
	for _, each := range outages {
		if each.name == name && selector.now >= each.from && selector.now < each.to {
			return each, true
		}
	}
	return outage{}, false
}

// run simulates the time until a given time, with outages.
func (selector *selectorTest) run(until time.Duration, outages []outage) {
	selector.applyAndRecord(selector.linkSelector.Tick(selector.now))
	for {
		selector.scheduleDials(outages)
		due := selector.linkSelector.NextTick(selector.now)
		selector.passTime(selector.nextTime(until, due, outages), until)
		inputs := selector.breakLinks(outages) + selector.finishDials(outages)
		actions := selector.linkSelector.Tick(selector.now)
		if len(actions) > 0 && inputs == 0 && due > selector.now {
			selector.t.Fatalf("%v: got actions %v from a tick before the one due at %v, want none", selector.now, actions, due)
		}
		selector.applyAndRecord(actions)
		if selector.now >= until {
			return
		}
	}
}

// scheduleDials sets the time at which each new dial has its result.
func (selector *selectorTest) scheduleDials(outages []outage) {
	for name, state := range selector.links {
		if _, known := selector.resultDue[name]; state == Dialling && !known {
			selector.resultDue[name] = selector.now + dialDuration
			if current, isDown := selector.outageOf(name, outages); isDown && current.hangs {
				selector.resultDue[name] = selector.now + dialTimeout
			}
		}
	}
}

// nextTime returns the time of the next simulated event: a tick that is due, the result of a dial, or the start of an outage.
func (selector *selectorTest) nextTime(until, due time.Duration, outages []outage) time.Duration {
	next := min(until, due)
	for _, at := range selector.resultDue {
		next = min(next, at)
	}
	for _, each := range outages {
		if each.from > selector.now {
			next = min(next, each.from)
		}
	}
	return next
}

// passTime advances the time to next.
func (selector *selectorTest) passTime(next, until time.Duration) {
	if selector.everLinked && selector.linked() == 0 {
		selector.unlinkedFor += next - selector.now
	}
	if next <= selector.now && next < until {
		selector.t.Fatalf("%v: got the next time %v, want a later one", selector.now, next)
	}
	selector.now = next
}

// breakLinks breaks the links to machines that are down, reports them to the selector, and returns their number.
func (selector *selectorTest) breakLinks(outages []outage) (inputs int) {
	for _, name := range slices.Sorted(maps.Keys(selector.links)) {
		if _, isDown := selector.outageOf(name, outages); !isDown || selector.links[name] != Linked {
			continue
		}
		selector.disconnect(name)
		inputs++
		selector.applyAndRecord(selector.linkSelector.LinkLost(selector.now, name))
	}
	return inputs
}

// finishDials reports the results of dials that are due to the selector, and returns their number.
func (selector *selectorTest) finishDials(outages []outage) (inputs int) {
	for _, name := range slices.Sorted(maps.Keys(selector.resultDue)) {
		if selector.resultDue[name] > selector.now {
			continue
		}
		delete(selector.resultDue, name)
		if selector.links[name] != Dialling {
			continue
		}
		inputs++
		if _, isDown := selector.outageOf(name, outages); isDown {
			delete(selector.links, name)
			selector.applyAndRecord(selector.linkSelector.DialFailed(selector.now, name))
		} else {
			selector.everLinked = true
			selector.links[name] = Linked
			selector.applyAndRecord(selector.linkSelector.LinkUp(selector.now, name))
		}
	}
	return inputs
}

// applyAndRecord carries out actions, and records the times of moves. A dial that is dropped gets no result.
func (selector *selectorTest) applyAndRecord(actions []Action) {
	selector.apply(actions, false)
	for len(selector.moveTimes) < selector.linkSelector.Counts().Moves {
		selector.moveTimes = append(selector.moveTimes, selector.now)
	}
	for _, action := range actions {
		if action.Kind == Drop {
			delete(selector.resultDue, action.Name)
		}
	}
}
