// Package cluster connects an instance to the other instances of its installation, which the operator file lists.
//
// A Member sends the messages of package lease over package peer and runs the periodic jobs that it has the leases of. On a
// control machine it also publishes a change feed to the directors. A Follower is a director that subscribes to the feed of the
// control machines. Both pass the results of health checks by other instances to the local director.
//
// The program that runs on the platform does not link this package.
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
	// as well. A check that is not conclusive, for instance after a failure of this host, has no result: alive must be ignored.
	CheckMachine(machine director.Machine, timeout time.Duration, vhost, object string) (alive, conclusive bool)
	// HandlePeerHealth applies the result of a health check, which another instance may have made. The parameter startedUnix is the start
	// time of the checked machine in Unix milliseconds, and age is the time since the check began.
	HandlePeerHealth(id uint32, startedUnix int64, alive bool, age time.Duration)
}

const (
	ticksPerHeartbeat = 10  // limits the delay of any action to a tenth of a heartbeat interval
	acceptRate        = 200 // connections a second; when all directors reconnect at once that takes only a part of a core (docs/CAPACITY.md)

	handoverPoll  = 5 * time.Millisecond  // interval of the checks whether a leaving member has handed over
	handoverGrace = 50 * time.Millisecond // time to send the last messages before the connections are closed
)

// Member is an instance that takes part in leader election and runs periodic jobs. The methods are safe for concurrent use.
type Member struct {
	name       string
	log        *logrus.Entry
	bus        *peer.Bus
	director   LocalDirector
	health     *healthApplier
	leaseTopic string
	start      time.Time
	clockRate  float64 // rate of the clock for leases, relative to the host's clock; constant, so that no lock is needed

	decodeErrorLog rateLimitedLog // for messages that cannot be decoded

	stop       chan struct{}  // closed by Close
	goroutines sync.WaitGroup // goroutines that end when stop is closed; those of runs of jobs are not included

	mu                sync.Mutex // guards everything below
	file              *clusterconfig.File
	lease             *lease.Instance
	feed              *changefeed.Node // nil: not a control machine
	jobs              map[string]*job  // by name
	closing           bool
	loggedRole        string    // role at the last call of logRole; empty: not called yet
	leaderAnnounced   bool      // whether there was a leader when that was last announced to subscribers
	startUnixMilli    uint64    // the wall clock at the start, in Unix milliseconds: the first epoch of the feed
	announcedEpoch    uint64    // epoch of the feed that was last announced to subscribers; 0: none yet
	differingMachines []string  // names of the control machines whose list of control machines differs, sorted
	listsSent         time.Time // when the digest of this machine's list was last sent
}

// Start starts the named member, which is a director or a control machine. It listens at the address of that name in the operator
// file. It returns an error if the configuration in the file is invalid or if it cannot listen at the address. The caller must call
// Close or Leave.
func Start(file *clusterconfig.File, name string, local LocalDirector, log *logrus.Entry) (*Member, error) {
	return start(file, name, local, log, startOptions{wallClock: time.Now})
}

// startOptions are the functions of the host that tests replace.
type startOptions struct {
	wallClock    func() time.Time
	openListener func(network, address string) (net.Listener, error) // nil: net.Listen
}

// start is Start with options for tests.
//
// The wall clock is read at the start only, for the first term and epoch, which distinguish this incarnation from earlier ones. If
// other instances know a higher term or epoch, this instance continues above that. All durations are measured by the monotonic
// clock.
func start(file *clusterconfig.File, name string, local LocalDirector, log *logrus.Entry, host startOptions) (*Member, error) {
	member := &Member{
		name:           name,
		log:            log,
		director:       local,
		health:         newHealthApplier(local),
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

// startLease creates the instance of package lease. It returns an error if the configuration is invalid.
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

// open opens the bus. It holds the lock, so that no message is handled before m.bus is set.
func (m *Member) open(options peer.Options) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	bus, err := peer.Open(options)
	if err != nil {
		return fmt.Errorf("listening for other instances: %w", err)
	}
	m.bus = bus
	m.log.WithFields(logrus.Fields{
		"listen":     bus.Addr(),
		"instances":  len(m.file.MemberNames()),
		"duties":     len(m.file.Duties),
		"silent_for": m.lease.QuietPeriod(),
	}).Info("listening for other instances")
	return nil
}

// now returns the time since the start by this instance's clock for leases.
func (m *Member) now() time.Duration {
	return time.Duration(float64(time.Since(m.start)) * m.clockRate)
}

// Reload applies a changed operator file. If a change requires a restart, nothing of the file is applied and the error is a
// *RestartError.
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
	m.log.WithField("duties", len(file.Duties)).Info("operator file reloaded")
	return nil
}

// RestartError reports that an operator file was not applied because some of its changes require a restart.
type RestartError struct {
	Keys []string // the changed settings, from clusterconfig.File.ChangesRequiringRestart
}

// Error lists the changed settings.
func (e *RestartError) Error() string {
	return fmt.Sprintf("changing %s requires a restart; nothing of the operator file was applied", strings.Join(e.Keys, ", "))
}

// run calls tick ticksPerHeartbeat times per heartbeat interval until Close.
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

// tick performs all actions that are due: it ends and begins runs of jobs, and sends messages of the lease instance and the feed.
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

// tickFeed performs the actions of a control machine's feed that are due. It returns the messages to send, and whether to call
// WakeSubscribers. The caller must hold the lock.
func (m *Member) tickFeed(now time.Duration) (messages []changefeed.Message, wake bool) {
	if m.feed == nil {
		return nil, false
	}
	messages = m.feed.Tick(now)
	wake = m.announceChanges(now)
	m.sendLists()
	return messages, wake
}

// logRole logs when this instance becomes the leader or is no longer the leader. The caller must hold the lock.
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
		m.decodeErrorLog.warn(m.log.WithError(err).WithField("peer", from.Name), "cannot decode lease message")
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

// Leave hands leases and leadership over to the other members and closes this one. It waits for the handover, but not longer than the
// duration of a lease.
func (m *Member) Leave() {
	m.mu.Lock()
	m.lease.Leave()
	deadline := time.Now().Add(m.file.Lease.Duration())
	m.mu.Unlock()
	for !m.handedOver() && time.Now().Before(deadline) {
		time.Sleep(handoverPoll)
	}
	m.log.Info("handover of leases ended")
	time.Sleep(handoverGrace)
	m.Close()
}

// handedOver calls tick and then reports whether a leaving member has handed everything over.
func (m *Member) handedOver() bool {
	m.tick()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.HasLeft(m.now())
}

// Close stops the member without a handover: its leases expire. It cancels the runs of jobs and waits for all goroutines except those
// of the runs, which may hang. Further calls have no effect.
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

// dutyByName returns the named job of the present operator file, or nil if there is none. The caller must hold the lock.
func (m *Member) dutyByName(name string) *clusterconfig.Duty {
	at := slices.IndexFunc(m.file.Duties, func(d clusterconfig.Duty) bool { return d.Name == name })
	if at < 0 {
		return nil
	}
	return &m.file.Duties[at]
}
