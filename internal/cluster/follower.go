package cluster

// A director of an installation with control machines.

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

// Follower is a director of an installation with control machines. It has links to two of them and subscribes to the change feed
// on one. It neither votes nor runs jobs, and knows no other director. Without a link the director goes on serving by its own
// health checks. The methods are safe for concurrent use.
type Follower struct {
	name          string
	log           *logrus.Entry
	options       FollowerOptions
	health        *healthLearner
	start         time.Time
	uplinks       *peer.Uplinks
	statusServer  *peer.QueryServer // nil if the file gives this director no address
	unreadableLog limitedLog        // for messages that cannot be decoded

	mu          sync.Mutex // guards everything below
	file        *clusterconfig.File
	reader      *changefeed.Reader
	hasLeader   bool      // whether a majority of control machines follows a leader, as last reported
	leaderSince time.Time // when hasLeader last changed
	closed      bool
}

// FollowerOptions are options of a follower for tests.
type FollowerOptions struct {
	// OnEvent is called with every accepted event, by the goroutine that reads the link; nil: not called.
	OnEvent func(event *changefeed.Event)
}

// FollowerStatus is the status of a director that follows control machines. The JSON keys must not change.
type FollowerStatus struct {
	Name    string                  `json:"name"`
	Uplinks peer.UplinkStatus       `json:"uplinks"`
	Feed    changefeed.ReaderCounts `json:"stream"`
	Vector  changefeed.Vector       `json:"vector"`
	Health  HealthCounts            `json:"told"`
	// LeaderlessFor is for how long no majority of control machines has followed a leader, as far as this director knows; 0: a
	// majority does. It counts while this director has no link, or the last report of a control machine says so.
	LeaderlessFor time.Duration `json:"without_ns"`
}

// roleDirector is the Status.Lease.Role of a director that follows control machines. It is part of the JSON output and must not
// change.
const roleDirector = "director"

// Follow starts a follower for the director of a name. It answers requests for its status if the operator file gives the director
// an address. An error means that the file does not list the name among its directors, or that the address cannot be listened
// at. The caller must call Close or Leave.
func Follow(file *clusterconfig.File, name string, local LocalDirector, log *logrus.Entry, options FollowerOptions) (*Follower, error) {
	if file.Role(name) != clusterconfig.Director {
		return nil, fmt.Errorf("%q is not among the directors of the operator file", name)
	}
	now := time.Now()
	follower := &Follower{
		name:        name,
		log:         log,
		options:     options,
		health:      newHealthLearner(local),
		start:       now,
		file:        file,
		reader:      changefeed.NewReader(file.ControlNames()),
		leaderSince: now,
	}
	follower.openUplinks()
	if address := file.Address(name); address != "" {
		server, err := peer.OpenQueryServer(address, peer.QueryHandlers{topicStatus: follower.answerStatus})
		if err != nil {
			follower.uplinks.Close()
			return nil, fmt.Errorf("the address for status: %w", err)
		}
		follower.statusServer = server
	}
	log.WithFields(logrus.Fields{"control": len(file.Control), "directors": len(file.Directors)}).Info("following control machines")
	return follower, nil
}

// openUplinks opens the links. It holds the lock, so that messages wait until f.uplinks is set.
func (f *Follower) openUplinks() {
	seed := fnv.New64a()
	seed.Write([]byte(f.name))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uplinks = peer.OpenUplinks(peer.UplinkOptions{
		Name:            f.name,
		Place:           f.file.Place(f.name),
		ControlMachines: controlMachines(f.file),
		Spread:          f.file.Uplink.Spread.Duration(),
		Seed:            seed.Sum64() ^ uint64(f.start.UnixNano()),
		Log:             f.log,
		Subscription:    f.subscription,
		Handler:         f.handleMessage,
	})
}

// controlMachines returns the control machines of an operator file with their places and addresses.
func controlMachines(file *clusterconfig.File) (machines []peer.ControlMachine) {
	for _, entry := range file.Control {
		machines = append(machines, peer.ControlMachine{
			ControlMachine: changefeed.ControlMachine{
				Name:  entry.Name,
				Place: changefeed.Place{Region: entry.Region, Zone: entry.Zone, Site: entry.Site},
			},
			Addr: entry.Address,
		})
	}
	return machines
}

// subscription returns the subscription message of a link. It asks for the events after the last accepted one of each control
// machine.
func (f *Follower) subscription() (topic string, payload []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return topicSubscribe, changefeed.AppendVector(nil, f.reader.Vector())
}

// handleMessage handles a message of a control machine. It ignores unknown topics.
func (f *Follower) handleMessage(topic string, payload []byte) {
	switch topic {
	case topicLeader:
		values := msgpack.NewValues(payload)
		if hasLeader := values.Bool(); values.End() == nil {
			f.setHasLeader(hasLeader)
		}
	case topicEvents:
		f.handleEvents(payload)
	}
}

// handleEvents handles a batch of events. If one is missing it subscribes again, after the last accepted one. It logs and drops a
// batch that cannot be decoded.
func (f *Follower) handleEvents(payload []byte) {
	events, err := changefeed.ParseEvents(payload)
	if err != nil {
		f.unreadableLog.warn(f.log.WithError(err), "notes that cannot be read")
		return
	}
	missing := false
	for i := range events {
		switch f.accept(&events[i]) {
		case changefeed.Accepted:
			f.health.applyEvent(time.Since(f.start), &events[i])
			if f.options.OnEvent != nil {
				f.options.OnEvent(&events[i])
			}
		case changefeed.Gap:
			missing = true
		}
	}
	if missing {
		f.uplinks.Resubscribe()
	}
}

// accept passes an event to the reader under the lock.
func (f *Follower) accept(event *changefeed.Event) changefeed.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.Accept(event)
}

// setHasLeader records whether a majority of the control machines follows a leader, and logs a change.
func (f *Follower) setHasLeader(hasLeader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hasLeader == f.hasLeader {
		return
	}
	f.hasLeader, f.leaderSince = hasLeader, time.Now()
	f.log.WithField("majority", hasLeader).Info("control machines")
}

// Status returns the present status of this director.
func (f *Follower) Status() FollowerStatus {
	uplinks := f.uplinks.Status()
	f.mu.Lock()
	defer f.mu.Unlock()
	status := FollowerStatus{
		Name:          f.name,
		Uplinks:       uplinks,
		Feed:          f.reader.Counts(),
		Vector:        f.reader.Vector(),
		Health:        f.health.snapshot(),
		LeaderlessFor: uplinks.UnlinkedFor,
	}
	if !f.hasLeader {
		status.LeaderlessFor = max(status.LeaderlessFor, time.Since(f.leaderSince))
	}
	return status
}

// answerStatus answers a request for the status, as JSON. The other instances in it are the control machines.
func (f *Follower) answerStatus([]byte) ([]byte, error) {
	own := f.Status()
	status := Status{Follower: &own, Health: own.Health, Others: map[string]string{}, Results: map[string]Result{}}
	status.Lease.Instance, status.Lease.Role = f.name, roleDirector
	f.mu.Lock()
	for _, machine := range f.file.Control {
		status.Others[machine.Name] = machine.Address
	}
	f.mu.Unlock()
	return json.Marshal(status)
}

// Reload applies a changed operator file: control machines may be added, removed and moved. If a change takes effect at a start
// only, nothing of the file is applied and the error is a *RestartError.
func (f *Follower) Reload(file *clusterconfig.File) error {
	f.mu.Lock()
	if keys := file.ChangesRequiringRestart(f.file, f.name); len(keys) > 0 {
		f.mu.Unlock()
		return &RestartError{Keys: keys}
	}
	f.file = file
	f.reader.SetOrigins(file.ControlNames())
	f.mu.Unlock()
	f.uplinks.SetControlMachines(controlMachines(file))
	f.log.WithField("control", len(file.Control)).Info("operator file read again")
	return nil
}

// Leave closes the follower. A follower has nothing to hand over.
func (f *Follower) Leave() { f.Close() }

// Close closes the links and the status server and waits for their goroutines. Further calls have no effect.
func (f *Follower) Close() {
	f.mu.Lock()
	closed := f.closed
	f.closed = true
	f.mu.Unlock()
	if closed {
		return
	}
	f.uplinks.Close()
	if f.statusServer != nil {
		f.statusServer.Close()
	}
}
