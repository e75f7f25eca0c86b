package changefeed

import (
	"slices"
	"time"
)

// reviewLinks improves the links in steps. A step moves one link to a more preferred machine, or the subscription to the preferred
// link. No step is made until both kept links have been up for TakeoverAfter. The link to the new machine is established before the
// link to the old one is dropped.
func (s *LinkSelector) reviewLinks(now time.Duration) {
	areStable := s.isStable(now, 0) && s.isStable(now, 1)
	if !areStable || now < s.noMovesBefore {
		return
	}
	first, second := s.preferredPair(now)
	if first == "" {
		return
	}
	if s.slots[trialSlot].state != Vacant {
		s.concludeTrial(now, first, second)
		return
	}
	switch {
	case !s.isKept(first):
		s.startTrial(now, first)
	case !s.isKept(second):
		s.startTrial(now, second)
	case s.active != first:
		s.moveSubscription(now, first)
	}
}

// preferredPair returns the two machines that should have the kept links. If the best two of all machines are candidates, it returns
// these. Otherwise first is the best machine if that is a candidate, or else the active one, so that no subscription moves to a
// stand-in. Then second is the candidate with the greatest failure distance from first; at equal distances a linked machine comes
// before one that is not linked. Both are "" if there are fewer than two candidates.
func (s *LinkSelector) preferredPair(now time.Duration) (first, second string) {
	candidates := s.candidates(now)
	if len(candidates) < 2 {
		return "", ""
	}
	best, secondBest := s.preferences.order[0], s.preferences.order[1]
	first = s.active
	if slices.Contains(candidates, best) {
		first = best
	}
	if first == best && slices.Contains(candidates, secondBest) {
		return first, secondBest
	}
	others := slices.DeleteFunc(candidates, func(name string) bool { return name == first })
	return first, s.preferences.mostDistant(first, others)
}

// candidates returns the linked machines, followed by those that may be tried now, both in the order of preference.
func (s *LinkSelector) candidates(now time.Duration) []string {
	var linked, triable []string
	for _, name := range s.preferences.order {
		switch {
		case s.slotOf(name, Linked) >= 0:
			linked = append(linked, name)
		case !s.isUsed(name) && now >= s.records[name].noTrialBefore:
			triable = append(triable, name)
		}
	}
	return append(linked, triable...)
}

// isKept reports whether a machine has one of the kept slots.
func (s *LinkSelector) isKept(name string) bool {
	return slices.ContainsFunc(s.slots[:keptSlots], func(slot linkSlot) bool { return slot.name == name })
}

// startTrial dials a more preferred machine on the trial slot.
func (s *LinkSelector) startTrial(now time.Duration, name string) {
	s.emit(Dial, name)
	s.setState(now, trialSlot, Dialling, name, 0)
}

// abandonTrial ends the dial on the trial slot if a kept link is not up, because the kept links have priority.
func (s *LinkSelector) abandonTrial(now time.Duration) {
	if s.slots[trialSlot].state == Dialling && !s.areKeptLinked() {
		s.endTrial(now)
	}
}

// endTrial drops the link or dial to the machine on trial.
func (s *LinkSelector) endTrial(now time.Duration) {
	s.emit(Drop, s.slots[trialSlot].name)
	s.setState(now, trialSlot, Vacant, "", 0)
}

// concludeTrial ends a trial once its link has been up for TakeoverAfter. The machine on trial replaces a kept one, unless it is no
// longer in the preferred pair because better machines have become available.
func (s *LinkSelector) concludeTrial(now time.Duration, first, second string) {
	if !s.isStable(now, trialSlot) {
		return
	}
	if name := s.slots[trialSlot].name; name != first && name != second {
		s.endTrial(now)
		s.noMovesBefore = now + s.config.TakeoverAfter
		return
	}
	s.replaceKept(now, first, second)
}

// moveSubscription moves the subscription to the other kept link. The former machine goes on writing to its subscriber until the
// connection ends. So the former link is dropped, and its slot is filled by a new dial.
func (s *LinkSelector) moveSubscription(now time.Duration, to string) {
	former := s.active
	s.activate(to)
	s.emit(Drop, former)
	s.setState(now, s.slotOf(former, Linked), Vacant, "", 0)
	s.counts.Moves++
}

// replaceKept gives the machine on trial the slot of a kept machine, whose link is dropped.
func (s *LinkSelector) replaceKept(now time.Duration, first, second string) {
	replaced := s.slotToReplace(first, second)
	former := s.slots[replaced].name
	if s.active == former {
		s.activate(s.slots[trialSlot].name)
	}
	s.emit(Drop, former)
	s.setState(now, replaced, Vacant, "", 0)
	s.promoteTrial(replaced)
	s.noMovesBefore = now + s.config.TakeoverAfter
	s.counts.Moves++
}

// slotToReplace returns the kept slot whose machine is not in the preferred pair. If neither machine is in the pair, the one with the
// greater failure distance from the machine on trial stays, so that the two links do not share a failure domain unnecessarily. At
// equal distances the more preferred machine stays.
func (s *LinkSelector) slotToReplace(first, second string) int {
	isPreferred := func(i int) bool { return s.slots[i].name == first || s.slots[i].name == second }
	switch {
	case isPreferred(0):
		return 1
	case isPreferred(1):
		return 0
	}
	trial, kept0, kept1 := s.slots[trialSlot].name, s.slots[0].name, s.slots[1].name
	distance0, distance1 := s.preferences.distance(trial, kept0), s.preferences.distance(trial, kept1)
	if distance0 > distance1 {
		return 1
	}
	if distance0 < distance1 {
		return 0
	}
	if slices.Index(s.preferences.order, kept1) > slices.Index(s.preferences.order, kept0) {
		return 1
	}
	return 0
}

// promoteTrial moves the link on trial, with its state, to a vacant kept slot.
func (s *LinkSelector) promoteTrial(kept int) {
	s.slots[kept], s.slots[trialSlot] = s.slots[trialSlot], linkSlot{}
}
