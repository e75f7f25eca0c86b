package mixed

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"indigochute.example/indigochute/internal/testing/faultnet"
)

// The bounds of the rules for the director, and the allowances for measuring them from another process.
const (
	maxAnswerDelay   = 500 * time.Millisecond // longest time from a deadline to the final answer
	maxAttemptDelay  = 100 * time.Millisecond // longest time from a client's cancel or disconnect to the beginning of an attempt
	maxTimeoutExcess = 150 * time.Millisecond // by how much the timeout of an attempt may exceed the time until the client's deadline
	measurementSlack = 50 * time.Millisecond  // added to maxAttemptDelay for the transfer between processes
	maxUndisturbed   = 50 * time.Millisecond  // a late answer is allowed if the trial left the director at most this time after the deadline
)

const (
	messageTimeout  = 2 * time.Second        // how long a director waits for the first message, and for the rest of a message
	minQuietTimeout = 200 * time.Millisecond // requests with a longer timeout should be served once faults are over
	faultVicinity   = 500 * time.Millisecond // faults that were injected within this time before a violation are listed with it
	endVicinity     = time.Second            // a fault within this time after the end of a connection may have ended it
	maxExamples     = 40                     // listed for each rule
)

// ruleResult collects the violations of one rule.
type ruleResult struct {
	rule        string
	violations  int           // all violations, including those that the lateness of the machine explains
	unexplained int           // violations that the lateness of the machine does not explain
	worstExcess time.Duration // largest excess of an unexplained violation
	examples    []string      // descriptions of unexplained violations
}

// add records a violation if excess is positive, which is the time by which the bound and all allowances were exceeded. The
// violation is unexplained if excess is greater than the lateness of the machine.
func (r *ruleResult) add(excess, lateness time.Duration, format string, args ...any) {
	if excess <= 0 {
		return
	}
	r.violations++
	if excess <= lateness {
		return
	}
	r.unexplained++
	r.worstExcess = max(r.worstExcess, excess)
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf(format, args...))
	}
}

// report logs the violations, and fails the test if any is unexplained.
func (r *ruleResult) report(t *trial) {
	t.Logf("%s: %d, of which the lateness of the machine does not explain %d, largest excess %v", r.rule, r.violations, r.unexplained,
		rounded(r.worstExcess))
	if r.unexplained > 0 {
		t.Errorf("%s: %d:\n%s", r.rule, r.unexplained, strings.Join(r.examples, "\n"))
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// recordChecker checks the requests and attempts of a trial, and counts the results.
type recordChecker struct {
	*trial
	quietFrom time.Time // requests sent after this time should be served

	unanswered, duplicateAnswers, lateAnswers, attemptsAfterDeparture, excessTimeouts, unsafeRepeats, unknownAttempts ruleResult

	// Numbers of requests.
	awaited, abandoned, brokenByFaults, served, pastDeadline, delayedByTrial, sentInQuiet, servedInQuiet int

	longestAttemptDelay  time.Duration // from a client's cancel or disconnect to the beginning of an attempt
	largestTimeoutExcess time.Duration // of an attempt's timeout over the time until the client's deadline
}

// checkRecords checks the trial's records against the rules for the director.
func (t *trial) checkRecords() {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &recordChecker{
		trial:                  t,
		quietFrom:              t.loadStart.Add(t.loadTime - quietTime + settleTime),
		unanswered:             ruleResult{rule: "requests without an answer"},
		duplicateAnswers:       ruleResult{rule: "requests with several answers"},
		lateAnswers:            ruleResult{rule: "answers more than 0.5 s after the deadline"},
		attemptsAfterDeparture: ruleResult{rule: "attempts begun more than 0.1 s after the client cancelled or disconnected"},
		excessTimeouts:         ruleResult{rule: "attempts with a timeout beyond the client's deadline"},
		unsafeRepeats:          ruleResult{rule: "non-idempotent requests sent again after a possible execution"},
		unknownAttempts:        ruleResult{rule: "attempts of an unknown request"},
		largestTimeoutExcess:   -time.Hour,
	}
	for id, r := range t.requests {
		c.checkRequest(id, r)
	}
	for _, a := range t.attempts {
		c.checkAttempt(&a)
	}
	c.report()
	t.checkCoverage()
}

// checkRequest checks the answers to a request. If a fault broke its connection, the request counts as abandoned from that time
// on.
func (c *recordChecker) checkRequest(id string, r *request) {
	name := fmt.Sprintf("%s (%s, %v, at %v)", id, classes[r.class].name, r.timeout, rounded(r.sentAt.Sub(c.loadStart)))
	if r.answers > 1 {
		c.duplicateAnswers.add(1, 0, "%s: %d answers", name, r.answers)
	}
	brokenAt := c.brokenAt(r.conn)
	due := r.sentAt.Add(r.timeout + maxAnswerDelay)
	switch {
	case !r.abandonedAt.IsZero() && (r.answers > 0 || r.abandonedAt.Before(due) || r.conn.readDelay > 0):
		c.abandoned++
	case r.answers == 0 && !brokenAt.IsZero() && brokenAt.Before(due):
		c.brokenByFaults++
	case r.answers == 0:
		c.awaited++
		c.checkUnanswered(name, r)
	default:
		c.awaited++
		c.checkAnswered(name, r)
	}
	if !brokenAt.IsZero() && (r.abandonedAt.IsZero() || brokenAt.Before(r.abandonedAt)) {
		r.abandonedAt = brokenAt
	}
}

// checkUnanswered records a request without an answer.
func (c *recordChecker) checkUnanswered(name string, r *request) {
	lateness := time.Duration(0)
	if c.lateness.Near(r.sentAt) > messageTimeout/2 {
		lateness = 1 // this process may have stopped for messageTimeout within a message or before the first one
	}
	c.unanswered.add(1, lateness, "%s: connection from %s opened at %v, ended at %v with error %v, read delay %v; faults on it: %s",
		name, r.conn.localAddr, rounded(r.conn.openedAt.Sub(c.loadStart)), rounded(r.conn.endedAt.Sub(c.loadStart)), r.conn.err,
		r.conn.readDelay, c.faultsOn(r.conn))
}

// checkAnswered checks whether the answer to a request arrived in time.
func (c *recordChecker) checkAnswered(name string, r *request) {
	took := r.answeredAt.Sub(r.sentAt)
	if r.served {
		c.served++
	}
	if took > r.timeout {
		c.pastDeadline++
	}
	if r.conn.readDelay > 0 { // the arrival time of the answer is unknown
		return
	}
	undisturbed := c.undisturbedTime(interval{r.sentAt.Add(r.timeout), r.answeredAt}, r.conn.localAddr)
	if took > r.timeout+maxAnswerDelay && undisturbed <= maxUndisturbed {
		c.Logf("%s: answered after %v, but the trial left the director only %v after the deadline", name, took, undisturbed)
		c.delayedByTrial++
		return
	}
	lateness := c.lateness.Near(r.answeredAt) + c.timeWithoutCPU(interval{r.sentAt, r.answeredAt})
	c.lateAnswers.add(took-r.timeout-maxAnswerDelay, lateness, "%s: answered after %v; lateness of the machine %v; "+
		"the trial left the director %v after the deadline; slow log lines took %v since the request was sent",
		name, took, lateness, undisturbed, c.slowLogging(interval{r.sentAt, r.answeredAt}))
	if r.sentAt.After(c.quietFrom) && r.timeout > minQuietTimeout {
		c.sentInQuiet++
		if r.served {
			c.servedInQuiet++
		}
	}
}

// checkAttempt checks that an attempt did not begin too long after its client cancelled or disconnected, that its timeout ends by
// the client's deadline, and that it does not repeat a non-idempotent request after a possible execution.
func (c *recordChecker) checkAttempt(a *attempt) {
	r := c.requests[a.id]
	if r == nil {
		c.unknownAttempts.add(1, 0, "%+v", *a)
		return
	}
	lateness := max(c.lateness.Near(a.firstByteAt), c.lateness.Near(a.lastByteAt))
	at := rounded(a.firstByteAt.Sub(c.loadStart))
	if !r.abandonedAt.IsZero() {
		after := a.firstByteAt.Sub(r.abandonedAt)
		c.longestAttemptDelay = max(c.longestAttemptDelay, after)
		c.attemptsAfterDeparture.add(after-maxAttemptDelay-measurementSlack, lateness,
			"%s (%s): at %v, %v after the client cancelled or disconnected, %v after the request was sent; %s",
			a.id, a.class, at, rounded(after), rounded(a.firstByteAt.Sub(r.sentAt)), c.faultsBefore(a.firstByteAt, a.node))
	}
	remaining := r.timeout - a.lastByteAt.Sub(r.sentAt)
	excess := a.timeout - remaining
	c.largestTimeoutExcess = max(c.largestTimeoutExcess, excess)
	c.excessTimeouts.add(excess-maxTimeoutExcess, lateness+c.timeWithoutCPU(interval{r.sentAt, a.lastByteAt}),
		"%s (%s): at %v, timeout %v with %v until the deadline, %v between its first and last byte; "+
			"request sent %v after its connection was opened; %s", a.id, a.class, at, a.timeout, rounded(remaining),
		rounded(a.lastByteAt.Sub(a.firstByteAt)), rounded(r.sentAt.Sub(r.conn.openedAt)), c.faultsBefore(a.lastByteAt, a.node))
	if a.repeatsUnresolved && classes[r.class].effect == "non_idempotent" {
		c.unsafeRepeats.add(1, 0, "%s at %v", a.id, at)
	}
}

// brokenAt returns the time at which an injected fault broke a client's connection, or the zero time if none did.
func (t *trial) brokenAt(c *connection) time.Time {
	for _, f := range t.injected[c.localAddr] {
		if f.breaksClientConnection() && f.at.After(c.openedAt) && (c.endedAt.IsZero() || f.at.Before(c.endedAt.Add(endVicinity))) {
			return f.at
		}
	}
	return time.Time{}
}

// faultsOn lists the faults that were injected on a client's connection, or on an earlier one from the same address, with the
// time since the connection was opened.
func (t *trial) faultsOn(c *connection) string {
	var faults []string
	for _, f := range t.injected[c.localAddr] {
		faults = append(faults, fmt.Sprintf("%v at %v", f.Fault, rounded(f.at.Sub(c.openedAt))))
	}
	return strings.Join(faults, ", ")
}

// faultsBefore lists the faults that were injected on connections to an address shortly before a time.
func (t *trial) faultsBefore(at time.Time, remote string) string {
	var faults []string
	for _, f := range t.injected[remote] {
		if ago := at.Sub(f.at); ago > 0 && ago < faultVicinity {
			faults = append(faults, fmt.Sprintf("%v before: %v", rounded(ago), f.Fault))
		}
	}
	return strings.Join(faults, ", ")
}

// report logs the results, and fails the test on unexplained violations and stray answers.
func (c *recordChecker) report() {
	c.Logf("%d requests: %d awaited, %d abandoned, %d broken by injected faults; %d served, %d answered after the deadline, %d of "+
		"them by more than 0.5 s while the trial delayed the director; %d attempts; latest attempt %v after a cancel or disconnect, "+
		"largest excess of a timeout %v; %d of %d requests served at the end, without faults; lateness of this process %v (median), "+
		"%v (99th percentile), %v (maximum); the director's process did not run for %v in addition to its pauses",
		len(c.requests), c.awaited, c.abandoned, c.brokenByFaults, c.served, c.pastDeadline, c.delayedByTrial, len(c.attempts),
		rounded(c.longestAttemptDelay), rounded(c.largestTimeoutExcess), c.servedInQuiet, c.sentInQuiet, c.lateness.Quantile(0.5),
		c.lateness.Quantile(0.99), c.lateness.Quantile(1), rounded(c.timeWithoutCPU(interval{c.loadStart, time.Now()})))
	c.Logf("injected: %s", listCounts(c.injectedCounts))
	c.Logf("events: %s", listCounts(c.counts))
	for _, r := range []*ruleResult{&c.unanswered, &c.duplicateAnswers, &c.lateAnswers, &c.attemptsAfterDeparture, &c.excessTimeouts,
		&c.unsafeRepeats, &c.unknownAttempts} {
		r.report(c.trial)
	}
	if c.strayAnswers > 0 {
		c.Errorf("%d answers to requests that were not sent, want none", c.strayAnswers)
	}
}

// checkCoverage fails the test if too few requests, disturbances or faults occurred to test the rules.
func (t *trial) checkCoverage() {
	seconds := t.loadTime.Seconds()
	if len(t.requests) < int(100*seconds) || len(t.attempts) < int(50*seconds) {
		t.Errorf("%d requests and %d attempts, want at least 100 and 50 a second of load", len(t.requests), len(t.attempts))
	}
	for _, event := range []string{"process paused", "node disturbed", "list: purge", "client: cancelled request", "client: abandoned request",
		"node: no answer", "node: late hit", "node: reset", "node: fault", "node: not cached"} {
		if t.counts[event] < int(seconds/3) {
			t.Errorf("%s: only %d times", event, t.counts[event])
		}
	}
	for _, event := range []string{"list: node draining", "list: node gone", "list: node moved", "list: node back", "discovery: silent",
		"client: disconnected within a message", "client: delayed reads"} {
		if t.counts[event] < 1 {
			t.Errorf("%s: never", event)
		}
	}
	faults := plan(0)
	for place, rates := range map[faultnet.Place]faultnet.Rates{faultnet.AtDial: faults.Dial, faultnet.AtAccept: faults.Accept,
		faultnet.OnDialed: faults.Dialed, faultnet.OnAccepted: faults.Accepted} {
		for kind, rate := range rates {
			if name := (faultnet.Fault{Place: place, Kind: kind}).String(); rate > 0 && t.injectedCounts[name] == 0 {
				t.Errorf("%s: never injected", name)
			}
		}
	}
}

// listCounts formats counts in the order of their names.
func listCounts(counts map[string]int) string {
	var texts []string
	for event, n := range counts {
		texts = append(texts, fmt.Sprintf("%s %d", event, n))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}
