package cluster

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// idleListener is a listener that accepts no connection. Unlike a socket it lets the clock of a synctest bubble advance.
type idleListener struct {
	closed  chan struct{}
	closing sync.Once
}

// openIdleListener returns an idleListener, as startOptions.openListener.
func openIdleListener(string, string) (net.Listener, error) {
	return &idleListener{closed: make(chan struct{})}, nil
}

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

func (l *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// While maxHungRuns runs of a job hang, a further run fails at once. Otherwise goroutines would accumulate.
func TestHungRunsAreBounded(t *testing.T) {
	const jobs, period = 2, 60 * time.Millisecond // of startAlone
	synctest.Test(t, func(t *testing.T) {
		hang := make(chan struct{})
		local := newFakeDirector(1, func(uint32) bool { <-hang; return true })
		member := startAloneWith(t, local, startOptions{wallClock: time.Now, openListener: openIdleListener})
		defer close(hang)

		time.Sleep(100 * period)
		status := member.Status()
		if want := jobs * maxHungRuns; status.Hung != want {
			t.Errorf("got %d hung runs, want %d", status.Hung, want)
		}
		if len(status.Results) != jobs {
			t.Errorf("got results of %d jobs, want %d", len(status.Results), jobs)
		}
		for name, result := range status.Results {
			if want := errTooManyHungRuns.Error(); result.Error != want {
				t.Errorf("%s: got error %q, want %q", name, result.Error, want)
			}
		}
	})
}

// A run that hangs or panics fails. Its job continues with further runs, and the instance keeps the lease. The test uses the clock of
// a synctest bubble, so that no lease expires because the machine is busy.
func TestHungAndPanickedRunsFail(t *testing.T) {
	const period = 60 * time.Millisecond // of the jobs of startAlone
	synctest.Test(t, func(t *testing.T) {
		var checks atomic.Int64
		hang := make(chan struct{})
		local := newFakeDirector(1, func(uint32) bool {
			switch count := checks.Add(1); {
			case count <= 3:
				<-hang
			case count == 5:
				panic("on purpose")
			}
			return true
		})
		member := startAloneWith(t, local, startOptions{wallClock: time.Now, openListener: openIdleListener})
		defer close(hang)
		began := time.Now()
		await(t, "runs continue while others hang", func() bool {
			status := member.Status()
			return status.Runs > 8 && status.Hung > 0 && status.Failed < status.Runs
		})
		if took := time.Since(began); took > 20*period {
			t.Errorf("8 runs of two jobs took %v, want at most %v", took, 20*period)
		}

		time.Sleep(100 * period)
		status := member.Status()
		if len(status.Lease.Owned) != 2 || status.Lease.Counts.Expired > 0 {
			t.Errorf("got %+v, want both leases and none expired", status.Lease)
		}
		if status.Runs < 2*100 || status.Failed != 4 {
			t.Errorf("got %d runs, of which %d failed, want 200 or more, of which 4", status.Runs, status.Failed)
		}
	})
}
