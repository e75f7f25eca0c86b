package main

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/msgpack"
)

// The group that the cases purge, and how many of its objects the clients ask for.
const (
	purgedGroup   = 17
	purgedObjects = 6
)

// groupClips returns the requests of a steady load for parts of the objects of purgedGroup.
func groupClips(i int) msgpack.Message {
	return clip(objectID(i%purgedObjects), fmt.Sprint(i/purgedObjects%3), fmt.Sprint(purgedGroup))
}

// tellPurge purges purgedGroup in the journal service now. It returns the purge's stamp in Unix milliseconds.
func (s *stage) tellPurge() int64 {
	stamp := time.Now().UnixMilli()
	at := s.journal.tell(discovery.Event{Purge: &discovery.Purge{Group: purgedGroup, StampUnix: stamp}})
	s.record.lineAt(at, "journal: purge of group %d, stamp %d", purgedGroup, stamp)
	return stamp
}

// dropOlder makes all nodes drop the copies from before a Unix millisecond. They do so by themselves within purgeDone of a purge.
func (s *stage) dropOlder(than int64) {
	s.record.line("nodes: older copies than %d are dropped", than)
	for _, known := range s.nodes {
		known.mu.Lock()
		for key, fetched := range known.copies {
			if fetched < than {
				delete(known.copies, key)
			}
		}
		known.mu.Unlock()
	}
}

// oldCopies returns the requests that were answered from a copy older than a purge, although they were sent after a limit. It
// returns an error if no copy was served before the purge.
func (s *stage) oldCopies(calls []*call, stamp int64, limit time.Time) (broken []string, err error) {
	s.record.line("answers from copies older than the purge break the rule if their requests were sent later than %s",
		s.record.since(limit))
	arrived := map[string]time.Time{}
	for _, asked := range s.arrivals() {
		arrived[asked.ID] = asked.at
	}
	before := 0
	for _, sent := range calls {
		select {
		case <-sent.done:
		default:
			continue
		}
		if !sent.served() {
			continue
		}
		if sent.endedAt.UnixMilli() < stamp {
			before++
		}
		copyAt := copyOf(sent.response.Body, sent.message.Object, sent.message.Part)
		if at := arrived[sent.message.RequestID]; at.After(limit.Add(onTheWay)) && copyAt < stamp {
			broken = append(broken, fmt.Sprintf("request %s reached its cache at %s and was answered from a copy %.3f s older than the purge",
				sent.message.RequestID, s.record.since(at), float64(stamp-copyAt)/1000))
		}
	}
	s.recordEnds(calls)
	if before == 0 {
		return broken, fmt.Errorf("no copy was served before the purge")
	}
	return broken, nil
}

// copyOf returns the Unix millisecond that bodyOf wrote, or 0 if the bytes are not those of the object's part.
func copyOf(body []byte, object, part string) int64 {
	var gotObject, gotPart string
	var fetched int64
	if _, err := fmt.Sscanf(string(body), "%s %s %d", &gotObject, &gotPart, &fetched); err != nil {
		return 0
	}
	if gotObject != object || gotPart != part || len(body) != bodyBytes {
		return 0
	}
	return fetched
}
