package changefeed

import (
	"fmt"
	"slices"
	"time"
)

// publish has a control machine publish an event with a random key, lifetime and fencing number, and records it.
func (sim *simulation) publish(control *machine) {
	key := fmt.Sprintf("k%d", sim.random.IntN(12))
	if sim.random.IntN(2) == 0 { // a key that is used only once
		key = fmt.Sprintf("only/%d", len(sim.events))
	}
	lifetime, fence := time.Hour, uint64(0)
	if sim.random.IntN(4) == 0 {
		lifetime = time.Duration(1+sim.random.IntN(3000)) * time.Millisecond
	}
	if sim.random.IntN(6) == 0 { // a key of a lease, under its newest fencing number or an earlier one
		key = fmt.Sprintf("fenced/%d", sim.random.IntN(3))
		if control.fences[key] == 0 || sim.random.IntN(2) == 0 {
			sim.fence++
			control.fences[key] = sim.fence
		}
		fence = control.fences[key]
	}
	out, err := control.node.PublishFenced(control.clock(sim.now), key, fence, lifetime, fmt.Append(nil, len(sim.events)))
	if err != nil {
		panic(err)
	}
	id := epochID{control.name, control.epoch}
	published := &publishedEvent{
		index:       len(sim.events),
		payload:     len(sim.events),
		id:          id,
		number:      uint64(len(sim.published[id]) + 1),
		key:         key,
		fence:       fence,
		publishedAt: sim.now,
		lifetime:    lifetime,
	}
	sim.events = append(sim.events, published)
	if control.settled {
		sim.published[id] = append(sim.published[id], published)
	} else {
		control.unsettled = append(control.unsettled, published)
		published.number = uint64(len(control.unsettled))
	}
	sim.recordSuperseded(published)
	sim.holds(control, published, 0)
	sim.send(control, out)
}

// recordSuperseded records which events a newly published one supersedes, and whether it is itself superseded by an event with a
// higher fencing number.
func (sim *simulation) recordSuperseded(published *publishedEvent) {
	originAndKey := [2]string{published.id.origin, published.key}
	if older := sim.newest[originAndKey]; older != nil {
		older.replaced = true
	}
	sim.newest[originAndKey] = published
	if published.fence == 0 {
		return
	}
	for _, other := range sim.fenced[published.key] {
		other.replaced = other.replaced || other.fence < published.fence
		published.replaced = published.replaced || other.fence > published.fence
	}
	sim.fenced[published.key] = append(sim.fenced[published.key], published)
}

// holds records that a control machine stores an event that was in transit for a time.
func (sim *simulation) holds(control *machine, published *publishedEvent, transit time.Duration) {
	control.transit[published] = transit
	published.holders = append(published.holders, holder{slices.Index(sim.controls, control), control.incarnation})
}

// send puts the messages of a control machine on the network, encoded and decoded. One in ten is duplicated.
func (sim *simulation) send(from *machine, list []Message) {
	for _, sent := range list {
		message, err := ParseMessage(AppendMessage(nil, &sent))
		if err != nil {
			panic(err)
		}
		message.To, message.From = sent.To, sent.From
		if message.From != from.name {
			sim.fail("%s sent as %s", from.name, message.From)
		}
		if sim.partition[from.region] != sim.partition[sim.machine(message.To).region] || sim.random.Float64() < sim.loss {
			continue
		}
		sending := delivery{sentAt: sim.now, message: message}
		for _, event := range message.Events {
			transit := time.Duration(0)
			if published := sim.event(epochID{event.Origin, event.Epoch}, event.Number); published != nil {
				transit = from.transit[published]
			}
			sending.transit = append(sending.transit, transit)
		}
		for range 1 + sim.random.IntN(10)/9 {
			sending.arrivesAt = sim.now + time.Duration(sim.random.IntN(200))*time.Millisecond
			sim.inFlight = append(sim.inFlight, sending)
		}
	}
}

// deliver gives a message to a control machine, and checks which events that accepts and skips.
func (sim *simulation) deliver(arrival *delivery, control *machine) {
	before := map[epochID]uint64{}
	for i := range arrival.message.Events {
		event := &arrival.message.Events[i]
		injectGapBug(event)
		id := epochID{event.Origin, event.Epoch}
		before[id] = control.node.position(event.Origin, event.Epoch)
		if event.LostUpTo > before[id] {
			control.lost[id] = max(control.lost[id], event.LostUpTo)
		}
	}
	out, fresh := control.node.Receive(control.clock(sim.now), &arrival.message)
	sim.observeEpoch(control)
	accepted := map[*publishedEvent]bool{}
	for i := range fresh {
		event := &fresh[i]
		published := sim.event(epochID{event.Origin, event.Epoch}, event.Number)
		if published == nil {
			sim.fail("%s accepted %s %d:%d, which was not published", control.name, event.Origin, event.Epoch, event.Number)
			continue
		}
		index := slices.IndexFunc(arrival.message.Events, func(arrived Event) bool {
			return arrived.Origin == event.Origin && arrived.Epoch == event.Epoch && arrived.Number == event.Number
		})
		transit := arrival.transit[index] + sim.now - arrival.sentAt
		if _, duplicate := control.transit[published]; duplicate || accepted[published] {
			sim.fail("%s accepted %v twice", control.name, published)
		}
		accepted[published] = true
		sim.checkAccepted(control.name, published, event, transit)
		sim.holds(control, published, transit)
	}
	for i := range arrival.message.Events {
		id := epochID{arrival.message.Events[i].Origin, arrival.message.Events[i].Epoch}
		for number := before[id] + 1; number <= control.node.position(id.origin, id.epoch); number++ {
			published := sim.event(id, number)
			if published == nil {
				sim.fail("%s is at %v:%d, ahead of what was published", control.name, id, number)
				break
			}
			if !accepted[published] {
				sim.checkSkipped(control.name, published, control.lost[id])
			}
		}
	}
	sim.send(control, out)
}

// follow has a director follow a random control machine, if it can reach that.
func (sim *simulation) follow(follower *director) {
	control := sim.controls[sim.random.IntN(len(sim.controls))]
	if !sim.alive(control) || sim.partition[control.region] != sim.partition[follower.region] {
		return
	}
	vector, err := ParseVector(AppendVector(nil, follower.reader.Vector()))
	if err != nil {
		panic(err)
	}
	follower.leave()
	follower.machine, follower.machineIncarnation, follower.cursor = control, control.incarnation, control.node.Subscribe(vector)
	sim.observeEpoch(control)
	sim.moves++
}

// write sends a director the events that follow its cursor. If they are lost, its link breaks later.
func (sim *simulation) write(i int, follower *director) {
	control := follower.machine
	events := control.node.Next(control.clock(sim.now), follower.cursor, follower.maxBytes)
	if len(events) == 0 {
		return
	}
	if i%sim.codecInterval == 0 {
		var err error
		if events, err = ParseEvents(AppendEvents(nil, events)); err != nil {
			panic(err)
		}
	}
	if sim.loss > 0 && sim.random.Float64() < sim.loss {
		if follower.linkBreaksAt == 0 {
			follower.linkBreaksAt = sim.now + time.Duration(sim.random.IntN(20))*step
		}
		return
	}
	sending := batch{arrivesAt: sim.now + time.Duration(sim.random.IntN(150))*time.Millisecond}
	if last := len(follower.inFlight) - 1; last >= 0 { // a link does not reorder
		sending.arrivesAt = max(sending.arrivesAt, follower.inFlight[last].arrivesAt)
	}
	for _, event := range events {
		transit := sending.arrivesAt - sim.now
		if published := sim.event(epochID{event.Origin, event.Epoch}, event.Number); published != nil {
			transit += control.transit[published]
		}
		sending.events = append(sending.events, carriedEvent{event, transit})
	}
	follower.inFlight = append(follower.inFlight, sending)
}

// read has a director accept the events that have arrived. After a gap it follows a control machine anew.
func (sim *simulation) read(i int, follower *director) {
	for len(follower.inFlight) > 0 && follower.inFlight[0].arrivesAt <= sim.now {
		arrival := follower.inFlight[0]
		follower.inFlight = follower.inFlight[1:]
		for index := range arrival.events {
			if sim.accept(i, follower, &arrival.events[index], sim.now-arrival.arrivesAt) {
				continue
			}
			sim.resumed++
			sim.follow(follower)
			return
		}
	}
}

// accept has a director decide on an event, and checks the verdict. It returns false for a gap.
func (sim *simulation) accept(i int, follower *director, event *carriedEvent, delay time.Duration) bool {
	who, id := fmt.Sprintf("d%d", i), epochID{event.Origin, event.Epoch}
	position, _ := follower.reader.ledger.position(event.Origin, event.Epoch)
	injectGapBug(&event.Event)
	verdict := follower.reader.Accept(&event.Event)
	switch verdict {
	case Gap:
		return false
	case Invalid, OldEpoch:
		sim.fail("%s was sent an event that is %v: %v", who, verdict, event.Event)
	case Accepted, Expired, Superseded:
		if event.LostUpTo > position {
			follower.lost[id] = max(follower.lost[id], event.LostUpTo)
		}
		lastSkipped := event.Number
		if verdict == Accepted {
			lastSkipped--
		}
		for number := position + 1; number <= lastSkipped; number++ {
			if published := sim.event(id, number); published != nil {
				sim.checkSkipped(who, published, follower.lost[id])
			}
		}
	}
	if verdict == Superseded {
		sim.superseded++
		if follower.fences[event.Key] <= event.Fence {
			sim.fail("%s skipped %v:%d under %d, though it accepted none higher than %d of %s",
				who, id, event.Number, event.Fence, follower.fences[event.Key], event.Key)
		}
	}
	if verdict == Accepted {
		sim.checkDirectorAccepted(who, follower, event, delay)
	}
	return true
}

// checkDirectorAccepted checks an event that a director accepted, and records that.
func (sim *simulation) checkDirectorAccepted(who string, follower *director, event *carriedEvent, delay time.Duration) {
	id := epochID{event.Origin, event.Epoch}
	if event.Fence < follower.fences[event.Key] {
		sim.fail("%s accepted %v:%d under %d after %d of %s", who, id, event.Number, event.Fence, follower.fences[event.Key], event.Key)
	}
	follower.fences[event.Key] = event.Fence
	published := sim.event(id, event.Number)
	if published == nil {
		sim.fail("%s accepted %v:%d, which was not published", who, id, event.Number)
		return
	}
	if follower.accepted[published.index] || follower.last[id] >= event.Number {
		sim.fail("%s accepted %v:%d after %d, twice or out of order", who, id, event.Number, follower.last[id])
	}
	follower.accepted[published.index], follower.last[id] = true, event.Number
	sim.checkAccepted(who, published, &event.Event, event.transit+delay)
}
