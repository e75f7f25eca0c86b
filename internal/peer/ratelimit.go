package peer

// Rate limits: of reading, of writing, of accepting and of log lines.

import "time"

// readPacer bounds the rates at which frames and bytes are read from one connection, by a pause before the next read. It guards
// against a sender that takes more than its share of the processor. TCP holds the sender back during the pause.
type readPacer struct {
	frameRate float64 // most frames a second
	byteRate  float64 // most bytes a second
	updated   time.Time
	spent     float64 // seconds at the rate that were used and have not passed yet
}

// readBurstSeconds is how many seconds at its rate a connection may use before it is paused.
const readBurstSeconds = 1

// newReadPacer returns a pacer for rates in frames and bytes a second.
func newReadPacer(frameRate, byteRate float64) *readPacer {
	return &readPacer{frameRate: frameRate, byteRate: byteRate, updated: time.Now()}
}

// wait accounts for one frame of so many bytes. Then it waits while more than readBurstSeconds are used, or until stop is closed.
func (p *readPacer) wait(bytes int, stop <-chan struct{}) {
	now := time.Now()
	cost := max(1/p.frameRate, float64(bytes)/p.byteRate)
	p.spent = max(0, p.spent-now.Sub(p.updated).Seconds()) + cost
	p.updated = now
	excess := p.spent - readBurstSeconds
	if excess <= 0 {
		return
	}
	select {
	case <-stop:
	case <-time.After(time.Duration(excess * float64(time.Second))):
	}
}

// tokenBucket is a token bucket that starts full. A withdrawal may overdraw it, so that more than a burst can pass at once as well.
type tokenBucket struct {
	rate    float64 // tokens a second; 0: no bound
	burst   float64 // tokens that it holds at most
	tokens  float64 // below 0: debt
	updated time.Time
}

// ready returns how long to wait until tokens may be taken. It is 0 if they may be taken now, otherwise a millisecond at least.
func (b *tokenBucket) ready(now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	if b.updated.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	}
	b.updated = now
	if b.tokens > 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(-b.tokens/b.rate*float64(time.Second)))
}

// withdraw takes tokens, whether or not the bucket has them.
func (b *tokenBucket) withdraw(tokens float64) { b.tokens -= tokens }

// take takes tokens and returns how long to wait before using them.
func (b *tokenBucket) take(now time.Time, tokens float64) time.Duration {
	wait := b.ready(now)
	b.withdraw(tokens)
	return wait
}

// logLimitInterval is the shortest time between two lines that a LogLimit passes.
const logLimitInterval = time.Second

// LogLimit passes at most one log line a second and counts the others. It guards against a remote side that floods the log. The
// zero value is ready for use. It is not safe for concurrent use.
type LogLimit struct {
	passed  time.Time // when the last line was passed
	skipped int       // lines skipped since then
}

// Allow reports whether a line may be written now, and how many were skipped since the last one.
func (l *LogLimit) Allow(now time.Time) (skipped int, ok bool) {
	if !l.passed.IsZero() && now.Sub(l.passed) < logLimitInterval {
		l.skipped++
		return 0, false
	}
	skipped, l.passed, l.skipped = l.skipped, now, 0
	return skipped, true
}
