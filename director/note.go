package director

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// note writes log lines about connections at a bounded rate, since many may end at once.
type note struct {
	log *logrus.Entry

	mu      sync.Mutex
	next    time.Time
	skipped int
}

const noteEach = 200 * time.Millisecond

// connection tells how a connection ended, if that is worth a line: it broke, or reqs were open on it.
func (n *note) connection(what string, e Ending, err error, open int) {
	if open == 0 && (e == Closed || e == Stopped || e == Cut) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.next) {
		n.skipped++
		return
	}
	log := n.log.WithFields(logrus.Fields{"ending": e.String(), "open": open, "skipped": n.skipped})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info(what)
	n.next, n.skipped = time.Now().Add(noteEach), 0
}
