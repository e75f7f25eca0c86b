package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest is a request from its arrival to its answer, with the period's share of diffusion, at 100 requests a second,
// each for a segment not requested before, whose endpoints have to be ranked.
func BenchmarkRequest(b *testing.B) {
	for _, directors := range []int{1, 20, 300} {
		for _, caches := range []int{4, 200} {
			b.Run(fmt.Sprintf("directors=%d/caches=%d", directors, caches), func(b *testing.B) {
				director := newListedDirector(directors, caches)
				now := time.Duration(0)
				b.ReportAllocs()
				for i := range b.N {
					id := uint32(i + 1)
					serveHit(director, now, Request{ID: id, Object: uint64(i / 2), Segment: uint32(i % 2), Deadline: now + 4*time.Second})
					if now += 10 * ms; i%50 == 0 {
						director.HandleTimer(now, 0)
					}
				}
			})
		}
	}
}
