// Package clusterconfig reads the operator file of an installation of directors that share duties. A duty is a periodic job that
// one instance at a time runs under a lease. The file lists the instances, the addresses at which they listen, and the duties. For a
// large installation it lists control machines, which share the duties, and the directors that follow the control machines.
//
// The file is strict YAML. Errors in it are reported as topology.Faults, with file, line and key. A director that runs on the
// platform alone does not read an operator file.
package clusterconfig

import (
	"cmp"
	"os"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// Defaults of optional keys.
const (
	defaultLease        = topology.Duration(1200 * time.Millisecond)
	defaultHeartbeat    = topology.Duration(250 * time.Millisecond)
	defaultDrift        = topology.Share(0.01)
	defaultProbeTimeout = topology.Duration(300 * time.Millisecond)
	defaultConcurrency  = 32 // machines checked at a time
	defaultClockRate    = 1  // the rate of the host's clock
	defaultMissed       = missedCatchUp
	defaultKeep         = KeepEach
)

// Values of Duty.Kind, which are the kinds of periodic jobs.
const (
	KindHealthCheck = "probe" // checks the health of caches and parents
	KindCall        = "call"  // sends a request to an address
	KindEvent       = "note"  // publishes an event to all directors, for tests
)

// Values of Duty.Keep, for KindEvent.
const (
	KeepEach = "each" // the events of all runs, each for its lifetime
	KeepLast = "last" // the event of the last run only
)

// missedCatchUp is the value of Duty.Missed for a job whose missed run begins as soon as an instance has the lease.
const missedCatchUp = "catch-up"

// File is the content of an operator file. It must not be changed after it is parsed.
type File struct {
	Instances []Instance        `yaml:"instances" validate:"max=64,dive" jsonschema:"description=every director that takes part; the same list at each; this or control"`
	Control   []ControlEntry    `yaml:"control" validate:"dive" jsonschema:"minItems=3,maxItems=9,description=3\\, 5\\, 7 or 9 control machines\\, which share the duties and tell the directors; in place of instances"`
	Directors []DirectorEntry   `yaml:"directors" validate:"max=1024,dive" jsonschema:"minItems=1,maxItems=1024,description=every director that follows the control machines"`
	Uplink    Uplink            `yaml:"uplink" jsonschema:"description=links of directors to control machines"`
	Lease     topology.Duration `yaml:"lease" jsonschema:"description=for which a keeper is followed and a duty is owned at most; default 1200ms"`
	Heartbeat topology.Duration `yaml:"beat" jsonschema:"description=between renewals; a third of the lease at most; default 250ms"`
	Drift     topology.Share    `yaml:"drift" jsonschema:"description=by which any clock may run fast or slow; default 1%"`
	Duties    []Duty            `yaml:"duties" validate:"max=20000,dive"`
	Probe     Probe             `yaml:"probe"`
	Try       Try               `yaml:"try" jsonschema:"description=for trials only"`
}

// Instance is one director of an installation without control machines. It shares the duties.
type Instance struct {
	Name    string `yaml:"name" validate:"required" jsonschema:"description=the director's name in its configuration"`
	Address string `yaml:"address" validate:"required" jsonschema:"description=where it listens for the others"`
}

// Duty is a periodic job that one instance at a time runs.
type Duty struct {
	Name     string            `yaml:"name" validate:"required,max=64"`
	Kind     string            `yaml:"kind" validate:"oneof=probe call note" jsonschema:"description=probe: ask caches and parents whether they run; call: put a question to an address; note: for trials\\, tell all directors a note"`
	Period   topology.Duration `yaml:"period" validate:"gt=0"`
	Jitter   topology.Duration `yaml:"jitter" jsonschema:"description=up to so much by chance is added to each period"`
	Timeout  topology.Duration `yaml:"timeout" jsonschema:"description=of one run; no more than the period; default half of it"`
	Missed   string            `yaml:"missed" validate:"omitempty,oneof=catch-up pass" jsonschema:"description=what becomes of a run that nobody made: catch-up makes it once somebody owns the duty\\, pass waits for the next; default catch-up"`
	Address  string            `yaml:"address" jsonschema:"description=of a call"`
	Bytes    int               `yaml:"bytes" jsonschema:"description=of a note's payload\\, 24 to 60000"`
	Lifetime topology.Duration `yaml:"life" jsonschema:"description=of a note\\, after which it says nothing; 24h at most; default 10m"`
	Keep     string            `yaml:"keep" validate:"omitempty,oneof=each last" jsonschema:"enum=each,enum=last,description=of notes: each run's for its life\\, or the last run's alone; default each"`
}

// Probe has the settings of the health checks of caches and parents.
type Probe struct {
	Timeout     topology.Duration `yaml:"within" jsonschema:"description=a machine that has not answered by then counts as silent; default 300ms"`
	Concurrency int               `yaml:"atOnce" validate:"gte=0,lte=256" jsonschema:"description=machines asked at a time; default 32"`
	Vhost       string            `yaml:"vhost" jsonschema:"description=a replayable vhost of which a small object is asked as well\\, of what is held only; empty: PING alone"`
	Object      string            `yaml:"object" jsonschema:"description=that object\\, 16 hex digits"`
}

// Try has settings for tests of the program.
type Try struct {
	ClockRate float64 `yaml:"clock" validate:"gte=0,lte=2" jsonschema:"description=how fast this instance's clock for duties is made to run; default 1"`
}

// Read reads the operator file at a path for the named machine; see Parse. It returns an error if the file cannot be read or if Parse
// fails.
func Read(path, name string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw, name)
}

// Parse parses an operator file for the named machine, which the file must list. With an empty name it parses the file for no
// particular machine. The error is a topology.Faults with all faults of the file; path is used only in its texts.
func Parse(path string, raw []byte, name string) (*File, error) {
	f := &File{}
	check := func(fault func(key, found, expects string)) { f.check(name, fault) }
	if err := topology.Decode(path, raw, f, check); err != nil {
		return nil, err
	}
	f.setDefaults()
	return f, nil
}

// setDefaults sets the defaults of optional keys that the file omits. Calls after the first have no effect.
func (f *File) setDefaults() {
	f.Lease = cmp.Or(f.Lease, defaultLease)
	f.Heartbeat = cmp.Or(f.Heartbeat, defaultHeartbeat)
	f.Drift = cmp.Or(f.Drift, defaultDrift)
	f.Probe.Timeout = cmp.Or(f.Probe.Timeout, defaultProbeTimeout)
	f.Probe.Concurrency = cmp.Or(f.Probe.Concurrency, defaultConcurrency)
	f.Try.ClockRate = cmp.Or(f.Try.ClockRate, defaultClockRate)
	f.Uplink.Rate = cmp.Or(f.Uplink.Rate, defaultUplinkRate)
	f.Uplink.Spread = cmp.Or(f.Uplink.Spread, defaultUplinkSpread)
	for i := range f.Duties {
		f.Duties[i].setDefaults()
	}
}

// setDefaults sets the defaults of the optional keys of a duty that the file omits.
func (d *Duty) setDefaults() {
	d.Timeout = cmp.Or(d.Timeout, d.Period/2)
	d.Missed = cmp.Or(d.Missed, defaultMissed)
	if d.Kind == KindEvent {
		d.Lifetime = cmp.Or(d.Lifetime, defaultEventLifetime)
		d.Keep = cmp.Or(d.Keep, defaultKeep)
	}
}

// Schema returns the JSON Schema of an operator file.
func Schema() ([]byte, error) {
	return topology.SchemaOf(&File{}, "Operator file of an indigochute installation whose directors share duties")
}
