package emulator

import (
	"context"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/msgpack"
)

// A director stalls for a second. Latency counts from intended times, so the longest latency shows the complete stall. Requests
// are sent on time during the stall.
func TestLatencyCountsFromIntendedTimes(t *testing.T) {
	const (
		object      = 7
		span        = 2 * time.Second
		interval    = 10 * time.Millisecond // between requests
		stallLength = time.Second
	)
	fleet, description := startFleet(t)
	size := description.Classes[pageClass].SizeOf(object, 0)
	stallBegin := time.Now().Add(500 * time.Millisecond)
	addFakeDirector(t, fleet, func(request *msgpack.Message) []byte {
		if time.Now().After(stallBegin) {
			time.Sleep(time.Until(stallBegin.Add(stallLength)))
		}
		return success(request.ID, make([]byte, size))
	})
	var requests []capacity.Request
	for at := time.Duration(0); at < span; at += interval {
		requests = append(requests, capacity.Request{At: at, Object: object, Bytes: int32(size)})
	}
	load := fleet.NewLoad(requests, 0, span)
	result := load.Run(context.Background(), nil)

	// The latency objective is 500 ms, so the requests of the first half of the stall are late: 50 of them.
	if late := result.Classes[pageClass].Late; late < 40 || late > 60 {
		t.Errorf("%d requests were late, want 40 to 60", late)
	}
	if longest := time.Duration(load.Latency(pageClass).Max()) * time.Microsecond; longest < 900*time.Millisecond {
		t.Errorf("the longest latency is %v, want at least 900 ms", longest)
	}
	if lateness := load.Lateness(); lateness > 100*time.Millisecond {
		t.Errorf("requests were sent %v late, want at most 100 ms", lateness)
	}
}
