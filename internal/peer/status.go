package peer

// The status of a bus, which the command line prints.

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Counts counts what a bus has rejected and closed since its start. The JSON keys must not change.
type Counts struct {
	Unlisted          int `json:"unlisted"`  // hellos under a name that the operator file does not list
	OldIncarnation    int `json:"old_life"`  // hellos and messages from or to an earlier incarnation of an instance
	Unreadable        int `json:"nonsense"`  // frames that are invalid or unexpected, or hellos of another version
	UnknownTopic      int `json:"strange"`   // messages with a topic that has no handler
	Displaced         int `json:"put_out"`   // connections closed for newer ones, as there were too many
	DuplicateInstance int `json:"two_of_me"` // times that a peer knew a higher incarnation of this instance
}

// Status is the status of a bus. The JSON keys must not change.
type Status struct {
	Name        string            `json:"name"`
	Incarnation uint64            `json:"incarnation"`
	Links       []LinkStatus      `json:"links"` // by name
	Counts      Counts            `json:"refused"`
	PongBytes   int64             `json:"pong_bytes"` // bytes of pongs written to peers; LinkStatus.Bytes does not count them
	Subscribers SubscribersStatus `json:"subscribers"`
}

// LinkStatus is the status of a link to a peer. It counts from when the peer was listed at this address. The JSON keys and the
// states must not change.
type LinkStatus struct {
	Name         string  `json:"name"`
	Addr         string  `json:"addr"`
	State        string  `json:"state"` // waiting, dialling, up or refused
	Inbound      int     `json:"in"`    // connections that the peer dialled
	Queued       int     `json:"queued"`
	Sent         int     `json:"sent"`    // messages
	WrittenBytes int64   `json:"bytes"`   // written: messages and pings, with their frames
	Dropped      int     `json:"dropped"` // messages
	Dials        int     `json:"dials"`
	RTT          float64 `json:"rtt_ms"` // of the last ping; 0: not known
}

// Status returns the present status.
func (b *Bus) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	status := Status{
		Name:        b.options.Name,
		Incarnation: b.Incarnation(),
		Counts:      b.counts,
		Links:       []LinkStatus{},
		PongBytes:   b.pongBytes.Load(),
		Subscribers: b.subscribers.status(),
	}
	for _, peerLink := range b.links {
		status.Links = append(status.Links, peerLink.status(len(b.inboundByName[peerLink.name])))
	}
	slices.SortFunc(status.Links, func(l, m LinkStatus) int { return cmp.Compare(l.Name, m.Name) })
	return status
}

// count changes the counts under the lock.
func (b *Bus) count(change func(c *Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.counts)
}

// countUnreadable counts an error of readFrame if the frame was invalid. It does not count errors of the connection.
func (b *Bus) countUnreadable(err error) {
	if errors.Is(err, errInvalidFrame) {
		b.count(func(c *Counts) { c.Unreadable++ })
	}
}

// milliseconds returns a duration in milliseconds, cut to whole microseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
