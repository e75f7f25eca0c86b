package simadapter

import (
	"time"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/routing"
)

// instance is one director in the simulator. It implements routing.Executor.
type instance struct {
	id       uint16
	reply    *reply
	started  uint64 // simulator's clock at its start, in microseconds
	director *routing.Director
}

// elapsed converts a time of the simulator's clock, in microseconds, to the time since the instance's start. It is negative for a time
// before the start.
func (i *instance) elapsed(clock uint64) time.Duration {
	return time.Duration(int64(clock-i.started)) * time.Microsecond
}

// batch applies the event records of one frame, in order. Events for an instance that does not exist, for example because it crashed,
// are decoded and dropped.
type batch struct {
	decoder
	clock      uint64 // simulator's clock, in microseconds
	instances  map[uint16]*instance
	reply      *reply
	addressed  bool      // an at record has named an instance
	instanceID uint16    // id in the last at record
	current    *instance // instance with that id; nil: it does not exist
}

// apply applies all records. It returns a *MalformedError for the first record that cannot be decoded.
func (b *batch) apply() error {
	for b.more() {
		b.event()
	}
	if b.err != nil {
		return b.err
	}
	return nil
}

// event decodes one record and passes it to the current instance.
func (b *batch) event() {
	b.recordStart = b.offset
	b.part = "code"
	code := eventCode(b.uint8())
	if int(code) >= len(eventNames) {
		b.fail(b.recordStart, nil, "unknown code %d", code)
		return
	}
	if !b.addressed && code != eventAt {
		b.fail(b.recordStart, nil, "record %d before any at", code)
		return
	}
	b.part = eventNames[code]
	switch code {
	case eventAt:
		b.selectInstance()
	case eventCreate:
		b.create()
	case eventCrashNow:
		b.crash()
	case eventAnnounce:
		b.announce()
	case eventIncoming:
		b.incoming()
	case eventFinished:
		b.finished()
	case eventVanished:
		b.vanished()
	case eventWakeup:
		b.wakeup()
	case eventProbeDone:
		b.probeDone()
	case eventOutdated:
		b.outdated()
	case eventOpened:
		b.skipOpened()
	case eventPeer:
		b.skipPeer()
	}
}

// deliverable reports whether the record could be decoded and its instance exists.
func (b *batch) deliverable() bool { return b.err == nil && b.current != nil }

// now returns the frame's time since the start of the current instance.
func (b *batch) now() time.Duration { return b.current.elapsed(b.clock) }

// selectInstance sets the instance that the next records are for.
func (b *batch) selectInstance() {
	b.instanceID = b.uint16()
	b.addressed = true
	b.current = b.instances[b.instanceID]
}

// create starts the instance with a seed and with settings as text. It replaces a running instance with the same id.
func (b *batch) create() {
	seed := b.uint64()
	text := b.byteString()
	if b.err != nil {
		return
	}
	settings, err := config.ParseText(string(text))
	if err != nil {
		b.fail(b.recordStart, err, "create")
		return
	}
	settings.Seed = seed
	started := &instance{id: b.instanceID, reply: b.reply, started: b.clock}
	started.director = routing.New(settings, started)
	b.instances[b.instanceID] = started
	b.current = started
}

// crash removes the instance. Its director gets no event.
func (b *batch) crash() {
	delete(b.instances, b.instanceID)
	b.current = nil
}

// announce passes on an update of the endpoint list.
func (b *batch) announce() {
	scope := b.uint8()
	b.skip(4)
	count := b.count(b.uint32(), endpointBytes)
	endpoints := make([]routing.Endpoint, 0, count)
	for range count {
		endpoints = append(endpoints, b.endpoint())
	}
	if scope > maxScope {
		b.fail(b.recordStart, nil, "announce of unknown scope %d", scope)
	}
	if b.deliverable() && scope != scopeIgnored {
		b.current.director.UpdateEndpoints(b.now(), endpoints, scope != scopeChanges)
	}
}

// endpoint decodes one endpoint of an announcement. The protocol numbers the states as package routing does: gone, ready, draining.
func (b *batch) endpoint() (endpoint routing.Endpoint) {
	endpoint.State = routing.State(b.uint8())
	endpoint.Capacity = b.float32()
	endpoint.Node = b.uint32()
	started := b.uint64()
	endpoint.Kind = int(b.uint8())
	endpoint.Zone = int(b.uint16())
	endpoint.Cell = int(b.uint16())
	if endpoint.State > routing.Draining {
		b.fail(b.offset, nil, "entry of unknown state %d", endpoint.State)
	}
	if b.current != nil && started != 0 {
		endpoint.StartKnown = true
		endpoint.StartedAt = b.current.elapsed(started)
	}
	return endpoint
}

// incoming passes on a client's request.
func (b *batch) incoming() {
	var request routing.Request
	request.ID = b.uint32()
	b.skip(4)
	request.Segment = uint32(b.float32())
	request.Group = uint32(b.float32())
	b.skip(1)
	request.Class = int(b.uint16())
	request.SizeKB = b.float32()
	request.Object = b.uint64()
	deadline := b.uint64()
	if !b.deliverable() {
		return
	}
	if request.Class >= b.current.director.ClassCount() {
		b.fail(b.recordStart, nil, "incoming of unknown class %d", request.Class)
		return
	}
	request.Deadline = b.current.elapsed(deadline)
	b.current.director.HandleRequest(b.now(), request)
}

// finished passes on the outcome of an attempt. It skips the endpoint, which the number of the attempt determines, and the load report,
// which no decision uses.
func (b *batch) finished() {
	var outcome routing.Outcome
	requestID := b.uint32()
	outcome.Result = resultOf(b.uint16())
	outcome.Duration = fromMicroseconds(b.uint32())
	outcome.Final = b.uint8() != 0
	b.skip(4)
	outcome.Attempt = int(b.uint8())
	outcome.SourceWait = fromMicroseconds(b.uint32())
	outcome.Fill = fillOf(b.uint32())
	b.skipLoadReport()
	if outcome.Result == unknownResult {
		b.fail(b.recordStart, nil, "finished with unknown ending")
	}
	if b.deliverable() {
		b.current.director.HandleOutcome(b.now(), requestID, outcome)
	}
}

// vanished passes on that the client of a request has gone.
func (b *batch) vanished() {
	requestID := b.uint32()
	if b.deliverable() {
		b.current.director.HandleClientGone(b.now(), requestID)
	}
}

// wakeup passes on that a timer is due.
func (b *batch) wakeup() {
	token := b.uint32()
	if b.deliverable() {
		b.current.director.HandleTimer(b.now(), token)
	}
}

// probeDone passes on the outcome of a health check.
func (b *batch) probeDone() {
	result := resultOf(b.uint16())
	b.skip(4)
	endpointID := b.uint32()
	b.skipLoadReport()
	if b.deliverable() {
		b.current.director.HandleHealthCheck(b.now(), endpointID, result)
	}
}

// outdated passes on a purge of an object or, where the object is 0, of a group, with its age.
func (b *batch) outdated() {
	group := b.uint16()
	age := b.uint32()
	object := b.uint64()
	if b.deliverable() {
		b.current.director.HandlePurge(b.now(), uint32(group), object, fromMicroseconds(age))
	}
}

// skipOpened reads past the start of a streamed response, which no decision uses.
func (b *batch) skipOpened() {
	const openedBytes = 13
	b.skip(openedBytes)
}

// skipPeer reads past a message between instances. Instances in the simulator send none.
func (b *batch) skipPeer() {
	const peerIDBytes = 2
	b.skip(peerIDBytes)
	b.skip(b.count(uint32(b.uint16()), 1))
}
