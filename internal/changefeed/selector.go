package changefeed

import (
	"maps"
	"math"
	"slices"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Dial begins to dial a machine. The caller must report the result with LinkUp or DialFailed.
	Dial ActionKind = iota
	// Drop ends a link or a dial. The caller must not report the end.
	Drop
	// Activate subscribes on a link, and ends the former subscription.
	Activate
)

// Action is an instruction to the caller. Actions must be carried out in the order of their list.
type Action struct {
	Kind ActionKind
	Name string // name of the machine
}

// LinkState is the state of one link slot.
type LinkState uint8

const (
	// Vacant means no link and no dial.
	Vacant LinkState = iota
	// Dialling means a dial whose result is not known yet.
	Dialling
	// Linked means a link that is up.
	Linked
)

// Never is a time that is never reached.
const Never = time.Duration(math.MaxInt64)

// A selector has slots 0 and 1 for the links that it keeps, and one slot to try a better machine in while both are up.
const (
	keptSlots = 2
	trialSlot = keptSlots // index of the slot
)

// linkSlot is one place for a link.
type linkSlot struct {
	state LinkState
	name  string        // name of the machine; "" while vacant
	since time.Duration // when the state began
	due   time.Duration // when a vacant slot may be filled
}

// LinkSelector decides which control machines a director has links to: two machines with a failure distance as great as possible,
// one of them active. It is a state machine: it is given the results of dials, the loss of links and the time, and returns the
// actions to carry out. At most three machines are dialled or linked at once, the third one only while the two others are up. It is
// not safe for concurrent use.
type LinkSelector struct {
	config        SelectorConfig
	preferences   preferences
	records       map[string]*machineRecord // by listed machine
	slots         [keptSlots + 1]linkSlot
	active        string        // machine of the subscription; "": no link is up
	draws         uint64        // number of random numbers drawn
	noMovesBefore time.Duration // no link is moved before
	unlinkedSince time.Duration // since when no link has been up; Never: one is up
	actions       []Action      // actions that the present call returns
	counts        SelectorCounts
}

// SelectorCounts counts events since the start of a LinkSelector. The JSON keys are part of the JSON output.
type SelectorCounts struct {
	Failed    int `json:"failed"`    // dials that failed
	Lost      int `json:"lost"`      // links that broke
	Failovers int `json:"failovers"` // times that another link took over after the active one broke
	Moves     int `json:"moves"`     // links dropped for better ones
}

// NewLinkSelector returns a selector that starts now. Its first Tick returns the first dials.
func NewLinkSelector(config SelectorConfig, machines []ControlMachine, now time.Duration) *LinkSelector {
	s := &LinkSelector{config: config.withDefaults(), records: map[string]*machineRecord{}, unlinkedSince: now}
	for i := range s.slots {
		s.setState(now, i, Vacant, "", s.randomPart(config.DialSpread))
	}
	s.preferences = newPreferences(config.Name, config.Place, machines)
	s.updateRecords()
	return s
}

// SetMachines replaces the list of control machines. It drops links to machines that are no longer listed. No link moves to a new
// machine before TrialDelay, which guards it against links of all directors at once.
func (s *LinkSelector) SetMachines(now time.Duration, machines []ControlMachine) []Action {
	former := maps.Clone(s.records)
	s.preferences = newPreferences(s.config.Name, s.config.Place, machines)
	s.updateRecords()
	for _, name := range s.preferences.order {
		if former[name] == nil {
			s.delayTrial(now, s.records[name])
		}
	}
	for i := range s.slots {
		if slot := &s.slots[i]; slot.state != Vacant && s.records[slot.name] == nil {
			s.emit(Drop, slot.name)
			s.setState(now, i, Vacant, "", s.randomPart(s.config.DialSpread))
		}
	}
	return s.reconcile(now)
}

// LinkUp reports that a dialled machine accepted the link.
func (s *LinkSelector) LinkUp(now time.Duration, name string) []Action {
	if i := s.slotOf(name, Dialling); i >= 0 {
		s.setState(now, i, Linked, name, 0)
	}
	return s.reconcile(now)
}

// DialFailed reports that a dial failed, or that the machine refused the link.
func (s *LinkSelector) DialFailed(now time.Duration, name string) []Action {
	if i := s.slotOf(name, Dialling); i >= 0 {
		s.counts.Failed++
		s.recordFault(now, name)
		s.setState(now, i, Vacant, "", s.config.RetryDelay/2+s.randomPart(s.config.RetryDelay/2))
	}
	return s.reconcile(now)
}

// LinkLost reports that a link that was up broke, or was unresponsive for too long.
func (s *LinkSelector) LinkLost(now time.Duration, name string) []Action {
	if i := s.slotOf(name, Linked); i >= 0 {
		s.counts.Lost++
		if now-s.slots[i].since >= s.config.BackoffResetAfter {
			s.records[name].faultsInRow = 0
		}
		s.recordFault(now, name)
		wasActive := s.active == name
		s.setState(now, i, Vacant, "", s.randomPart(s.config.DialSpread))
		if wasActive && s.electActive() {
			s.counts.Failovers++
		}
	}
	return s.reconcile(now)
}

// Tick reports the time. It is due at NextTick, and may be called at any time.
func (s *LinkSelector) Tick(now time.Duration) []Action { return s.reconcile(now) }

// Active returns the machine of the subscription; "" while no link is up.
func (s *LinkSelector) Active() string { return s.active }

// Counts returns the counts since the start of the selector.
func (s *LinkSelector) Counts() SelectorCounts { return s.counts }

// UnlinkedFor returns for how long no link has been up; 0: one is up.
func (s *LinkSelector) UnlinkedFor(now time.Duration) time.Duration {
	if s.unlinkedSince == Never {
		return 0
	}
	return now - s.unlinkedSince
}

// Links returns the dialled and linked machines with their states.
func (s *LinkSelector) Links() map[string]LinkState {
	links := map[string]LinkState{}
	for _, slot := range s.slots {
		if slot.state != Vacant {
			links[slot.name] = slot.state
		}
	}
	return links
}

// Names returns the names of all listed machines, the most preferred first.
func (s *LinkSelector) Names() []string { return slices.Clone(s.preferences.order) }

// setState changes the state of a slot. Only promoteTrial, which moves a link between slots, changes it otherwise. A slot that
// becomes vacant is not filled before delay has passed.
func (s *LinkSelector) setState(now time.Duration, i int, to LinkState, name string, delay time.Duration) {
	if to == Vacant && s.slots[i].name == s.active {
		s.active = ""
	}
	s.slots[i] = linkSlot{state: to, name: name, since: now, due: now + delay}
	if to == Dialling {
		s.records[name].dials++
	}
	isUp := slices.ContainsFunc(s.slots[:], func(slot linkSlot) bool { return slot.state == Linked })
	switch {
	case isUp:
		s.unlinkedSince = Never
	case s.unlinkedSince == Never:
		s.unlinkedSince = now
	}
}

// activate moves the subscription to a link that is up.
func (s *LinkSelector) activate(name string) {
	s.active = name
	s.emit(Activate, name)
}

// emit adds an action to those that the present call returns.
func (s *LinkSelector) emit(kind ActionKind, name string) {
	s.actions = append(s.actions, Action{kind, name})
}

// isLinked reports whether the link of a slot is up.
func (s *LinkSelector) isLinked(i int) bool { return s.slots[i].state == Linked }

// areKeptLinked reports whether both kept links are up.
func (s *LinkSelector) areKeptLinked() bool { return s.isLinked(0) && s.isLinked(1) }

// isStable reports whether the link of a slot has been up for TakeoverAfter.
func (s *LinkSelector) isStable(now time.Duration, i int) bool {
	return s.isLinked(i) && now-s.slots[i].since >= s.config.TakeoverAfter
}

// slotOf returns the index of the slot that has a machine in a state; -1: there is none.
func (s *LinkSelector) slotOf(name string, state LinkState) int {
	return slices.IndexFunc(s.slots[:], func(slot linkSlot) bool { return slot.state == state && slot.name == name })
}

// isUsed reports whether a machine is dialled or linked.
func (s *LinkSelector) isUsed(name string) bool {
	return slices.ContainsFunc(s.slots[:], func(slot linkSlot) bool { return slot.state != Vacant && slot.name == name })
}

// reconcile does what is due after any input, and returns all actions of the call.
func (s *LinkSelector) reconcile(now time.Duration) []Action {
	s.promoteLinkedTrial()
	s.electActive()
	s.abandonTrial(now)
	s.reviewLinks(now)
	s.fillVacantSlots(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// promoteLinkedTrial gives the link on trial, if it is up, the place of a kept link that broke. So no machine has to be dialled.
func (s *LinkSelector) promoteLinkedTrial() {
	if !s.isLinked(trialSlot) {
		return
	}
	isVacant := func(slot linkSlot) bool { return slot.state == Vacant }
	if kept := slices.IndexFunc(s.slots[:keptSlots], isVacant); kept >= 0 {
		s.promoteTrial(kept)
	}
}

// electActive makes the most preferred link that is up the active one, if there is no active one. It reports whether it did.
func (s *LinkSelector) electActive() bool {
	if s.active != "" {
		return false
	}
	for _, name := range s.preferences.order {
		if s.slotOf(name, Linked) >= 0 {
			s.activate(name)
			return true
		}
	}
	return false
}

// fillVacantSlots dials a machine for each kept slot that is vacant and due.
func (s *LinkSelector) fillVacantSlots(now time.Duration) {
	for i := range keptSlots {
		if slot := s.slots[i]; slot.state != Vacant || now < slot.due {
			continue
		}
		otherKept := s.slots[1-i].name
		if name := s.chooseForSlot(now, otherKept); name != "" {
			s.emit(Dial, name)
			s.setState(now, i, Dialling, name, 0)
		}
	}
}

// chooseForSlot returns the machine to dial for a vacant slot; "": there is none. otherKept is the machine of the other kept slot;
// "": that slot is vacant.
func (s *LinkSelector) chooseForSlot(now time.Duration, otherKept string) string {
	var candidates []string
	for _, name := range s.preferences.order {
		if !s.isUsed(name) && !s.IsBackingOff(now, name) {
			candidates = append(candidates, name)
		}
	}
	return s.preferences.mostDistant(otherKept, candidates)
}

// NextTick returns when Tick is due if there is no other input before; Never: only another input can change anything.
func (s *LinkSelector) NextTick(now time.Duration) time.Duration {
	next := Never
	addTime := func(t time.Duration) {
		if t > now {
			next = min(next, t)
		}
	}
	for i, slot := range s.slots {
		switch {
		case slot.state == Linked:
			addTime(slot.since + s.config.TakeoverAfter)
		case slot.state == Vacant && i != trialSlot:
			addTime(slot.due)
			for _, record := range s.records {
				addTime(max(slot.due, record.backoffUntil))
			}
		}
	}
	if s.areKeptLinked() {
		addTime(s.noMovesBefore)
		for name, record := range s.records {
			if !s.isUsed(name) {
				addTime(record.noTrialBefore)
			}
		}
	}
	return next
}
