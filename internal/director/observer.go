package director

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// The observer of ended requests. Optional parts of serving, such as a capture of requests, connect here only.

// Observer is notified of each request once it has ended. The call is made in the request's goroutine, so many calls run at
// the same time. It must not block.
type Observer interface{ RequestEnded(RequestRecord) }

// Disposition tells how a request ended.
type Disposition uint8

const (
	// Served is a success.
	Served Disposition = iota
	// Rejected is an answer that nothing was executed.
	Rejected
	// Failed is an error: the request may have been executed.
	Failed
	// ClientGone is a request whose client left or cancelled before its answer.
	ClientGone
)

// RequestRecord describes one ended request.
type RequestRecord struct {
	ArrivedAt         time.Duration // since the director's StartTime
	Class             int           // index of the class in the configuration; -1: unknown class
	Object            uint64
	Part              uint32
	Group             uint32
	BytesIn, BytesOut int // bytes of the bodies
	Disposition       Disposition
	Fill              routing.Fill  // of the answer that went to the client
	FirstByte         time.Duration // from the arrival until the first byte of that answer; 0: there was no such answer
	Duration          time.Duration // from the arrival until the final answer
	Attempts          int           // number of attempts that were ordered
}

// Observe sets the observer of ended requests. It must be called before Run.
func (d *Director) Observe(observer Observer) { d.observer = observer }

// StartTime returns the time from which RequestRecord.ArrivedAt counts.
func (d *Director) StartTime() time.Time { return d.clock.start }

// notifyObserver notifies the observer, if there is one, that the request has ended.
func (r *request) notifyObserver() {
	if r.director.observer == nil {
		return
	}
	record := RequestRecord{
		ArrivedAt:   r.arrivedAt,
		Class:       -1,
		Object:      r.routed.Object,
		Part:        r.routed.Segment,
		Group:       r.routed.Group,
		BytesIn:     len(r.message.Body),
		Disposition: r.disposition(),
		Duration:    r.settledAt - r.arrivedAt,
		Attempts:    len(r.attempts),
	}
	if class, ok := r.director.classes[r.message.Class]; ok {
		record.Class = class
	}
	if record.Disposition == Served {
		record.BytesOut, record.Fill = len(r.servedBy.response.Body), r.servedBy.response.Fill
		record.FirstByte = max(0, r.servedBy.firstByteAt-r.arrivedAt)
	}
	r.director.observer.RequestEnded(record)
}

// disposition returns the Disposition for the request's state.
func (r *request) disposition() Disposition {
	switch r.state {
	case requestServed:
		return Served
	case requestRejected:
		return Rejected
	case requestClientGone:
		return ClientGone
	}
	return Failed
}
