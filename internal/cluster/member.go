// Package cluster joins an instance to the others of its installation, which the operator file lists.
//
// A Member sends the messages of package lease over package peer and runs the periodic jobs that it has the leases of. On a
// control machine it also publishes a change feed to the directors. A Follower is a director that subscribes to the feed of the
// control machines. Both pass the results of health checks by other instances to the local director.
//
// The platform's program does not link this package.
package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/peer"
)

// LocalDirector is the director of the same process.
type LocalDirector interface {
	// Machines returns the machines that the director knows.
	Machines() []director.Machine
	// CheckMachine makes a health check of a machine within a timeout. If a vhost and an object are given it requests that object
	// as well. A check that is not conclusive, as after a failure of this host, has no result.
	CheckMachine(machine director.Machine, timeout time.Duration, vhost, object string) (alive, conclusive bool)
	// HandlePeerHealth applies the result of a health check that another instance made. StartedUnix is the start time of the machine
	// that was checked, in Unix milliseconds; age is the time since the check began.
	HandlePeerHealth(id uint32, startedUnix int64, alive bool, age time.Duration)
}

const (
	ticksPerHeartbeat = 10  // so that nothing is late by more than a tenth of a heartbeat
	acceptRate        = 200 // connections a second, so that directors that all reconnect at once use only part of a core (docs/CAPACITY.md)

	handoverPoll  = 5 * time.Millisecond  // between two checks whether a member that leaves has handed over
	handoverGrace = 50 * time.Millisecond // for sending the last messages before the connections close
)

// Member is an instance that takes part in leader election and runs periodic jobs. The methods are safe for concurrent use.
type Member struct {
	name       string
	log        *logrus.Entry
	bus        *peer.Bus
	director   LocalDirector
	health     *healthLearner
	leaseTopic string
	start      time.Time
	clockRate  float64 // of the clock for leases, in its seconds per real second; constant, so that no lock is needed

	unreadableLog limitedLog // for messages that cannot be decoded

	stop       chan struct{}  // closed by Close
	goroutines sync.WaitGroup // those that end when stop is closed; runs of jobs are not among them

	mu                sync.Mutex // guards everything below
	file              *clusterconfig.File
	lease             *lease.Instance
	feed              *changefeed.Node // nil: not a control machine
	jobs              map[string]*job  // by name
	closing           bool
	loggedRole        string    // the role as last logged; empty: not logged yet
	leaderAnnounced   bool      // whether there was a leader when subscribers were last woken for that
	startUnixMilli    uint64    // the wall clock at the start, in Unix milliseconds: the first epoch of the feed
	announcedEpoch    uint64    // of the feed when subscribers were last woken for that; 0: not yet
	differingMachines []string  // names of the control machines with another list of control machines, sorted
	listsSent         time.Time // when the digest of the list was last sent
}

// Start starts the member of a name, a director or a control machine. It listens at the address that the operator file gives for
// the name. An error means that the file's times are invalid or that the address cannot be listened at. The caller must call Close
// or Leave.
func Start(file *clusterconfig.File, name string, local LocalDirector, log *logrus.Entry) (*Member, error) {
	return start(file, name, local, log, startOptions{wallClock: time.Now})
}

// startOptions are the parts of the host that tests replace.
type startOptions struct {
	wallClock    func() time.Time
	openListener func(network, address string) (net.Listener, error) // nil: net.Listen
}

// start is Start with options for tests.
//
// The wall clock is read at the start only, for the first term and epoch. These tell this incarnation from earlier ones; if the
// others know higher ones, they count on from those. All durations are of the monotonic clock.
func start(file *clusterconfig.File, name string, local LocalDirector, log *logrus.Entry, host startOptions) (*Member, error) {
	member := &Member{
		name:           name,
		log:            log,
		director:       local,
		health:         newHealthLearner(local),
		leaseTopic:     leaseTopicFor(file),
		start:          time.Now(),
		clockRate:      file.Try.ClockRate,
		stop:           make(chan struct{}),
		file:           file,
		jobs:           map[string]*job{},
		startUnixMilli: uint64(host.wallClock().UnixMilli()),
	}
	if err := member.startLease(); err != nil {
		return nil, err
	}
	options := peer.Options{
		Name:         name,
		Listen:       file.Address(name),
		Peers:        file.PeerAddresses(name),
		Log:          log,
		WallClock:    host.wallClock,
		OpenListener: host.openListener,
		Handlers: map[string]func(peer.Sender, []byte){
			member.leaseTopic: member.handleLease,
			topicHealth:       member.handleHealthReport,
		},
		QueryHandlers: peer.QueryHandlers{topicStatus: member.answerStatus},
	}
	if file.Role(name) == clusterconfig.ControlMachine {
		if err := member.startFeed(&options); err != nil {
			return nil, err
		}
	}
	if err := member.open(options); err != nil {
		return nil, err
	}
	member.goroutines.Go(member.run)
	return member, nil
}

// startLease creates the instance of package lease. The error is that of an invalid configuration.
func (m *Member) startLease() error {
	config := lease.Config{
		Name:           m.name,
		Members:        m.file.MemberNames(),
		Lease:          m.file.Lease.Duration(),
		Heartbeat:      m.file.Heartbeat.Duration(),
		Drift:          float64(m.file.Drift),
		Duties:         m.file.LeaseDuties(),
		Seed:           rand.Uint64(),
		StartUnixMilli: m.startUnixMilli,
	}
	if err := config.Check(); err != nil {
		return err
	}
	m.lease = lease.New(config, m.now())
	return nil
}

// open opens the bus. It holds the lock, so that messages wait until m.bus is set.
func (m *Member) open(options peer.Options) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	bus, err := peer.Open(options)
	if err != nil {
		return fmt.Errorf("the address for other directors: %w", err)
	}
	m.bus = bus
	m.log.WithFields(logrus.Fields{
		"listen":     bus.Addr(),
		"instances":  len(m.file.MemberNames()),
		"duties":     len(m.file.Duties),
		"silent_for": m.lease.QuietPeriod(),
	}).Info("talking with other directors")
	return nil
}

// now returns the time by this instance's clock for leases.
func (m *Member) now() time.Duration {
	return time.Duration(float64(time.Since(m.start)) * m.clockRate)
}

// Reload applies a changed operator file. If a change takes effect at a start only, nothing of the file is applied and the error
// is a *RestartError.
func (m *Member) Reload(file *clusterconfig.File) error {
	m.mu.Lock()
	if keys := file.ChangesRequiringRestart(m.file, m.name); len(keys) > 0 {
		m.mu.Unlock()
		return &RestartError{Keys: keys}
	}
	m.file = file
	m.lease.SetDuties(file.LeaseDuties())
	m.mu.Unlock()
	m.bus.SetPeers(file.PeerAddresses(m.name))
	m.bus.AllowSubscribers(file.DirectorNames())
	m.log.WithField("duties", len(file.Duties)).Info("operator file read again")
	return nil
}

// RestartError is the error of an operator file that was not applied because it changes keys that take effect at a start only.
type RestartError struct {
	Keys []string // from clusterconfig.File.ChangesRequiringRestart
}

// Error names the keys.
func (e *RestartError) Error() string {
	return fmt.Sprintf("%s: another value takes effect at a start only; nothing of the file was taken", strings.Join(e.Keys, ", "))
}

// run ticks ticksPerHeartbeat times a heartbeat until Close.
func (m *Member) run() {
	m.mu.Lock()
	interval := m.file.Heartbeat.Duration() / ticksPerHeartbeat
	m.mu.Unlock()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
			m.tick()
		}
	}
}

// tick does all that is due: it ends and begins runs of jobs, and sends messages of the lease instance and the feed.
func (m *Member) tick() {
	m.mu.Lock()
	now := m.now()
	leaseMessages := m.lease.Tick(now)
	due := m.lease.DueRuns(now)
	for _, j := range m.jobs {
		m.endExpiredRuns(now, j)
	}
	for _, order := range due {
		m.beginRun(now, order)
	}
	m.logRole(now)
	feedMessages, wake := m.tickFeed(now)
	m.mu.Unlock()
	m.sendLease(leaseMessages)
	m.sendFeed(feedMessages)
	if wake {
		m.bus.WakeSubscribers()
	}
}

// tickFeed does all that is due of the feed of a control machine. It returns the messages to send, and whether subscribers must be
// woken. Called with the lock held.
func (m *Member) tickFeed(now time.Duration) (messages []changefeed.Message, wake bool) {
	if m.feed == nil {
		return nil, false
	}
	messages = m.feed.Tick(now)
	wake = m.announceChanges(now)
	m.sendLists()
	return messages, wake
}

// logRole logs when this instance becomes the leader or ceases to be it. Called with the lock held.
func (m *Member) logRole(now time.Duration) {
	role := lease.RoleFollower
	if m.lease.IsLeader(now) {
		role = lease.RoleLeader
	}
	if role == m.loggedRole {
		return
	}
	if m.loggedRole != "" || role == lease.RoleLeader {
		m.log.WithField("role", role).Info("duties")
	}
	m.loggedRole = role
}

// handleLease handles a message of package lease. It logs and drops one that cannot be decoded.
func (m *Member) handleLease(from peer.Sender, payload []byte) {
	message, err := lease.Parse(payload)
	if err != nil {
		m.unreadableLog.warn(m.log.WithError(err).WithField("peer", from.Name), "duties: a message that cannot be read")
		return
	}
	message.From, message.To = from.Name, m.name
	m.mu.Lock()
	replies := m.lease.Receive(m.now(), message)
	m.mu.Unlock()
	m.sendLease(replies)
}

// sendLease sends messages of package lease.
func (m *Member) sendLease(messages []lease.Message) {
	for i := range messages {
		m.bus.Send(messages[i].To, m.leaseTopic, lease.Append(nil, &messages[i]))
	}
}

// Leave hands leases and leadership over to the other members and closes. It waits for the handover, but no longer than a lease
// lasts.
func (m *Member) Leave() {
	m.mu.Lock()
	m.lease.Leave()
	deadline := time.Now().Add(m.file.Lease.Duration())
	m.mu.Unlock()
	for !m.handedOver() && time.Now().Before(deadline) {
		time.Sleep(handoverPoll)
	}
	m.log.Info("duties: handed over")
	time.Sleep(handoverGrace)
	m.Close()
}

// handedOver ticks and then reports whether a member that leaves has handed everything over.
func (m *Member) handedOver() bool {
	m.tick()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.HasLeft(m.now())
}

// Close ends the member without a handover: its leases expire. It cancels the runs and waits for all goroutines but theirs, which
// may hang. Further calls have no effect.
func (m *Member) Close() {
	m.mu.Lock()
	if m.closing {
		m.mu.Unlock()
		return
	}
	m.closing = true
	for _, j := range m.jobs {
		j.cancelRuns()
	}
	m.mu.Unlock()
	close(m.stop)
	m.bus.Close()
	m.goroutines.Wait()
}

// dutyByName returns the job of a name in the present operator file; nil: there is none. Called with the lock held.
func (m *Member) dutyByName(name string) *clusterconfig.Duty {
	at := slices.IndexFunc(m.file.Duties, func(d clusterconfig.Duty) bool { return d.Name == name })
	if at < 0 {
		return nil
	}
	return &m.file.Duties[at]
}
