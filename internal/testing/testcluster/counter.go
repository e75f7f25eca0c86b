package testcluster

// This file holds the counter: a test service that periodic jobs call, protected by fencing tokens.

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
	"indigochute.example/indigochute/internal/testing/faultproxy"
)

const (
	// callDuration is how long the counter takes to answer the start of a run. It is long enough for overlapping runs to be
	// detected.
	callDuration = 40 * time.Millisecond

	// afterRelease is how long after ReleaseCalls a delayed call may still arrive.
	afterRelease = 4 * callDuration

	maxNameBytes = 64 // of a job's or sender's name
	callFields   = 4  // of a call's message: job, sender, fencing token, run
)

// Counter is a service that periodic jobs call at the start and the end of each run. It rejects calls whose fencing token is
// lower than one seen before for the job, and it counts runs of a job that overlap. It runs outside the directors.
type Counter struct {
	cluster *Cluster
	server  *peer.QueryServer

	mu         sync.Mutex           // guards the fields below
	jobs       map[string]*jobState // by job name
	calls      []Call
	releasedAt map[string]time.Duration // time of the last ReleaseCalls, by sender
}

// Call is one call that arrived at the counter.
type Call struct {
	At           time.Duration // by the cluster's clock
	Job          string
	Sender       string
	FencingToken uint64
	Run          uint64 // number of the run
	IsStart      bool   // the start of the run; otherwise its end
	Rejected     bool   // its fencing token is lower than one seen before
}

// jobState is the counter's state of one job.
type jobState struct {
	highestToken uint64
	starting     []string // senders whose start is being answered
	overlaps     int      // starts that arrived during another one
}

var errStaleToken = errors.New("fencing token is lower than one seen before")

func newCounter(cluster *Cluster) (*Counter, error) {
	c := &Counter{cluster: cluster, jobs: map[string]*jobState{}, releasedAt: map[string]time.Duration{}}
	var err error
	c.server, err = peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{"begin": c.handleStart, "end": c.handleEnd})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Addr returns the host:port at which the counter is called.
func (c *Counter) Addr() string { return c.server.Addr() }

// parseCall parses a call that arrives now.
func (c *Counter) parseCall(payload []byte, isStart bool) (Call, error) {
	values := msgpack.NewValues(payload)
	values.List(callFields)
	call := Call{
		Job:          values.Text(maxNameBytes),
		Sender:       values.Text(maxNameBytes),
		FencingToken: values.Uint(),
		Run:          values.Uint(),
		IsStart:      isStart,
		At:           c.cluster.Now(),
	}
	return call, values.End()
}

// addCall records a call. It returns errStaleToken if the call's fencing token is lower than one seen before for the job. The
// caller holds c.mu.
func (c *Counter) addCall(payload []byte, isStart bool) (Call, *jobState, error) {
	call, err := c.parseCall(payload, isStart)
	if err != nil {
		return call, nil, err
	}
	job := c.jobs[call.Job]
	if job == nil {
		job = &jobState{}
		c.jobs[call.Job] = job
	}
	call.Rejected = call.FencingToken < job.highestToken
	job.highestToken = max(job.highestToken, call.FencingToken)
	c.calls = append(c.calls, call)
	if call.Rejected {
		c.cluster.AddEvent("counter", fmt.Sprintf("rejected a call for %s from %s with fencing token %d; token %d was seen before",
			call.Job, call.Sender, call.FencingToken, job.highestToken))
		return call, nil, errStaleToken
	}
	return call, job, nil
}

// handleStart answers the start of a run after callDuration.
func (c *Counter) handleStart(payload []byte) ([]byte, error) {
	job, sender, err := c.beginStart(payload)
	if err != nil {
		return nil, err
	}
	time.Sleep(callDuration)
	c.mu.Lock()
	defer c.mu.Unlock()
	index := slices.Index(job.starting, sender)
	job.starting = slices.Delete(job.starting, index, index+1)
	return nil, nil
}

// beginStart records the start of a run and counts its overlaps with others.
func (c *Counter) beginStart(payload []byte) (job *jobState, sender string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, job, err := c.addCall(payload, true)
	if err != nil {
		return nil, "", err
	}
	for _, earlier := range job.starting {
		// A call that was held past the end of its lease is still accepted if no higher token was seen. Such a call may overlap.
		if c.releasedRecently(earlier) {
			continue
		}
		job.overlaps++
		c.cluster.AddEvent("counter", "a run of "+call.Sender+" started while the start of a run of "+earlier+" was being answered")
	}
	job.starting = append(job.starting, call.Sender)
	return job, call.Sender, nil
}

// releasedRecently reports whether a sender's calls were released so recently that a delayed one may still arrive. The caller
// holds c.mu.
func (c *Counter) releasedRecently(sender string) bool {
	at, ok := c.releasedAt[sender]
	return ok && c.cluster.Now()-at < afterRelease
}

// handleEnd answers the end of a run.
func (c *Counter) handleEnd(payload []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, err := c.addCall(payload, false)
	return nil, err
}

// HoldCalls delays the calls of a process to the counter until ReleaseCalls.
func (c *Counter) HoldCalls(p *Process) {
	c.cluster.Network.SetFault(p.counterLink(), faultproxy.Forward, faultproxy.Fault{Drop: true})
}

// ReleaseCalls ends the delay of the calls of a process. Calls that were delayed arrive now.
func (c *Counter) ReleaseCalls(p *Process) {
	c.mu.Lock()
	c.releasedAt[p.Name] = c.cluster.Now()
	c.mu.Unlock()
	c.cluster.Network.Heal(p.counterLink())
}

// Calls returns all calls so far, in the order of their arrival.
func (c *Counter) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// Overlaps counts the starts of runs that arrived while another start of the same job was being answered. It does not count
// overlaps with calls that HoldCalls had delayed.
func (c *Counter) Overlaps() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, job := range c.jobs {
		n += job.overlaps
	}
	return n
}

// StartTimes returns the start times of a job's runs, without those that were rejected.
func (c *Counter) StartTimes(job string) (times []time.Duration) {
	for _, call := range c.Calls() {
		if call.Job == job && call.IsStart && !call.Rejected {
			times = append(times, call.At)
		}
	}
	return times
}

// AllRanSince reports whether each of the jobs has started a run after a time.
func (c *Counter) AllRanSince(jobs []string, at time.Duration) bool {
	for _, job := range jobs {
		times := c.StartTimes(job)
		if len(times) == 0 || times[len(times)-1] <= at {
			return false
		}
	}
	return true
}
