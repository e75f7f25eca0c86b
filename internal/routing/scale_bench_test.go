package routing

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// The costs of one director at the operators' plan for two years: 580 directors before 140 caches, 330,000 requests a second.
const (
	planDirectors = 580
	planCaches    = 140
	planRate      = 330_000.0 / planDirectors // requests a second of one director, on average
	planPurges    = 4.3                       // a second, each sent to every director
)

// every returns the time between two events of a rate a second.
func every(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// BenchmarkScaleDecision is a request from its arrival to its answer, with the period's share of diffusion, at the plan's
// rate. Each is for a segment not requested before, whose endpoints have to be ranked, two to an object; the table is as
// full as that makes it.
func BenchmarkScaleDecision(b *testing.B) {
	run := func(name string, directors, caches int) {
		b.Run(name, func(b *testing.B) {
			director := newListedDirector(directors, caches)
			step := every(planRate)
			now, due, id := time.Duration(0), diffusionPeriod, uint32(0)
			one := func() {
				id++
				serveHit(director, now, Request{ID: id, Object: uint64(id / 2), Segment: id % 2, Deadline: now + 4*time.Second})
				if now += step; now >= due {
					director.HandleTimer(now, 0)
					due += diffusionPeriod
				}
			}
			for now < objectIdleLimit+time.Second { // from here on as many leave the table as enter it
				one()
			}
			b.ReportAllocs()
			for b.Loop() {
				one()
			}
		})
	}
	for _, directors := range []int{36, 72, 145, 290, planDirectors} {
		run(fmt.Sprintf("directors=%d", directors), directors, planCaches)
	}
	for _, caches := range []int{20, 70, planCaches, 2 * planCaches} {
		run(fmt.Sprintf("caches=%d", caches), planDirectors, caches)
	}
}

// filledTable returns a director at the plan's size with so many objects of one document each in its table, ten of them
// hot, none of which is ever old enough to expire.
func filledTable(objects int) (director *Director, hot []*document) {
	const never = time.Duration(math.MaxInt64 / 2)
	director = newListedDirector(planDirectors, planCaches)
	for i := range objects {
		owner := director.object(uint64(i+1), 0)
		doc := director.document(owner, 0, false)
		owner.requests, owner.lastRequest, doc.lastRequest = 2, never, never
		director.preferenceOrder(doc)
		if i%(objects/10) == 0 && len(hot) < 10 {
			hot = append(hot, doc)
		}
	}
	return director, hot
}

// BenchmarkScaleTableRequest is a request for an object in the table, each in turn, from its arrival to its answer.
func BenchmarkScaleTableRequest(b *testing.B) {
	for _, objects := range []int{512, 2048, maxObjects} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			director, _ := filledTable(objects)
			now, id := time.Duration(0), uint32(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				serveHit(director, now, Request{ID: id, Object: uint64(int(id)%objects + 1), Class: 1, Deadline: now + 2*time.Second})
				now += every(planRate)
			}
			if len(director.placed) != objects {
				b.Fatalf("%d objects in the table, not %d", len(director.placed), objects)
			}
		})
	}
}

// BenchmarkScaleTablePeriod is one period over so many objects, ten of them hot: what expires, is measured and is shifted.
func BenchmarkScaleTablePeriod(b *testing.B) {
	for _, objects := range []int{512, 2048, maxObjects} {
		b.Run(fmt.Sprintf("objects=%d", objects), func(b *testing.B) {
			director, hot := filledTable(objects)
			now := time.Duration(0)
			requestsPerPeriod := planRate * diffusionPeriod.Seconds()
			b.ReportAllocs()
			for b.Loop() {
				director.requestRing.Add(now, requestsPerPeriod)
				for _, doc := range hot {
					doc.requests.Add(now, requestsPerPeriod/10)
					doc.order[0].served.Add(now, requestsPerPeriod/20)
				}
				director.HandleTimer(now, 0)
				now += diffusionPeriod
			}
			away := 0
			for _, doc := range hot {
				away += len(doc.spread)
			}
			if len(director.placed) != objects || away < len(hot) {
				b.Fatalf("%d objects in the table, not %d; %d shares of hot ones", len(director.placed), objects, away)
			}
			b.ReportMetric(float64(away)/float64(len(hot)), "shares/hot")
		})
	}
}

// newDirectorRemembering returns a director that remembers so many purges when they come at the plan's rate.
func newDirectorRemembering(kept int) *Director {
	settings := testSettings()
	settings.PurgeRetention = time.Duration(float64(kept)/planPurges*float64(time.Second)) - purgeMargin
	return New(settings, discardExecutor{})
}

// BenchmarkScalePurges is one second of purges at the plan's rate, with two periods that drop old ones,
// while so many are remembered: 30 with a retention of 6 s, 15,480 with one of an hour.
func BenchmarkScalePurges(b *testing.B) {
	for _, kept := range []int{16, 30, 64, 256, 1024, 4096, 15480} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			now, object, due := time.Duration(0), uint64(0), 0.0
			second := func(director *Director) {
				for range 2 {
					for due += planPurges / 2; due >= 1; due-- {
						object++
						director.HandlePurge(now, 0, hash(object), 0)
					}
					now += diffusionPeriod
					director.HandleTimer(now, 0)
				}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			director := newDirectorRemembering(kept)
			for range 2*int(float64(kept)/planPurges) + 2 { // over twice the time: the map is as large as it gets
				second(director)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				second(director)
			}
			if math.Abs(float64(len(director.objectPurges)-kept)) > 2*planPurges {
				b.Fatalf("%d purges kept, not %d", len(director.objectPurges), kept)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-kept")
		})
	}
}

// BenchmarkScaleOut is a request that comes while so many others are in flight, none of the same object, and the answer to
// the one that has been in flight for longest.
func BenchmarkScaleOut(b *testing.B) {
	for _, many := range []int{16, 64, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("out=%d", many), func(b *testing.B) {
			director := newListedDirector(planDirectors, 4)
			director.linkLimit.max = 1e9
			for _, cache := range director.caches {
				cache.limit.max = 1e9
			}
			now, id := time.Duration(0), uint32(0)
			sendRequest := func() {
				id++
				director.HandleRequest(now, Request{ID: id, Object: uint64(id%maxObjects + 1), Class: 1, Deadline: now + time.Hour})
			}
			for range maxObjects { // all are known from here on
				sendRequest()
				director.HandleOutcome(now, id, Outcome{Duration: 5 * ms, Fill: CacheHit, Final: true})
			}
			for range many {
				sendRequest()
				now += every(planRate)
			}
			if len(director.inFlight) != many {
				b.Fatalf("%d are out, not %d", len(director.inFlight), many)
			}
			b.ReportAllocs()
			for b.Loop() {
				sendRequest()
				director.HandleOutcome(now, id-uint32(many), Outcome{Duration: 5 * ms, Fill: CacheHit, Final: true})
				now += every(planRate)
			}
			if len(director.inFlight) != many {
				b.Fatalf("%d are out, not %d", len(director.inFlight), many)
			}
		})
	}
}
