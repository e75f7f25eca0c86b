package hollow

// This file holds one node of a host, and the idle director that it reports health to.

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/director"
)

// node is a running node. It is either a follower, with an observer of the events that it accepts, or a member.
type node struct {
	NodeSpec
	role            string
	participant     participant       // the follower or the member
	follower        *cluster.Follower // nil for a member
	observer        *Observer         // of the follower
	member          *cluster.Member   // nil for a follower
	director        *idleDirector
	longestUnlinked atomic.Int64 // nanoseconds
}

// participant is the interface that followers and members have in common.
type participant interface {
	Reload(config *clusterconfig.File) error
	Leave() // hands over all jobs and ends
	Close() // ends immediately
}

// start starts the node in the role that the cluster configuration gives it.
func (n *node) start(config *clusterconfig.File, checker *Checker, log *logrus.Entry) (err error) {
	log = log.WithField("name", n.Name)
	role := config.Role(n.Name)
	n.role = role.String()
	switch role {
	case clusterconfig.Director:
		n.observer = checker.Observer(n.Name)
		options := cluster.FollowerOptions{OnEvent: func(event *changefeed.Event) { n.observer.Accept(event, time.Now()) }}
		n.follower, err = cluster.Follow(config, n.Name, n.director, log, options)
		n.participant = n.follower
	case clusterconfig.ControlMachine, clusterconfig.Member:
		n.member, err = cluster.Start(config, n.Name, n.director, log)
		n.participant = n.member
	default:
		err = fmt.Errorf("%s has no node of this name", n.ConfigFile)
	}
	return err
}

// updateUnlinked updates the longest time for which a director was without a link, and returns it. It returns 0 for a member.
func (n *node) updateUnlinked() time.Duration {
	if n.follower == nil {
		return 0
	}
	if now := int64(n.follower.Status().Uplinks.UnlinkedFor); now > n.longestUnlinked.Load() {
		n.longestUnlinked.Store(now)
	}
	return time.Duration(n.longestUnlinked.Load())
}

// idleDirector is a director that no client uses, in front of fake machines that are always healthy. It counts the health
// checks that the cluster requests from it and the health reports that it receives.
type idleDirector struct {
	machines            []director.Machine
	healthChecks        atomic.Int64
	healthReports       atomic.Int64
	unresponsiveReports atomic.Int64 // the part of healthReports about unresponsive machines
}

// Machines returns the machines whose health is checked.
func (d *idleDirector) Machines() []director.Machine { return d.machines }

// CheckMachine counts a health check, and reports the machine as alive and checked.
func (d *idleDirector) CheckMachine(director.Machine, time.Duration, string, string) (alive, checked bool) {
	d.healthChecks.Add(1)
	return true, true
}

// HandlePeerHealth counts a peer's report about a machine.
func (d *idleDirector) HandlePeerHealth(_ uint32, _ int64, alive bool, _ time.Duration) {
	d.healthReports.Add(1)
	if !alive {
		d.unresponsiveReports.Add(1)
	}
}

// Every parentEvery-th fake machine is a parent. All others are caches.
const parentEvery = 10

// fakeMachines returns a number of machines that do not exist. All nodes share the same list.
func fakeMachines(number int) (all []director.Machine) {
	for i := range number {
		all = append(all, director.Machine{ID: uint32(i + 1), Parent: i%parentEvery == parentEvery-1})
	}
	return all
}
