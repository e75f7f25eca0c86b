package peer

// The status of a bus, as printed by the command line.

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Counts counts hellos, messages and frames that a bus has rejected, and connections that it has closed, since its start. The JSON keys
// must not change.
type Counts struct {
	Unlisted          int `json:"unlisted"`  // hellos with a name that the operator file does not list
	OldIncarnation    int `json:"old_life"`  // hellos and messages from or to an earlier incarnation of an instance
	Unreadable        int `json:"nonsense"`  // frames that are invalid or unexpected, or hellos of another version
	UnknownTopic      int `json:"strange"`   // messages with a topic that has no handler
	Displaced         int `json:"put_out"`   // connections closed in favour of newer ones, because there were too many
	DuplicateInstance int `json:"two_of_me"` // times that a peer reported a higher incarnation of this instance
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

// LinkStatus is the status of a link to a peer. The counters start when the peer is listed with this address. The JSON keys and the
// states must not change.
type LinkStatus struct {
	Name         string  `json:"name"`
	Addr         string  `json:"addr"`
	State        string  `json:"state"` // waiting, dialling, up or refused
	Inbound      int     `json:"in"`    // connections that the peer dialled
	Queued       int     `json:"queued"`
	Sent         int     `json:"sent"`    // messages
	WrittenBytes int64   `json:"bytes"`   // bytes written: messages and pings, including frame headers
	Dropped      int     `json:"dropped"` // messages
	Dials        int     `json:"dials"`
	RTT          float64 `json:"rtt_ms"` // round trip time of the last ping; 0 if not known
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

// count applies a change to the counts under the lock.
func (b *Bus) count(change func(c *Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.counts)
}

// countUnreadable counts an error of readFrame if it was caused by an invalid frame. It does not count errors of the connection.
func (b *Bus) countUnreadable(err error) {
	if errors.Is(err, errInvalidFrame) {
		b.count(func(c *Counts) { c.Unreadable++ })
	}
}

// milliseconds returns a duration in milliseconds, truncated to whole microseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
