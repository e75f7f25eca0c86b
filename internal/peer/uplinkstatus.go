package peer

// The status of a director's links to control machines.

import (
	"time"

	"indigochute.example/indigochute/internal/changefeed"
)

// UplinkLink is the status of the link to one control machine. The JSON keys and the states must not change.
type UplinkLink struct {
	Name  string  `json:"name"`
	State string  `json:"state"` // idle, passed over, dialling, up or active; see stateName
	Dials int     `json:"dials"`
	RTT   float64 `json:"rtt_ms"` // of the last ping; 0: not known
}

// UplinkStatus is the status of all uplinks. It counts from the start. The JSON keys must not change.
type UplinkStatus struct {
	Active            string                    `json:"active"` // name of the control machine; empty: none
	Up                int                       `json:"up"`
	Links             []UplinkLink              `json:"links"`      // one for each control machine, the most preferred first
	UnlinkedFor       time.Duration             `json:"without_ns"` // for how long no link has been up; 0: one is up
	ReceivedBytes     int64                     `json:"received"`   // bytes, with the frames and without TCP headers
	WrittenBytes      int64                     `json:"written"`    // bytes, as Received
	Delivered         int64                     `json:"heard"`      // messages passed to the handler
	Passive           int64                     `json:"passive"`    // messages that came on a standby link and were discarded
	SubscriptionsSent int64                     `json:"greeted"`
	Oversize          int64                     `json:"oversize"` // subscription messages that were too long and not sent
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
