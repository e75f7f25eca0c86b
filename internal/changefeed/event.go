package changefeed

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of events, vectors and messages.
const (
	MaxPayloadBytes = 64 << 10                  // payload of an event
	MaxKeyBytes     = 128                       // key of an event
	MaxNameBytes    = 64                        // name of an origin
	MaxOrigins      = 32                        // origins of an installation
	MaxLifetime     = 1000 * time.Hour          // from publication to expiry of an event
	MaxPositions    = MaxOrigins * readerEpochs // positions in a vector
	MaxEvents       = 4096                      // events in a message
)

const (
	// logEpochs is the maximum number of epochs of one origin for which a node keeps logs.
	logEpochs = 16
	// readerEpochs is the maximum number of epochs of one origin for which a reader keeps its position. It is above logEpochs, so
	// that a reader has a position for every log that a node may still send.
	readerEpochs = 64
)

// Position is a reading position: all events of one origin and epoch up to Number have been read.
type Position struct {
	Origin string `json:"origin"`
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// epochID identifies one epoch of one origin.
type epochID struct {
	origin string
	epoch  uint64
}

// epochIDOf returns the epoch of a position.
func epochIDOf(position Position) epochID { return epochID{position.Origin, position.Epoch} }

// Vector is a list of at most MaxPositions positions, sorted by origin and then by epoch.
type Vector []Position

// comparePositions orders positions by origin, then by epoch. It ignores their numbers.
func comparePositions(a, b Position) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Epoch, b.Epoch))
}

// At returns the number reached within one epoch of an origin, or 0 if the vector has no position for that epoch.
func (vector Vector) At(origin string, epoch uint64) uint64 {
	if i, found := slices.BinarySearchFunc(vector, Position{origin, epoch, 0}, comparePositions); found {
		return vector[i].Number
	}
	return 0
}

// Event is an event that an origin published. An event whose Age has reached its Lifetime carries only its number: it reports that
// all events in (Prev, Number] were superseded or have expired.
type Event struct {
	Origin   string
	Epoch    uint64
	Number   uint64 // 1, 2, ... within the epoch
	Prev     uint64 // all events in (Prev, Number) were superseded or have expired at the sender
	LostUpTo uint64 // events up to this number, in (Prev, Number], were evicted and are lost; 0 if none are lost
	Key      string // a newer event of the same origin and key supersedes this one
	// Fence is the fencing number. An event of any origin with the same key and a higher fencing number supersedes this event.
	// An event with fencing number 0 is not fenced.
	Fence    uint64
	Lifetime time.Duration // from publication to expiry
	Age      time.Duration // time that the event has spent at the machines that stored it, without time in transit
	Payload  []byte
}

// isExpired reports whether an event has reached the end of its lifetime on arrival.
func (e *Event) isExpired() bool { return e.Age >= e.Lifetime }

// isValid reports whether the fields of an event are within their bounds, so that an origin can have published it.
func (e *Event) isValid() bool {
	validNumbers := e.Epoch > 0 && e.Prev < e.Number
	validLoss := e.LostUpTo == 0 || e.Prev < e.LostUpTo && e.LostUpTo <= e.Number
	validSize := len(e.Key) <= MaxKeyBytes && len(e.Payload) <= MaxPayloadBytes
	validLifetime := e.Age >= 0 && e.Lifetime >= 0 && e.Lifetime <= MaxLifetime
	return validNumbers && validLoss && validSize && validLifetime
}

// eventOverheadBytes is the maximum size of an encoded event, not counting the contents of its origin, key and payload.
const eventOverheadBytes = 1 + // header of the list
	2 + // header of the origin
	5*9 + // epoch, number, prev, lost and fence
	2 + // header of the key
	2*9 + // lifetime and age
	5 // header of the payload

// size returns the number of bytes that an event counts towards a limit. It is never less than the size of the encoded event.
func (e *Event) size() int { return len(e.Origin) + len(e.Key) + len(e.Payload) + eventOverheadBytes }

// Kind is the kind of a message. The values are sent on the wire.
type Kind uint8

const (
	// Positions reports the positions of the sender.
	Positions Kind = iota
	// Fetch requests the events that follow the positions in the vector.
	Fetch
	// Events carries events. If it has a vector, it is the last message of the answer to a Fetch, and the vector has the heads of
	// the sender's logs.
	Events
)

// Message is a message from one control machine to another.
type Message struct {
	Kind     Kind
	From, To string
	Vector   Vector
	Events   []Event
}
