package peer

// The status of a director's links to control machines.

import (
	"time"

	"indigochute.example/indigochute/internal/changefeed"
)

// UplinkLink is the status of the link to one control machine. The JSON keys and the states must not change.
type UplinkLink struct {
	Name  string  `json:"name"`
	State string  `json:"state"` // state as returned by stateName
	Dials int     `json:"dials"`
	RTT   float64 `json:"rtt_ms"` // round trip time of the last ping; 0 if not known
}

// UplinkStatus is the status of all uplinks. The counters are totals since the start. The JSON keys must not change.
type UplinkStatus struct {
	Active            string                    `json:"active"` // name of the active link's control machine; empty if there is none
	Up                int                       `json:"up"`
	Links             []UplinkLink              `json:"links"`      // one for each control machine, the most preferred first
	UnlinkedFor       time.Duration             `json:"without_ns"` // how long no link has been up; 0 while one is up
	ReceivedBytes     int64                     `json:"received"`   // bytes received, including frame headers, without TCP headers
	WrittenBytes      int64                     `json:"written"`    // bytes written, counted like Received
	Delivered         int64                     `json:"heard"`      // messages passed to the handler
	Passive           int64                     `json:"passive"`    // messages that arrived on a standby link and were discarded
	SubscriptionsSent int64                     `json:"greeted"`
	Oversize          int64                     `json:"oversize"` // subscription messages that were not sent because they were too long
	Choice            changefeed.SelectorCounts `json:"choice"`
}

// Status returns the present status of the links.
func (u *Uplinks) Status() UplinkStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.sinceStart()
	status := UplinkStatus{
		Active:            u.selector.Active(),
		Links:             []UplinkLink{},
		UnlinkedFor:       u.selector.UnlinkedFor(now),
		ReceivedBytes:     u.counters.receivedBytes.Load(),
		WrittenBytes:      u.counters.writtenBytes.Load(),
		Delivered:         u.counters.delivered.Load(),
		Passive:           u.counters.passive.Load(),
		SubscriptionsSent: u.counters.subscriptionsSent.Load(),
		Oversize:          u.counters.oversize.Load(),
		Choice:            u.selector.Counts(),
	}
	states := u.selector.Links()
	for _, name := range u.selector.Names() {
		if states[name] == changefeed.Linked {
			status.Up++
		}
		link := UplinkLink{Name: name, State: u.stateName(now, name, states[name]), Dials: u.selector.Dials(name)}
		if l := u.links[name]; l != nil {
			link.RTT = milliseconds(time.Duration(l.roundTrip.Load()))
		}
		status.Links = append(status.Links, link)
	}
	return status
}

// stateName returns the state of the link to a control machine as Status shows it: active, up, dialling, passed over (the selector
// backs off after failed dials) or idle. Called under the lock.
func (u *Uplinks) stateName(now time.Duration, name string, state changefeed.LinkState) string {
	switch {
	case state == changefeed.Linked && name == u.selector.Active():
		return "active"
	case state == changefeed.Linked:
		return "up"
	case state == changefeed.Dialling:
		return "dialling"
	case u.selector.IsBackingOff(now, name):
		return "passed over"
	}
	return "idle"
}
