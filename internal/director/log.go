package director

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// This file has a rate-limited log.

const (
	connectionLogInterval = 200 * time.Millisecond // between lines about connections
	acceptLogInterval     = time.Second            // between lines about errors of accept, which may be permanent
)

// rateLimitedLog writes log lines at a bounded rate, so that the size of the log does not grow with the number of connections.
type rateLimitedLog struct {
	log      *logrus.Entry
	interval time.Duration // shortest time between two lines

	mu      sync.Mutex
	next    time.Time // no line is written before this time
	skipped int       // lines skipped since the last one written
}

// connection logs how a connection ended, if it ended in an unusual way or with requests open on it.
func (l *rateLimitedLog) connection(message string, ending Ending, err error, open int) {
	if open == 0 && (ending == Closed || ending == Stopped || ending == Broken) {
		return
	}
	entry := l.log.WithFields(logrus.Fields{"ending": ending.String(), "open": open})
	if err != nil {
		entry = entry.WithError(err)
	}
	l.line(entry, message)
}

// line writes a line with the number of lines skipped before it. It skips the line if the previous one was written less than
// interval ago.
func (l *rateLimitedLog) line(entry *logrus.Entry, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().Before(l.next) {
		l.skipped++
		return
	}
	entry.WithField("skipped", l.skipped).Info(message)
	l.next, l.skipped = time.Now().Add(l.interval), 0
}
