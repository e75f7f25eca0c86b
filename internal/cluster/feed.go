package cluster

// A control machine's part in the change feed: it publishes events, exchanges them with the other control machines and compares
// its list of control machines with theirs.

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

const (
	listsInterval  = time.Second // interval of the broadcasts of the digest of the list of control machines
	maxDigestBytes = 64          // maximum size of a received digest; one of File.MembershipHash has 16 bytes
)

// startFeed creates the change feed of a control machine. It sets the options of the bus for the messages of other control machines
// and the subscriptions of directors, so it must be called before the bus is opened. It returns an error if the configuration is
// invalid.
func (m *Member) startFeed(options *peer.Options) error {
	config := changefeed.Config{
		Name:        m.name,
		Origins:     m.file.ControlNames(),
		Epoch:       m.startUnixMilli,
		LearnPeriod: changefeed.DefaultLearnPeriod,
	}
	if err := config.Check(); err != nil {
		return err
	}
	m.feed = changefeed.New(config)
	options.Handlers[topicFeed] = m.handleFeed
	options.Handlers[topicLists] = m.handleLists
	options.Subscribers = m.file.DirectorNames()
	options.Publisher = m
	options.SubscriberRate = int(m.file.Uplink.Rate)
	options.AcceptRate = acceptRate
	return nil
}

// publish publishes an event to all directors, which expires after its lifetime. If several instances publish events under the same
// key, the event with the highest fencing token counts as the newest. This guards against an instance that still publishes after
// another one has taken over its lease.
func (m *Member) publish(key string, fence uint64, lifetime time.Duration, payload []byte) error {
	m.mu.Lock()
	messages, err := m.feed.PublishFenced(m.now(), key, fence, lifetime, payload)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.sendFeed(messages)
	m.bus.WakeSubscribers()
	return nil
}

// sendFeed sends messages of the feed to other control machines.
func (m *Member) sendFeed(messages []changefeed.Message) {
	for i := range messages {
		m.bus.Send(messages[i].To, topicFeed, changefeed.AppendMessage(nil, &messages[i]))
	}
}

// handleFeed handles a message of the feed from another control machine. It logs and drops one that cannot be decoded.
func (m *Member) handleFeed(from peer.Sender, payload []byte) {
	message, err := changefeed.ParseMessage(payload)
	if err != nil {
		m.decodeErrorLog.warn(m.log.WithError(err).WithField("peer", from.Name), "cannot decode change feed message")
		return
	}
	message.From, message.To = from.Name, m.name
	m.mu.Lock()
	now := m.now()
	replies, events := m.feed.Receive(now, &message)
	m.mu.Unlock()
	m.sendFeed(replies)
	if len(events) > 0 {
		m.bus.WakeSubscribers()
	}
	for i := range events {
		m.health.applyEvent(now, &events[i])
	}
}

// applyEvent applies the health report in a newly accepted event. It ignores events of other kinds, and reports that cannot be
// decoded.
func (l *healthApplier) applyEvent(now time.Duration, event *changefeed.Event) {
	if !strings.HasPrefix(event.Key, keyHealth) {
		return
	}
	if report, err := lease.ParseHealthReport(event.Payload); err == nil {
		l.apply(now, event.Age, &report)
	}
}

// announceChanges records whether there is a leader and which epoch the feed has. It reports whether either has changed since the
// last call, in which case subscribers must be woken. The caller must hold the lock.
func (m *Member) announceChanges(now time.Duration) bool {
	hasLeader := m.lease.HasLeader(now)
	leaderChanged := hasLeader != m.leaderAnnounced
	m.leaderAnnounced = hasLeader
	epochChanged := m.announceEpoch()
	return leaderChanged || epochChanged
}

// announceEpoch reports whether the feed has settled on an epoch that was not announced yet, and records it as announced. It logs a
// warning if the epoch differs from the wall clock at the start. The caller must hold the lock.
func (m *Member) announceEpoch() (changed bool) {
	epoch := m.feed.Epoch()
	if !m.feed.Settled() || m.announcedEpoch == epoch {
		return false
	}
	m.announcedEpoch = epoch
	if epoch != m.startUnixMilli {
		m.log.WithFields(logrus.Fields{"epoch": epoch, "by_wall_clock": m.startUnixMilli}).
			Warn("a later epoch of this control machine is known; its wall clock was set back")
	}
	return true
}

// sendLists broadcasts the digest of this machine's list of control machines, once per listsInterval. This reveals operator files
// that differ, which are unsafe as majorities of two different lists need not overlap. The caller must hold the lock.
func (m *Member) sendLists() {
	if time.Since(m.listsSent) < listsInterval {
		return
	}
	m.listsSent = time.Now()
	m.bus.Broadcast(topicLists, msgpack.AppendText(nil, m.file.MembershipHash()))
}

// handleLists handles the digest of another control machine's list. It logs when that list begins or ceases to differ from this
// machine's list. It ignores a message that cannot be decoded.
func (m *Member) handleLists(from peer.Sender, payload []byte) {
	values := msgpack.NewValues(payload)
	digest := values.Text(maxDigestBytes)
	if values.End() != nil {
		return
	}
	differs, changed := m.recordList(from.Name, digest)
	if changed {
		m.log.WithFields(logrus.Fields{"peer": from.Name, "differs": differs}).Warn("comparison of control machine lists changed")
	}
}

// recordList records whether the list of another control machine differs from this machine's list. It returns whether they differ,
// and whether that has changed since the last call for that machine.
func (m *Member) recordList(name, digest string) (differs, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, differed := slices.BinarySearch(m.differingMachines, name)
	differs = digest != m.file.MembershipHash()
	switch {
	case differs && !differed:
		m.differingMachines = slices.Insert(m.differingMachines, at, name)
	case !differs && differed:
		m.differingMachines = slices.Delete(m.differingMachines, at, at+1)
	}
	return differs, differs != differed
}
