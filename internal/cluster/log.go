package cluster

// A limit on log lines that other instances can cause.

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/peer"
)

// limitedLog writes log lines at the rate of peer.LogLimit. It guards against a peer that floods the log with messages that cannot
// be decoded. It is safe for concurrent use.
type limitedLog struct {
	mu    sync.Mutex
	limit peer.LogLimit
}

// warn writes a warning with the number of warnings skipped since the last one, or skips it.
func (l *limitedLog) warn(log *logrus.Entry, message string) {
	l.mu.Lock()
	skipped, ok := l.limit.Allow(time.Now())
	l.mu.Unlock()
	if ok {
		log.WithField("skipped", skipped).Warn(message)
	}
}
