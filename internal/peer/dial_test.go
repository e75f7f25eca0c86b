package peer

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// faultyDial is a dial function that fails while fault is set.
type faultyDial struct {
	next  dialFunc // dial function used while fault is unset; nil means net.Dialer
	fault atomic.Pointer[error]
	calls atomic.Int64 // dials, including failed ones
}

func (d *faultyDial) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d.calls.Add(1)
	if err := d.fault.Load(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", *err)}
	}
	return dialOrDefault(d.next)(ctx, network, addr)
}

// dialFaults are errors of a dial whose cause is on this host.
var dialFaults = []error{
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
	syscall.EADDRNOTAVAIL,
	syscall.ENETUNREACH,
	syscall.EPERM,
}

// countDialsDuringFault returns how many times a link dials in a span while all dials fail with an error. It checks that the link comes
// up after the error ended. It must run in a synctest bubble.
func countDialsDuringFault(t *testing.T, fault error, span time.Duration) int64 {
	t.Helper()
	network := pipeNetwork{}
	dialer := faultyDial{next: network.dial}
	dialer.fault.Store(&fault)
	open := func(name, peer string, dial dialFunc) *Bus {
		return mustOpen(t, Options{
			Name:         name,
			Peers:        map[string]string{peer: peer},
			Log:          logTo(io.Discard),
			Dial:         dial,
			OpenListener: network.add(name).listen,
		})
	}
	b := open("b", "a", func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
	defer b.Close()
	a := open("a", "b", dialer.dial)
	defer a.Close()

	time.Sleep(span)
	dials := dialer.calls.Load()
	dialer.fault.Store(nil)
	eventually(t, "link is up after "+fault.Error(), func() bool { return a.Status().Links[0].State == "up" })
	return dials
}

// Local errors must not lengthen a link's backoff, so that the link comes up soon after they end. Errors that the peer may have caused
// must lengthen it. All times are by the clock of a synctest bubble. Each pause is random, from half of the backoff to all of it.
func TestLocalDialErrorsDoNotLengthenBackoff(t *testing.T) {
	const span = 1500 * time.Millisecond
	for _, fault := range dialFaults {
		synctest.Test(t, func(t *testing.T) {
			const minDials, maxDials = int64(span / minRedialBackoff), int64(2*span/minRedialBackoff) + 1
			if dials := countDialsDuringFault(t, fault, span); dials < minDials || dials > maxDials {
				t.Errorf("%v: got %d dials in %v, want %d to %d", fault, dials, span, minDials, maxDials)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		const maxDials = 7 // with pauses of half of 50, 100, 200, 400, 800 and 1000 ms
		if dials := countDialsDuringFault(t, syscall.ECONNREFUSED, span); dials > maxDials {
			t.Errorf("connection refused: got %d dials in %v, want at most %d", dials, span, maxDials)
		}
	})
}

// isLocalError must distinguish errors of this host from those that the other side may have caused.
func TestIsLocalError(t *testing.T) {
	for _, fault := range dialFaults {
		if !isLocalError(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", fault)}) {
			t.Errorf("%v: got false, want true", fault)
		}
	}
	for _, fault := range []error{nil, syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, io.EOF} {
		if isLocalError(fault) {
			t.Errorf("%v: got true, want false", fault)
		}
	}
}

// A local error that ends within the dial timeout must not count as a failed dial of the control machine.
func TestLocalDialErrorIsNotFailedDial(t *testing.T) {
	for _, fault := range dialFaults {
		control, _ := openControlMachine(t, "a", nil)
		var dialer faultyDial
		dialer.fault.Store(&fault)
		var messages directorMessages
		options := uplinkOptions("d", "north", &messages, controlMachine("north", "north1", "a", control.Addr()))
		options.Dial = dialer.dial
		uplinks := OpenUplinks(options)
		eventually(t, "the dial is retried", func() bool { return dialer.calls.Load() >= 3 })
		dialer.fault.Store(nil)
		eventually(t, "the link is up", func() bool { return uplinks.Status().Up == 1 })
		if status := uplinks.Status(); status.Choice.Failed > 0 || status.Links[0].Dials != 1 {
			t.Errorf("%v: got %+v, want one dial that did not fail", fault, status)
		}
		uplinks.Close()
		control.Close()
	}
}
