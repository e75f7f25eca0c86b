package changefeed

import "slices"

// Verdict is what a reader decided on an event.
type Verdict uint8

const (
	// Accepted is an event that moves the position, and must be handed on.
	Accepted Verdict = iota
	// Duplicate is an event whose number the reader has already reached.
	Duplicate
	// Gap is an event before which others are missing. The reader must ask again from its position.
	Gap
	// Expired is an event after its lifetime. It moves the position, and is not handed on.
	Expired
	// Invalid is an event of an unknown origin, or one that no origin can have published.
	Invalid
	// OldEpoch is an event of an epoch that is too far back. It may have been accepted before.
	OldEpoch
	// Superseded is an event with a lower fencing number than an earlier event of its key. It moves the position, and is not
	// handed on.
	Superseded
)

var verdictNames = [...]string{"accepted", "duplicate", "gap", "expired", "invalid", "old", "superseded"}

// String returns the name of a verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// movesPosition reports whether an event with the verdict moves the position of the reader.
func (v Verdict) movesPosition() bool { return v == Accepted || v == Expired || v == Superseded }

// ReaderCounts counts events by verdict since the start of a reader. The JSON keys are part of the JSON output.
type ReaderCounts struct {
	Accepted   int `json:"taken"`
	Duplicates int `json:"doubled"`
	Gaps       int `json:"gaps"`
	Expired    int `json:"expired"`
	Invalid    int `json:"strange"`
	OldEpochs  int `json:"old"`
	Losses     int `json:"short"` // times that events were found to be lost for good
	Superseded int `json:"superseded"`
}

// count counts one event with a verdict.
func (c *ReaderCounts) count(verdict Verdict) {
	switch verdict {
	case Accepted:
		c.Accepted++
	case Duplicate:
		c.Duplicates++
	case Gap:
		c.Gaps++
	case Expired:
		c.Expired++
	case Invalid:
		c.Invalid++
	case OldEpoch:
		c.OldEpochs++
	case Superseded:
		c.Superseded++
	}
}

// maxFences is the number of keys of which a reader knows the highest fencing number. Only keys under which lease holders publish
// have fencing numbers. After a key is forgotten, an event of an earlier holder may be accepted after one of a later holder.
const maxFences = 1024

// Reader follows the events of all origins. Within an origin and epoch it accepts events in order, and none twice. Between epochs
// of an origin there is no order: a reader that resumes at a control machine that lags may accept an event of an older epoch after
// one of a newer epoch and the same key. Where that matters, the payload must tell which is newer.
type Reader struct {
	origins    map[string]bool
	ledger     ledger
	fences     map[string]uint64 // highest accepted fencing number by key
	fencedKeys []string          // keys of fences, in the order in which they were added
	counts     ReaderCounts
}

// NewReader returns a reader of these origins that has read nothing.
func NewReader(origins []string) *Reader {
	r := &Reader{ledger: ledger{}, fences: map[string]uint64{}}
	r.SetOrigins(origins)
	return r
}

// SetOrigins has the reader follow these origins from now on, but only the first MaxOrigins of them. The reader remembers its
// positions in the events of removed origins, in case they are listed again. Together with the followed origins it remembers at
// most MaxOrigins, and forgets the first removed ones by name.
func (r *Reader) SetOrigins(origins []string) {
	r.origins = map[string]bool{}
	for _, name := range origins[:min(len(origins), MaxOrigins)] {
		r.origins[name] = true
	}
	var removed []string
	for name := range r.ledger {
		if !r.origins[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	excess := len(removed) + len(r.origins) - MaxOrigins
	for _, name := range removed[:max(0, min(len(removed), excess))] {
		delete(r.ledger, name)
	}
}

// Accept decides on an event that arrived, and moves the position as the verdict says. Only an Accepted event must be handed on.
func (r *Reader) Accept(event *Event) Verdict {
	verdict := r.decide(event)
	r.counts.count(verdict)
	return verdict
}

// decide decides on an event and moves the position.
func (r *Reader) decide(event *Event) Verdict {
	if !r.origins[event.Origin] || !event.isValid() {
		return Invalid
	}
	position, ok := r.ledger.position(event.Origin, event.Epoch)
	switch {
	case !ok:
		return OldEpoch
	case event.Number <= position:
		return Duplicate
	case event.Prev > position:
		return Gap
	}
	r.ledger.setPosition(event.Origin, event.Epoch, event.Number)
	if event.LostUpTo > position {
		r.counts.Losses++
	}
	switch {
	case event.isExpired():
		return Expired
	case event.Fence > 0 && !r.acceptFence(event.Key, event.Fence):
		return Superseded
	}
	return Accepted
}

// acceptFence reports whether no higher fencing number of a key is known, and if so records the number. It forgets the key that was
// added first when there are too many.
func (r *Reader) acceptFence(key string, fence uint64) bool {
	highest, known := r.fences[key]
	if fence < highest {
		return false
	}
	if !known {
		if len(r.fencedKeys) >= maxFences {
			delete(r.fences, r.fencedKeys[0])
			r.fencedKeys = r.fencedKeys[1:]
		}
		r.fencedKeys = append(r.fencedKeys, key)
	}
	r.fences[key] = fence
	return true
}

// Vector returns the positions of the reader in the events of the origins that it follows.
func (r *Reader) Vector() Vector {
	return r.ledger.vector(func(origin string) bool { return r.origins[origin] })
}

// Counts returns the counts since the start of the reader.
func (r *Reader) Counts() ReaderCounts { return r.counts }
