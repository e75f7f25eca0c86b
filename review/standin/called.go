package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

// called is the system on which periodic jobs act. It is told when a run begins and ends, and rejects a fencing token that is lower
// than one that it has seen for the job.
type called struct {
	log    *record
	server *peer.QueryServer
	takes  time.Duration // how long it takes to answer that a run begins

	mu    sync.Mutex
	jobs  map[string]*jobRuns
	stale []string       // runs that an instance began long after another one had begun a run under a higher token
	runs  map[string]int // accepted begins by instance
}

// inFlight is how long a call may be on its way after the lease under which it was sent.
const inFlight = 500 * time.Millisecond

// jobRuns is the state of one job.
type jobRuns struct {
	highest uint64    // highest fencing token
	holder  string    // instance that showed it first
	since   time.Time // when that was
}

// call is the content of one call.
type call struct {
	job, instance string
	token, run    uint64
}

var errStale = errors.New("a higher fencing token was seen")

// startCalled starts the system at a free port.
func startCalled(log *record, takes time.Duration) (*called, error) {
	c := &called{log: log, takes: takes, jobs: map[string]*jobRuns{}, runs: map[string]int{}}
	var err error
	c.server, err = peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{callBegins: c.begin, callEnds: c.end})
	return c, err
}

// parse reads a call, and rejects one with a lower token than the highest of its job. Called under the lock.
func (c *called) parse(payload []byte, what string) (call, error) {
	const fields, longest = 4, 64
	values := msgpack.NewValues(payload)
	values.List(fields)
	read := call{job: values.Text(longest), instance: values.Text(longest), token: values.Uint(), run: values.Uint()}
	if err := values.End(); err != nil {
		return read, err
	}
	job := c.jobs[read.job]
	if job == nil {
		job = &jobRuns{}
		c.jobs[read.job] = job
	}
	rejected := read.token < job.highest
	c.log.add("called: %s of %s by %s, token %d, run %d, rejected: %v", what, read.job, read.instance, read.token, read.run, rejected)
	if rejected {
		if late := time.Since(job.since); what == callBegins && late > inFlight {
			c.stale = append(c.stale, fmt.Sprintf("%s begins a run of %s under token %d, %d ms after %s began one under token %d",
				read.instance, read.job, read.token, late.Milliseconds(), job.holder, job.highest))
		}
		return read, errStale
	}
	if read.token > job.highest {
		job.highest, job.holder, job.since = read.token, read.instance, time.Now()
	}
	return read, nil
}

// Topics of calls.
const (
	callBegins = "begin"
	callEnds   = "end"
)

// begin handles the begin of a run.
func (c *called) begin(payload []byte) ([]byte, error) {
	c.mu.Lock()
	read, err := c.parse(payload, callBegins)
	if err == nil {
		c.runs[read.instance]++
	}
	c.mu.Unlock()
	if err == nil {
		time.Sleep(c.takes)
	}
	return nil, err
}

// end handles the end of a run.
func (c *called) end(payload []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.parse(payload, callEnds)
	return nil, err
}

// seen returns the stale runs, and the number of runs that an instance has begun so far.
func (c *called) seen(instance string) (stale []string, runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.stale...), c.runs[instance]
}
