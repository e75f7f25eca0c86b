package topology

// Defaults of keys that a description leaves out.

import (
	"cmp"
	"time"
)

// Default values of keys. A key with the value 0 counts as left out.
const (
	defaultListDelay        = Duration(500 * time.Millisecond)
	defaultDirectorCores    = 1
	defaultDirectorMemory   = Size(192e6)
	defaultDirectorSockets  = 1024
	defaultMaxAttempts      = 4
	defaultMaxRetryAfter    = Duration(time.Second)
	defaultPurgeGrace       = Duration(time.Second)
	defaultClientRetryAfter = Duration(300 * time.Millisecond)
)

// setDefaults sets the keys that a description leaves out.
func (t *Topology) setDefaults() {
	t.ListDelay = cmp.Or(t.ListDelay, defaultListDelay)
	t.SlowStart.setDefaults()
	t.ParentSlowStart.setDefaults()
	t.Directors.setDefaults()
	t.Clients.RetryAfter = cmp.Or(t.Clients.RetryAfter, defaultClientRetryAfter)
	for i := range t.Classes {
		class := &t.Classes[i]
		class.DedupScope = cmp.Or(class.DedupScope, dedupAll)
		class.DedupWindow = cmp.Or(class.DedupWindow, class.Timeout)
	}
}

// setDefaults sets the keys that a slow start leaves out.
func (s *SlowStart) setDefaults() { s.DownTime = cmp.Or(s.DownTime, s.Window) }

// setDefaults sets the keys that the description of directors leaves out.
func (d *Directors) setDefaults() {
	d.Cores = cmp.Or(d.Cores, defaultDirectorCores)
	d.Memory = cmp.Or(d.Memory, defaultDirectorMemory)
	d.Sockets = cmp.Or(d.Sockets, defaultDirectorSockets)
	d.MaxAttempts = cmp.Or(d.MaxAttempts, defaultMaxAttempts)
	d.MaxRetryAfter = cmp.Or(d.MaxRetryAfter, defaultMaxRetryAfter)
	d.PurgeGrace = cmp.Or(d.PurgeGrace, defaultPurgeGrace)
	if d.Cancel == nil {
		allowed := true
		d.Cancel = &allowed
	}
}
