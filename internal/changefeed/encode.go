package changefeed

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// Errors of the Parse functions, in addition to those of package msgpack.
var (
	ErrOrder      = errors.New("positions out of order")
	ErrListLength = errors.New("a list of another length than expected")
	ErrKind       = errors.New("a message of an unknown kind")
)

// Numbers of values in the lists that encode the types.
const (
	positionFields = 3
	eventFields    = 10
	messageFields  = 3
)

// maxMicros is the longest duration that is read, in microseconds. Longer durations are shortened to it.
const maxMicros = uint64(MaxLifetime / time.Microsecond)

// lifetimeMicros returns a lifetime in whole microseconds, rounded down; 0 for a negative one. As ages are rounded up, no event
// lasts longer by being forwarded.
func lifetimeMicros(lifetime time.Duration) uint64 {
	return uint64(max(0, lifetime) / time.Microsecond)
}

// ageMicros returns an age in whole microseconds, rounded up; 0 for a negative one.
func ageMicros(age time.Duration) uint64 {
	return uint64((max(0, age) + time.Microsecond - 1) / time.Microsecond)
}

// AppendVector appends encoded positions.
func AppendVector(b []byte, vector Vector) []byte {
	b = msgpack.AppendList(b, len(vector))
	for _, position := range vector {
		b = msgpack.AppendList(b, positionFields)
		b = msgpack.AppendText(b, position.Origin)
		b = msgpack.AppendUint(b, position.Epoch)
		b = msgpack.AppendUint(b, position.Number)
	}
	return b
}

// ParseVector reads encoded positions. It returns an error if there are more than MaxPositions, or if they are out of order
// (ErrOrder).
func ParseVector(raw []byte) (Vector, error) {
	values := newValueReader(raw)
	vector := values.vector()
	if err := cmp.Or(values.end(), checkOrder(vector)); err != nil {
		return nil, fmt.Errorf("changefeed: parse positions: %w", err)
	}
	return vector, nil
}

// checkOrder returns ErrOrder if positions are out of order or listed twice.
func checkOrder(vector Vector) error {
	for i := 1; i < len(vector); i++ {
		if comparePositions(vector[i-1], vector[i]) >= 0 {
			return ErrOrder
		}
	}
	return nil
}

// AppendEvents appends encoded events. There must be at most MaxEvents.
func AppendEvents(b []byte, events []Event) []byte {
	b = msgpack.AppendList(b, len(events))
	for i := range events {
		b = appendEvent(b, &events[i])
	}
	return b
}

func appendEvent(b []byte, event *Event) []byte {
	b = msgpack.AppendList(b, eventFields)
	b = msgpack.AppendText(b, event.Origin)
	b = msgpack.AppendUint(b, event.Epoch)
	b = msgpack.AppendUint(b, event.Number)
	b = msgpack.AppendUint(b, event.Prev)
	b = msgpack.AppendUint(b, event.LostUpTo)
	b = msgpack.AppendUint(b, event.Fence)
	b = msgpack.AppendText(b, event.Key)
	b = msgpack.AppendUint(b, lifetimeMicros(event.Lifetime))
	b = msgpack.AppendUint(b, ageMicros(event.Age))
	return msgpack.AppendBytes(b, event.Payload)
}

// ParseEvents reads encoded events. It returns an error if there are more than MaxEvents, or if a field is longer than its bound.
func ParseEvents(raw []byte) ([]Event, error) {
	values := newValueReader(raw)
	events := values.events()
	if err := values.end(); err != nil {
		return nil, fmt.Errorf("changefeed: parse events: %w", err)
	}
	return events, nil
}

// AppendMessage appends an encoded message. From and To are not encoded: the transport knows them.
func AppendMessage(b []byte, message *Message) []byte {
	b = msgpack.AppendList(b, messageFields)
	b = msgpack.AppendUint(b, uint64(message.Kind))
	b = AppendVector(b, message.Vector)
	return AppendEvents(b, message.Events)
}

// ParseMessage reads an encoded message, without From and To. It returns an error if the kind is unknown (ErrKind), if positions are
// out of order (ErrOrder), or if a list or a field is longer than its bound.
func ParseMessage(raw []byte) (Message, error) {
	values := newValueReader(raw)
	values.list(messageFields)
	kind := values.Uint()
	vector := values.vector()
	events := values.events()
	err := cmp.Or(values.end(), checkOrder(vector))
	if err == nil && kind > uint64(Events) {
		err = ErrKind
	}
	if err != nil {
		return Message{}, fmt.Errorf("changefeed: parse message: %w", err)
	}
	return Message{Kind: Kind(kind), Vector: vector, Events: events}, nil
}

// valueReader reads values one after the other, and lists of a fixed length. It remembers the first error.
type valueReader struct {
	*msgpack.Values
	shapeError error
}

func newValueReader(raw []byte) *valueReader { return &valueReader{Values: msgpack.NewValues(raw)} }

// list reads the head of a list, which must have a given length.
func (v *valueReader) list(length int) {
	if v.List(length) != length && v.shapeError == nil {
		v.shapeError = ErrListLength
	}
}

// end returns the first error, or an error if more bytes follow.
func (v *valueReader) end() error { return cmp.Or(v.End(), v.shapeError) }

// vector reads up to MaxPositions positions.
func (v *valueReader) vector() (vector Vector) {
	for range v.List(MaxPositions) {
		if v.Err() != nil {
			break
		}
		v.list(positionFields)
		vector = append(vector, Position{Origin: v.Text(MaxNameBytes), Epoch: v.Uint(), Number: v.Uint()})
	}
	return vector
}

// events reads up to MaxEvents events.
func (v *valueReader) events() (events []Event) {
	for range v.List(MaxEvents) {
		if v.Err() != nil {
			break
		}
		v.list(eventFields)
		events = append(events, Event{
			Origin:   v.Text(MaxNameBytes),
			Epoch:    v.Uint(),
			Number:   v.Uint(),
			Prev:     v.Uint(),
			LostUpTo: v.Uint(),
			Fence:    v.Uint(),
			Key:      v.Text(MaxKeyBytes),
			Lifetime: v.duration(),
			Age:      v.duration(),
			Payload:  v.Bytes(MaxPayloadBytes),
		})
	}
	return events
}

// duration reads a duration in microseconds, and shortens it to MaxLifetime.
func (v *valueReader) duration() time.Duration {
	return time.Duration(min(v.Uint(), maxMicros)) * time.Microsecond
}
