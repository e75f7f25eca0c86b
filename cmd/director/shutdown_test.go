package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/wakeups"
)

// Times that the protocol defines for a planned restart, and tolerances of the tests.
const (
	shutdownServes  = 700 * time.Millisecond // a request written within this time of SIGTERM must get a response
	shutdownKill    = 700 * time.Millisecond // SIGKILL is sent this time plus the longest deadline after SIGTERM
	crossingAllowed = 50 * time.Millisecond  // a request written at most this time before its connection closes may cross the close
	answerSlack     = 500 * time.Millisecond // a response may come this much after the deadline
)

// closedWithOpenRequests matches a log line about a connection that the director closed while requests on it were open. A client cannot
// distinguish these from requests that crossed the close.
var closedWithOpenRequests = regexp.MustCompile(`(?m)^.*msg="client connection" ending=stopped (error=\S* )?.*open=[1-9].*$`)

// shutdownTrial is a director that is shut down under load.
type shutdownTrial struct {
	t        *testing.T
	process  *process
	clients  *clientGroup
	lateness wakeups.Meter // lateness of the test process itself
	signalAt time.Time     // time of SIGTERM
	killAt   time.Time     // time of SIGKILL, if the process has not ended by then
}

// startShutdownTrial starts a director with two classes, of which the second is not idempotent. Deadlines contains the deadline of each
// class. All nodes are unresponsive.
func startShutdownTrial(t *testing.T, classes []string, deadlines []time.Duration) *shutdownTrial {
	t.Helper()
	const descriptors, furtherNodes = 256, 10
	var endpoints string
	for i := range furtherNodes {
		endpoints += fmt.Sprintf(`{"host":"s-%08x","dial":%q,"site":"here","class":"box","health":"SERVING"},`, i+2, startUnresponsiveNode(t))
	}
	class := func(i int, effect string) string {
		deadline := deadlines[i].Microseconds()
		return fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"idempotency":%q,"group":"all"}`, classes[i], deadline, deadline, effect)
	}
	p, _ := startWith(t, descriptors, func(listen string) string {
		text := configure(listen, descriptors, unreachable, startUnresponsiveNode(t))
		text = strings.Replace(text, `{"name":"page","aim":2000000,"deadline":2000000,"idempotency":"read_like","group":"all"}`,
			class(0, "read_like")+","+class(1, "non_idempotent"), 1)
		return strings.Replace(text, `{"host":"s-000000aa"`, endpoints+`{"host":"s-000000aa"`, 1)
	})
	return &shutdownTrial{
		t:       t,
		process: p,
		clients: &clientGroup{address: p.addr, classes: classes, deadlines: deadlines, stop: make(chan struct{})},
	}
}

// startLoad starts the clients. The clients with idle connections send around the time at which the director closes idle connections.
func (s *shutdownTrial) startLoad() {
	g := s.clients
	go s.lateness.Run(g.stop)
	for range 8 {
		g.running.Go(func() { g.sendSteadily(15*time.Millisecond, 1) })
	}
	for range 3 { // some requests are always open, and often some are unread
		g.running.Go(func() { g.sendSteadily(2*time.Millisecond, 1) })
	}
	for range 3 { // messages in pieces
		g.running.Go(func() { g.sendSteadily(15*time.Millisecond, 3) })
	}
	for range 3 {
		g.running.Go(func() { g.sendOnNewConnections(60 * time.Millisecond) })
	}
	g.running.Go(func() {
		g.sendOnIdleConnections(24, s.signalAt.Add(shutdownServes-100*time.Millisecond), 10*time.Millisecond)
	})
}

// shutDown sends SIGTERM, and SIGKILL if the process is still running at killAt. It returns a description of how the process ended.
func (s *shutdownTrial) shutDown() (ending string) {
	s.process.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-s.process.done:
		if err != nil {
			s.t.Errorf("got %v at the end of the process, want exit code 0: %s", err, s.process.readLog())
		}
		return fmt.Sprintf("the process ended without a kill after %v", time.Since(s.signalAt).Round(time.Millisecond))
	case <-time.After(time.Until(s.killAt)):
		s.process.cmd.Process.Signal(os.Kill)
		<-s.process.done
		return "killed"
	}
}

// shutdownResult counts the requests of a trial by their outcome.
type shutdownResult struct {
	total           int
	afterSignal     int           // requests written after SIGTERM
	answered        int           // with exactly one response
	duplicated      int           // with more than one response
	late            int           // answered more than answerSlack after the deadline
	crossed         int           // unanswered, because they crossed the close of their connection; clients retry them elsewhere
	lostEarly       int           // unanswered, though written within shutdownServes of SIGTERM
	lostLate        int           // unanswered, written later, on a connection that closed too late for a crossing
	longest         time.Duration // longest time from a request to its response
	longestCrossing time.Duration // longest time from an unanswered request to the end of its connection
}

// count counts all requests.
func (s *shutdownTrial) count() (result shutdownResult) {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	for _, conn := range s.clients.connections {
		s.countConnection(conn, &result)
	}
	return result
}

// countConnection counts the requests of one connection. The unanswered requests may have crossed the close of the connection only if all
// of them were written just before the close, so that the director had read none of them. A close by SIGKILL never counts as a crossing.
func (s *shutdownTrial) countConnection(conn *connection, result *shutdownResult) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	var unanswered []*sentRequest
	mayHaveCrossed := conn.endedAt.Before(s.killAt)
	for _, request := range conn.sent {
		result.total++
		if request.written.After(s.signalAt) {
			result.afterSignal++
		}
		switch {
		case request.responses > 1:
			result.duplicated++
		case request.responses == 1:
			result.countAnswered(request)
		default:
			unanswered = append(unanswered, request)
			mayHaveCrossed = mayHaveCrossed && s.wasJustWritten(request, conn.endedAt)
			result.longestCrossing = max(result.longestCrossing, conn.endedAt.Sub(request.written))
		}
	}
	for _, request := range unanswered {
		switch {
		case s.mustBeAnswered(request):
			result.lostEarly++
		case mayHaveCrossed:
			result.crossed++
		default:
			result.lostLate++
		}
	}
}

// wasJustWritten reports whether a request was written so shortly before the end of its connection that it may have crossed the close. It
// adds the lateness of the test process in between to the allowed time.
func (s *shutdownTrial) wasJustWritten(request *sentRequest, endedAt time.Time) bool {
	allowed := crossingAllowed + s.lateness.Between(request.written, endedAt)
	return endedAt.Sub(request.written) <= allowed && !s.mustBeAnswered(request)
}

// mustBeAnswered reports whether a request was written so early that it must get a response, even if it crosses a close.
func (s *shutdownTrial) mustBeAnswered(request *sentRequest) bool {
	return request.written.Sub(s.signalAt) <= shutdownServes
}

// countAnswered counts a request with exactly one response.
func (r *shutdownResult) countAnswered(request *sentRequest) {
	r.answered++
	elapsed := request.answeredAt.Sub(request.written)
	r.longest = max(r.longest, elapsed)
	if elapsed > request.deadline+answerSlack {
		r.late++
	}
}

// log logs the counts and the lateness of the test process.
func (s *shutdownTrial) log(result shutdownResult, ending string) {
	s.t.Helper()
	lateness := s.lateness.Between(s.signalAt, time.Now())
	s.t.Logf("%d requests, %d of them written after SIGTERM; %s", result.total, result.afterSignal, ending)
	s.t.Logf("answered: %d once, the slowest after %v, %d of them more than 0.5 s after their deadline; %d more than once",
		result.answered, result.longest.Round(time.Millisecond), result.late, result.duplicated)
	s.t.Logf("unanswered: %d written within 0.7 s of SIGTERM, %d later; %d crossed a close; the earliest was written %v before the close",
		result.lostEarly, result.lostLate, result.crossed, result.longestCrossing.Round(time.Millisecond))
	s.t.Logf("the test process itself ran up to %v late", lateness.Round(time.Millisecond))
}

// check fails the test if a request that the director read does not have exactly one response in time.
func (s *shutdownTrial) check(result shutdownResult) {
	s.t.Helper()
	if result.duplicated+result.lostEarly+result.lostLate > 0 {
		s.t.Errorf("got requests that were read and have no response or more than one: %s", s.process.readLog())
	}
	if lines := closedWithOpenRequests.FindAllString(s.process.readLog(), -1); len(lines) > 0 {
		s.t.Errorf("got connections that were closed with open requests:\n%s", strings.Join(lines, "\n"))
	}
	if result.late > 0 {
		s.t.Errorf("got %d responses more than %v after their deadline, want none", result.late, answerSlack)
	}
	if result.afterSignal < 100 || result.answered < 200 {
		s.t.Errorf("got %d requests after SIGTERM and %d answered, want at least 100 and 200 for a meaningful result", result.afterSignal,
			result.answered)
	}
}

// TestShutdownWithShortDeadlines shuts a director down while clients continue to send requests, on open and on new connections, until the
// process ends. Deadlines are short and all nodes are unresponsive. Each request that the director reads must get exactly one final
// response before SIGKILL, which is sent 0.7 s plus the longest deadline after SIGTERM. Requests that cross the close of their connection
// are counted separately, because clients retry them elsewhere.
func TestShutdownWithShortDeadlines(t *testing.T) {
	const (
		short, long = 200 * time.Millisecond, 500 * time.Millisecond
		warmUp      = 600 * time.Millisecond // time until requests are in flight at the nodes
	)
	cases := []struct {
		name      string
		deadlines []time.Duration // of page and order
	}{
		{"0.2 s", []time.Duration{short, short}},
		{"0.5 s", []time.Duration{long, long}},
		{"both", []time.Duration{short, long}},
		{"both, swapped", []time.Duration{long, short}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			trial := startShutdownTrial(t, []string{"page", "order"}, test.deadlines)
			trial.signalAt = time.Now().Add(warmUp)
			trial.killAt = trial.signalAt.Add(slices.Max(test.deadlines) + shutdownKill)
			trial.startLoad()
			time.Sleep(time.Until(trial.signalAt))
			ending := trial.shutDown()
			close(trial.clients.stop)
			trial.clients.running.Wait()
			trial.clients.waitEnded(t)
			result := trial.count()
			trial.log(result, ending)
			trial.check(result)
		})
	}
}
