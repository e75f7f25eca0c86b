package peer

// Rate limits for reading, writing, accepting and logging.

import "time"

// readPacer limits the rates at which frames and bytes are read from one connection, by pauses between reads. It guards against a
// sender that takes more than its share of processor time. During a pause TCP flow control slows the sender down.
type readPacer struct {
	frameRate float64 // maximum frames a second
	byteRate  float64 // maximum bytes a second
	updated   time.Time
	spent     float64 // cost of the reads so far, in seconds at the maximum rate, less the time that has passed
}

// readBurstSeconds is the burst of a connection, in seconds at its maximum rate. Above it reading is paused.
const readBurstSeconds = 1

// newReadPacer returns a pacer for maximum rates in frames and bytes a second.
func newReadPacer(frameRate, byteRate float64) *readPacer {
	return &readPacer{frameRate: frameRate, byteRate: byteRate, updated: time.Now()}
}

// wait accounts for one frame with a number of bytes. If more than readBurstSeconds are used, it waits for the excess to pass or for
// stop to be closed.
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

// tokenBucket is a token bucket that starts full. A withdrawal may overdraw it, so that a single item may exceed the burst.
type tokenBucket struct {
	rate    float64 // tokens a second; 0 means no limit
	burst   float64 // maximum number of tokens
	tokens  float64 // negative if the bucket is overdrawn
	updated time.Time
}

// waitTime returns how long to wait until tokens may be taken: 0 if they may be taken now, otherwise at least a millisecond.
func (b *tokenBucket) waitTime(now time.Time) time.Duration {
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

// withdraw removes tokens, and overdraws the bucket if it has too few.
func (b *tokenBucket) withdraw(tokens float64) { b.tokens -= tokens }

// take withdraws tokens and returns how long to wait before using them.
func (b *tokenBucket) take(now time.Time, tokens float64) time.Duration {
	wait := b.waitTime(now)
	b.withdraw(tokens)
	return wait
}

// logLimitInterval is the minimum time between two lines that a LogLimit allows.
const logLimitInterval = time.Second

// LogLimit allows at most one log line a second and counts the others. It guards against a remote side that floods the log. The zero
// value is ready for use. It is not safe for concurrent use.
type LogLimit struct {
	passed  time.Time // when the last line was allowed
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
