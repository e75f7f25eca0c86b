package cluster

// The messages of a control machine to its subscribers, which are directors.

import (
	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

// maxEventBatchBytes limits the total size of the events in one frame to a director. A single event may be larger.
const maxEventBatchBytes = 16 << 10

// subscription is the state of a director that has subscribed. It has no queue of messages, but records what was last sent.
type subscription struct {
	cursor     *changefeed.Cursor // position after the events sent so far
	leaderSent bool               // hasLeader has been sent
	hasLeader  bool               // whether there was a leader, as last sent
}

// Next returns the next message to a director: first whether there is a leader, if that has changed, then events. It returns no
// message for a director that has not subscribed, as over a standby link. It implements peer.Publisher.
func (m *Member) Next(s *peer.Subscriber) (topic string, payload []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, _ := s.State.(*subscription)
	if state == nil {
		return "", nil
	}
	now := m.now()
	hasLeader := m.lease.HasLeader(now)
	if !state.leaderSent || state.hasLeader != hasLeader {
		state.leaderSent, state.hasLeader = true, hasLeader
		return topicLeader, msgpack.AppendBool(nil, hasLeader)
	}
	events := m.feed.Next(now, state.cursor, maxEventBatchBytes)
	if len(events) == 0 {
		return "", nil
	}
	return topicEvents, changefeed.AppendEvents(nil, events)
}

// Receive handles the subscription of a director, whose payload is the vector of the events that the director has. It ignores other
// topics, and logs and drops a vector that cannot be decoded. It implements peer.Publisher.
func (m *Member) Receive(s *peer.Subscriber, topic string, payload []byte) {
	if topic != topicSubscribe {
		return
	}
	vector, err := changefeed.ParseVector(payload)
	if err != nil {
		m.decodeErrorLog.warn(m.log.WithError(err).WithField("director", s.Name), "cannot decode subscription")
		return
	}
	m.mu.Lock()
	s.State = &subscription{cursor: m.feed.Subscribe(vector)}
	m.mu.Unlock()
	s.Wake()
}

// Disconnected does nothing: the state of a director is discarded with its peer.Subscriber. It implements peer.Publisher.
func (m *Member) Disconnected(*peer.Subscriber) {}
