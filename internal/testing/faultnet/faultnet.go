// Package faultnet provides a network for tests on which system calls fail in the ways that Linux documents. It wraps the
// system's own sockets, so that everything but the injected faults is real. Only tests use it.
//
// A Network has the methods that a director needs of its network: Listen and DialContext. At each call a fault, or none, is
// drawn from a seeded source, by the rates of a Plan and within its windows of time. Calls of several goroutines draw in the
// order in which they come. So one seed gives the same faults only to callers that call in the same order.
//
// Errors have the form that the net package gives them: a *net.OpError around an *os.SyscallError around a syscall.Errno.
//
// EINTR is injected at Accept only. The net package itself repeats interrupted reads, writes and connects, so no caller of
// a net.Conn ever sees one. The same holds for short writes: net.Conn.Write returns fewer bytes than it was given only with
// an error. So a short write here is one whose bytes leave in two pieces with a pause between them. A blocked write waits, as
// behind a full send buffer, until it may go on, its deadline passes or the connection is closed.
package faultnet

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Kind is one kind of fault.
type Kind string

// Errors of system calls, by their names in errno(3). Plan tells where each may be injected.
const (
	NetUnreachable      Kind = "ENETUNREACH"
	HostUnreachable     Kind = "EHOSTUNREACH"
	AddressNotAvailable Kind = "EADDRNOTAVAIL"
	ProcessFilesFull    Kind = "EMFILE"
	SystemFilesFull     Kind = "ENFILE"
	NoBuffers           Kind = "ENOBUFS"
	NoMemory            Kind = "ENOMEM"
	NotPermitted        Kind = "EPERM"
	Refused             Kind = "ECONNREFUSED"
	TimedOut            Kind = "ETIMEDOUT"
	Reset               Kind = "ECONNRESET"
	Aborted             Kind = "ECONNABORTED"
	Interrupted         Kind = "EINTR"
)

// Faults that are not errors.
const (
	LateDial     Kind = "late"          // the connection comes up only after a while
	ShortRead    Kind = "short read"    // a read returns a few bytes, however many have arrived
	ShortWrite   Kind = "short write"   // the bytes leave in two pieces with a pause between them
	BlockedWrite Kind = "blocked write" // nothing leaves for a while
)

// Place is where a fault is injected.
type Place string

// The places of a Plan.
const (
	AtDial     Place = "dial"
	AtAccept   Place = "accept"
	OnDialed   Place = "dialed"   // a connection that was dialled
	OnAccepted Place = "accepted" // a connection that was accepted
)

// Rates are the probabilities of faults, each from 0 to 1 and 1 at most in sum. At each call one of them is drawn, or none.
type Rates map[Kind]float64

// Plan tells which faults are injected, how often and when.
type Plan struct {
	// Dial has the faults of DialContext. Allowed are the errors that socket(2) and connect(2) return, and Late.
	Dial Rates
	// Accept has the faults of Accept. A connection that waits to be accepted keeps waiting. Allowed are the errors that
	// accept(2) returns, and Interrupted.
	Accept Rates
	// Dialed and Accepted have the faults of each Read and Write of a connection. TimedOut, HostUnreachable and Reset break
	// it for good: this call, calls in progress and all later ones fail, and Close resets it. ShortRead is drawn at reads
	// only, ShortWrite and BlockedWrite at writes only. A BlockedWrite fills the send buffer for a while, for all writes.
	Dialed, Accepted Rates
	// Windows are the times at which faults are drawn, counted from New; none: always.
	Windows []Window

	MaxDialDelay  time.Duration // longest delay of a late connection; 0: defaultLate
	MaxWritePause time.Duration // longest pause within a short write; 0: defaultPause
	MaxWriteBlock time.Duration // longest time of a blocked write; 0: defaultBlock

	// Plain hides SyscallConn of connections, so that callers that could use the descriptor call Read and Write. Otherwise
	// reads and writes of the descriptor are not shortened, as this package cannot do that.
	Plain bool

	// OnFault, if set, is called with each fault just before it is injected. It must not block.
	OnFault func(Fault)
	// OnDelay, if set, is called for each write that a ShortWrite or a BlockedWrite delayed, once it goes on or fails. It
	// must not block.
	OnDelay func(Delay)
}

const (
	defaultLate  = 300 * time.Millisecond
	defaultPause = 20 * time.Millisecond
	defaultBlock = 300 * time.Millisecond
	maxShortRead = 16 // bytes of a short read
)

// Window is a span of time, from From to before Until.
type Window struct{ From, Until time.Duration }

// Fault is a fault that was injected.
type Fault struct {
	Place  Place
	Kind   Kind
	Remote string // the other side's address; of a dial, the one dialled; of an accept, ""
}

// Delay is the time for which a fault delayed a write.
type Delay struct {
	Place    Place
	Remote   string // the other side's address
	From, To time.Time
}

// String returns the place and the kind, which Network.Counts uses as keys.
func (f Fault) String() string { return string(f.Place) + " " + string(f.Kind) }

// allowed lists the kinds that may be injected at each place.
var allowed = map[Place][]Kind{
	AtDial: {NetUnreachable, HostUnreachable, AddressNotAvailable, ProcessFilesFull, SystemFilesFull, NoBuffers, NoMemory,
		NotPermitted, Refused, TimedOut, LateDial},
	AtAccept:   {Aborted, ProcessFilesFull, SystemFilesFull, NoBuffers, NoMemory, NotPermitted, Interrupted},
	OnDialed:   {TimedOut, HostUnreachable, Reset, ShortRead, ShortWrite, BlockedWrite},
	OnAccepted: {TimedOut, HostUnreachable, Reset, ShortRead, ShortWrite, BlockedWrite},
}

// Kinds returns the kinds that may be injected at a place, in a fixed order.
func Kinds(at Place) []Kind { return slices.Clone(allowed[at]) }

// errnos holds the error numbers of the kinds that are errors.
var errnos = map[Kind]syscall.Errno{
	NetUnreachable:      syscall.ENETUNREACH,
	HostUnreachable:     syscall.EHOSTUNREACH,
	AddressNotAvailable: syscall.EADDRNOTAVAIL,
	ProcessFilesFull:    syscall.EMFILE,
	SystemFilesFull:     syscall.ENFILE,
	NoBuffers:           syscall.ENOBUFS,
	NoMemory:            syscall.ENOMEM,
	NotPermitted:        syscall.EPERM,
	Refused:             syscall.ECONNREFUSED,
	TimedOut:            syscall.ETIMEDOUT,
	Reset:               syscall.ECONNRESET,
	Aborted:             syscall.ECONNABORTED,
	Interrupted:         syscall.EINTR,
}

// Network is a network whose calls fail as a Plan tells.
type Network struct {
	plan  Plan
	rates map[Place]Rates
	start time.Time

	mu      sync.Mutex
	chance  *rand.Rand
	counts  map[string]int // faults injected, by Fault.String
	stopped bool
}

// New returns a network. It panics if the plan names a fault at a place where it cannot occur, or rates over 1 in sum.
func New(seed uint64, plan Plan) *Network {
	n := &Network{
		plan:   plan,
		rates:  map[Place]Rates{AtDial: plan.Dial, AtAccept: plan.Accept, OnDialed: plan.Dialed, OnAccepted: plan.Accepted},
		start:  time.Now(),
		chance: rand.New(rand.NewPCG(seed, 0xfa17)),
		counts: map[string]int{},
	}
	for place, rates := range n.rates {
		checkRates(place, rates)
	}
	setDefault(&n.plan.MaxDialDelay, defaultLate)
	setDefault(&n.plan.MaxWritePause, defaultPause)
	setDefault(&n.plan.MaxWriteBlock, defaultBlock)
	return n
}

// setDefault sets a value that is 0 to its default.
func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}

// checkRates panics if a kind is not allowed at the place, or if the rates are over 1 in sum.
func checkRates(place Place, rates Rates) {
	sum := 0.0
	for kind, rate := range rates {
		if !slices.Contains(allowed[place], kind) {
			panic(fmt.Sprintf("faultnet: no %s at %s", kind, place))
		}
		sum += rate
	}
	if sum > 1 {
		panic(fmt.Sprintf("faultnet: chances at %s are %g together", place, sum))
	}
}

// Stop ends all injection. Connections that are broken, late or blocked stay so.
func (n *Network) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}

// Counts returns how many faults of each place and kind were injected, by Fault.String.
func (n *Network) Counts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.counts)
}

// draw draws one of the kinds by its rate at the place, or "" for none, and counts it. It reports it to Plan.Injected.
func (n *Network) draw(place Place, remote string, kinds ...Kind) Kind {
	kind := n.drawKind(place, kinds)
	if kind != "" && n.plan.OnFault != nil {
		n.plan.OnFault(Fault{place, kind, remote})
	}
	return kind
}

// drawKind is draw without the report. Each call takes one number from the source, whether faults are on or not, so that a
// seed gives the same faults whatever is switched off.
func (n *Network) drawKind(place Place, kinds []Kind) Kind {
	n.mu.Lock()
	defer n.mu.Unlock()
	left := n.chance.Float64()
	if n.stopped || !n.faultsOn(time.Since(n.start)) {
		return ""
	}
	for _, kind := range kinds {
		if left -= n.rates[place][kind]; left < 0 {
			n.counts[Fault{Place: place, Kind: kind}.String()]++
			return kind
		}
	}
	return ""
}

// faultsOn returns whether a time since the start lies in a window of the plan.
func (n *Network) faultsOn(now time.Duration) bool {
	for _, w := range n.plan.Windows {
		if w.From <= now && now < w.Until {
			return true
		}
	}
	return len(n.plan.Windows) == 0
}

// upTo draws a duration between a tenth of the longest and the longest.
func (n *Network) upTo(longest time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return longest/10 + time.Duration(n.chance.Float64()*float64(longest)*0.9)
}

// oneTo draws a number from 1 to most.
func (n *Network) oneTo(most int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return 1 + n.chance.IntN(most)
}

// DialContext connects as net.Dialer does, but fails or connects late as the plan tells. The context bounds the delay as well.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var system net.Dialer
	switch kind := n.draw(AtDial, address, allowed[AtDial]...); kind {
	case "":
	case LateDial:
		select {
		case <-ctx.Done(): // the dial below returns the context's error
		case <-time.After(n.upTo(n.plan.MaxDialDelay)):
		}
	default:
		return nil, dialError(kind, network, address)
	}
	conn, err := system.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(conn, OnDialed), nil
}

// dialError returns the error of net.Dialer for a kind. Errors for a lack of a resource come from socket(2), the others from
// connect(2).
func dialError(kind Kind, network, address string) error {
	call := "connect"
	switch kind {
	case ProcessFilesFull, SystemFilesFull, NoBuffers, NoMemory:
		call = "socket"
	}
	failed := &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError(call, errnos[kind])}
	if to, err := net.ResolveTCPAddr("tcp", address); err == nil {
		failed.Addr = to
	}
	return failed
}

// Listen listens as net.Listen does for TCP.
func (n *Network) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return n.WrapListener(l.(*net.TCPListener)), nil
}

// WrapListener returns a listener that accepts the connections of another one, with the plan's faults.
func (n *Network) WrapListener(l *net.TCPListener) net.Listener {
	return &listener{TCPListener: l, network: n}
}

// listener is a *net.TCPListener whose Accept fails as the plan tells.
type listener struct {
	*net.TCPListener
	network *Network
}

// Accept returns the next connection, or fails as the plan tells. It fails whether or not a connection waits, as accept(2)
// does, which takes a descriptor before it checks for a connection. A connection that waits is accepted later.
func (l *listener) Accept() (net.Conn, error) {
	if kind := l.network.draw(AtAccept, "", allowed[AtAccept]...); kind != "" {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errnos[kind])}
	}
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(conn, OnAccepted), nil
}

// wrap returns a connection with the faults of a place. It shows its descriptor unless the plan is Plain.
func (n *Network) wrap(system net.Conn, place Place) net.Conn {
	wrapped := newConn(n, system, place)
	if n.plan.Plain {
		return wrapped
	}
	return &rawConn{wrapped}
}
