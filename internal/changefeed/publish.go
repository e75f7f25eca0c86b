package changefeed

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors that the errors of Publish wrap.
var (
	ErrKey      = errors.New("changefeed: invalid key")
	ErrPayload  = errors.New("changefeed: invalid payload")
	ErrLifetime = errors.New("changefeed: invalid lifetime")
)

// Publish adds an event of this node, which expires when its lifetime has passed after now. It returns the messages that carry the
// event to all other control machines, which differ only in To. It copies the payload. It returns an error that wraps ErrKey,
// ErrPayload or ErrLifetime if an argument is out of bounds.
func (n *Node) Publish(now time.Duration, key string, lifetime time.Duration, payload []byte) ([]Message, error) {
	return n.PublishFenced(now, key, 0, lifetime, payload)
}

// PublishFenced is like Publish, for an event with a fencing number. An event of any origin with the same key and a higher fencing
// number supersedes it.
func (n *Node) PublishFenced(now time.Duration, key string, fence uint64, lifetime time.Duration, payload []byte) ([]Message, error) {
	if err := checkPublication(key, lifetime, payload); err != nil {
		return nil, err
	}
	n.clock = now
	n.store.expire(now)
	n.appendOwn(now, Event{Key: key, Fence: fence, Lifetime: lifetime, Payload: slices.Clone(payload)})
	n.counts.Published++
	if !n.Settled() { // the others fetch the event after the node has settled and reported its positions
		return nil, nil
	}
	return n.toOthers(Message{Kind: Events, Events: []Event{n.newestOwn(now)}}), nil
}

// checkPublication returns an error if an event with these fields is out of bounds.
func checkPublication(key string, lifetime time.Duration, payload []byte) error {
	switch {
	case key == "" || len(key) > MaxKeyBytes:
		return fmt.Errorf("%w: length is %d bytes, must be 1 to %d", ErrKey, len(key), MaxKeyBytes)
	case len(payload) > MaxPayloadBytes:
		return fmt.Errorf("%w: length is %d bytes, must be at most %d", ErrPayload, len(payload), MaxPayloadBytes)
	case lifetime < time.Microsecond || lifetime > MaxLifetime:
		return fmt.Errorf("%w: %v, must be 1µs to %v", ErrLifetime, lifetime, MaxLifetime)
	}
	return nil
}

// appendOwn adds an event to the log of this node under the next number.
func (n *Node) appendOwn(now time.Duration, event Event) {
	own := n.store.own
	own.head++
	event.Number = own.head
	n.store.add(now, own, &event)
}

// newestOwn returns the last event of this node as it is sent to the others. Its Prev is the number of the entry before it, or the
// floor of the log if that is higher. Events after Prev were superseded or have expired, so that others may accept the event without
// them. Events up to the floor were evicted at this node. They are not reported as lost, because other nodes may still have them, and
// a node that lacks them must fetch them there.
func (n *Node) newestOwn(now time.Duration) Event {
	own := n.store.own
	last := len(own.entries) - 1
	prev := own.floor
	if last > 0 {
		prev = max(prev, own.entries[last-1].number)
	}
	return own.event(now, own.entries[last], prev)
}
