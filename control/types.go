// Package control decides for one director where reqs are served, kept and filled from.
package control

import "time"

// Front is what a director can do. The side that speaks a protocol implements it and
// acts at once; ids of reqs and machines are those it handed in.
type Front interface {
	Dispatch(req uint32, o Order)
	Cancel(req uint32, dispatch int) // dispatches of a req count from 0
	Deny(req uint32, comeBack time.Duration)
	Abort(req uint32)
	After(wait time.Duration, token uint32)
}

// Order is one dispatch with what the cache is to do on a miss.
type Order struct {
	Node     uint32
	Source   uint32        // who fills a miss; the node itself: nobody
	Timeout  time.Duration // 0: until the client gives up
	Age      time.Duration // the oldest copy that will do; 0: the vhost's fresh time
	Rank     uint8         // 0: keep nothing, else 1 to 3
	HeldOnly bool          // the source gives only what it holds
	Renew    bool          // serve an ageing copy and fetch it anew behind
}

// Effect tells what running a req twice would do.
type Effect uint8

const (
	Replayable Effect = iota
	Uniqued
	NonReplayable
)

// Group tells among which caches a repeat of a uniqued req is dropped.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

type Vhost struct {
	Aim      time.Duration
	Stretch  float64 // the aim grows by this multiple of the req's own sending time
	Timeout  time.Duration
	Value    float64
	Late     float64 // share of the value earned past the aim
	Effect   Effect
	Group    Group
	Window   time.Duration
	Fresh    time.Duration // 0: a copy is good until purged
	Grace    time.Duration
	InParts  bool
	Write    bool // runs at the origin and is never kept
	OldValue float64
}

// Cold tells what a machine that started lately stands.
type Cold struct {
	Floor    float64       // share of its capacity that it starts with, or more
	Ramp     time.Duration // warm after this
	Multiple float64       // falls over at this multiple of its present capacity
	Window   time.Duration // asked for that long
}

// Settings as a director is handed them at its start.
type Settings struct {
	Seed          uint64
	Me            int
	Zone          int
	Vhosts        []Vhost
	Hub           []int // by zone: place of its hub in the ring of hubs
	Directors     []int // by zone
	Instances     int
	ParentKind    int
	OriginKind    int
	Siblings      bool // a cache of the location may be a source
	Direct        bool // a req may pass the caches by
	SecondCopies  bool
	MayCancel     bool
	ComeBack      bool // a denial may name a time to come back
	MaxComeBack   time.Duration
	MaxDispatches int
	FlowKB        float64 // KB a second of one answer
	Cache, Parent Cold
	PurgeSettles  time.Duration
	AnswerSlack   time.Duration
}

// State of a machine as listed.
type State uint8

const (
	Gone State = iota
	Ready
	Draining
)

// Listed is one machine of a list.
type Listed struct {
	Node       uint32
	State      State
	Boot       time.Duration // since the director's start; meaningless unless Booted
	Booted     bool          // its last start is known
	Kind, Zone int
	Cell       int
}

// Ask is a client's req as it comes in.
type Ask struct {
	ID       uint32
	Obj      uint64
	Part     uint32
	Group    uint32
	Vhost    int
	KB       float64 // 0: not told
	Deadline time.Duration
}

// Ending of a dispatch.
type Ending uint8

const (
	Done Ending = iota
	Failed
	Full
	TimedOut
	NoConnect
	Reset
	Cancelled
	Moot
	Miss
)

// Fill tells how an answer came about, as far as the site tells.
type Fill uint8

const (
	Untold Fill = iota
	Hit
	Filled
	FilledByOrigin
	Joined
	Stale
	SourceRefused
	SourceUnreached
	SourceLacks
	NoPlace
	OriginFailed
)

// Outcome is the end of one dispatch.
type Outcome struct {
	Dispatch int
	Ending   Ending
	Took     time.Duration
	Waited   time.Duration // to the source's first byte or failure; 0: not told
	Fill     Fill
	Final    bool      // the req is finished, by this or before it
	Load     []float64 // the cache's report in the order of the settings, if any came
}
