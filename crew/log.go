package crew

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const lineEach = time.Second

// logPace writes log lines at a bounded rate: who sends nonsense without end must not fill the log.
type logPace struct {
	mu      sync.Mutex
	next    time.Time
	skipped int
}

// line writes one, with how many were left out since the last, unless there was one just now.
func (p *logPace) line(log *logrus.Entry, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.next) {
		p.skipped++
		return
	}
	log.WithField("skipped", p.skipped).Warn(what)
	p.next, p.skipped = time.Now().Add(lineEach), 0
}
