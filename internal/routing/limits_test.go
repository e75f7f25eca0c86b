package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// TestHitsOfUnknownCopiesUseLittleLinkLimit has a director without known copies, for example after its start. It must detect
// that most attempts are hits, and these must use little of the link limit.
func TestHitsOfUnknownCopiesUseLittleLinkLimit(t *testing.T) {
	for _, test := range []struct {
		name             string
		fill             Fill // cache status of the earlier answers
		wantMin, wantMax int  // number of the next 60 attempts that may fill
	}{
		{name: "hits", fill: CacheHit, wantMin: 60, wantMax: 60},
		{name: "fills", fill: Filled, wantMin: 0, wantMax: 47},
	} {
		t.Run(test.name, func(t *testing.T) {
			site := newManualSite(t, 4)
			for object := range uint64(60) {
				site.serve(segmentedClass, 1000+object, 100*ms, Outcome{Fill: test.fill})
			}
			site.director.linkLimit = concurrencyLimit{max: 24, lateSeen: true}
			for object := range uint64(60) {
				site.sendRequest(segmentedClass, 2000+object, 0)
			}
			filling := 0
			for _, open := range site.director.inFlight {
				if !open.hitExpected {
					filling++
				}
			}
			site.failIf(filling < test.wantMin || filling > test.wantMax,
				"%d attempts may fill, want %d to %d attempts", filling, test.wantMin, test.wantMax)
		})
	}
}

// TestInitialLimitDividedAmongDirectors checks that a single director starts with the whole limit of a link, because empty
// caches must be filled. Each of many directors must start with so little that together they do not overload the source before
// the first late answer.
func TestInitialLimitDividedAmongDirectors(t *testing.T) {
	for directorsInZone, want := range map[int]float64{1: initialLinkLimit, 4: initialLinkLimit / 4, 12: minInitialLimit, 300: minInitialLimit} {
		t.Run(fmt.Sprintf("%d directors", directorsInZone), func(t *testing.T) {
			settings := testSettings()
			settings.DirectorsInZone = directorsInZone
			if got := New(settings, newTestSite(1, 1)).linkLimit.max; got != want {
				t.Errorf("initial link limit: got %.2f, want %.2f", got, want)
			}
		})
	}
}

// TestLimitGrowsQuicklyUntilFirstLateAnswer checks that a limit, which is a guess after the start, grows by one with each
// answer in time until the first late answer, and by far less afterwards.
func TestLimitGrowsQuicklyUntilFirstLateAnswer(t *testing.T) {
	site := newManualSite(t, 3)
	limit := concurrencyLimit{max: 12}
	growthByTenInTime := func() float64 {
		before := limit.max
		for range 10 {
			site.director.adjustLimit(&limit, limit.max, true, 1)
		}
		return limit.max - before
	}
	beforeLate := growthByTenInTime()
	site.failIf(beforeLate < 10, "limit grew by %.1f before a late answer, want at least 10", beforeLate)

	site.director.adjustLimit(&limit, limit.max, false, 1)
	afterLate := growthByTenInTime()
	site.failIf(afterLate > 1, "limit grew by %.1f after a late answer, want at most 1", afterLate)

	site.director.lateFraction = 0
	for range 10 {
		growthByTenInTime()
	}
	afterManyInTime := growthByTenInTime()
	site.failIf(afterManyInTime < 2*afterLate,
		"limit grew by %.2f after 100 answers in time, want at least twice %.2f", afterManyInTime, afterLate)

	ejected := site.director.caches[0]
	site.director.eject(site.now, ejected)
	site.failIf(ejected.limit.lateSeen, "lateSeen set for an ejected cache, want reset")
}

// TestLimitBelowOneAdmitsByProbability has many directors share a limit. Overload lowers a director's part below one, and from
// then on the part is the probability of admission.
func TestLimitBelowOneAdmitsByProbability(t *testing.T) {
	site := newManualSite(t, 3)
	site.settings.DirectorsInZone = 20
	site.director = New(site.settings, site)
	limit, admitted := concurrencyLimit{max: 1, lateSeen: true}, 0
	site.director.adjustLimit(&limit, 0, false, 1)
	first := limit.max
	for range 40 {
		site.director.adjustLimit(&limit, 0, false, 1)
	}
	low := limit.max
	for range 200 {
		site.director.adjustLimit(&limit, 0, true, 1)
	}
	if first < 0.5 {
		t.Errorf("limit after one late answer: got %.2f, want at least 0.5", first)
	}
	if low >= first || low <= 0 {
		t.Errorf("limit after 40 more late answers: got %.2f, want between 0 and %.2f", low, first)
	}
	if limit.max < 1 {
		t.Errorf("limit after 200 answers in time: got %.2f, want at least 1", limit.max)
	}
	for i := range uint64(1000) {
		if admits(0, 0.3, hash(i)) {
			admitted++
		}
	}
	if admitted < 250 || admitted > 350 {
		t.Errorf("limit of 0.3 admitted %d of 1000 attempts, want 250 to 350", admitted)
	}
	if admits(1, 0.9, 0) {
		t.Error("limit of 0.9 with 1 attempt in flight admitted one more")
	}
	if !admits(1, 2, 0) {
		t.Error("limit of 2 with 1 attempt in flight admitted none")
	}
}

// TestHungParentDoesNotLowerLinkLimit has a parent that never answers fills. That says nothing about the link, so fills from
// other parents must keep the link limit. The parent must be ejected for longer each time an attempt on probation fails.
func TestHungParentDoesNotLowerLinkLimit(t *testing.T) {
	site := newManualSite(t, 4)
	limitBefore, ejections := site.director.linkLimit.max, []time.Duration{}
	parent, lastEjection := site.director.endpoints[2], time.Duration(0)
	for object := uint64(1); object < 4000 && len(ejections) < 3; object++ {
		site.sendRequest(segmentedClass, object, 0)
		site.run(site.now + 20*ms)
		for id := range site.nextID {
			for n, sent := range site.requests[id+1].attempts {
				if sent.source != parent.id && site.now-sent.at >= 60*ms {
					site.endAttempt(id+1, Outcome{Attempt: n, Fill: Filled})
				}
			}
		}
		if parent.ejectedUntil > site.now && parent.ejectedUntil != lastEjection {
			lastEjection = parent.ejectedUntil
			ejections = append(ejections, parent.ejectionTime)
		}
	}
	if limit := site.director.linkLimit.max; limit < limitBefore {
		t.Errorf("link limit: got %.1f, want at least %.1f", limit, limitBefore)
	}
	if want := []time.Duration{baseEjectionTime, 2 * baseEjectionTime, 4 * baseEjectionTime}; !slices.Equal(ejections, want) {
		t.Errorf("ejection times: got %v, want %v", ejections, want)
	}
}

// TestSharedLimitGrowsLikeSingleLimit checks that directors that share an endpoint raise its joint limit as much as a single
// director does with the same answers. Each director has a part of the limit and receives a part of the answers.
func TestSharedLimitGrowsLikeSingleLimit(t *testing.T) {
	joint := func(directors int) float64 {
		settings := testSettings()
		settings.DirectorsInZone, settings.Directors = directors, directors
		sum := 0.0
		for range directors {
			director := New(settings, &testSite{})
			limit := &concurrencyLimit{max: 24 / float64(directors), lateSeen: true}
			for range 200 / directors {
				director.adjustLimit(limit, limit.max, true, 1)
			}
			sum += limit.max
		}
		return sum
	}
	want := joint(1)
	for _, directors := range []int{2, 5, 10} {
		if got := joint(directors); math.Abs(got-want) > want/10 {
			t.Errorf("joint limit of %d directors: got %.1f, want about %.1f as with a single director", directors, got, want)
		}
	}
}

// TestLargeAnswersDoNotCountAsOverload sends large answers that take long. If their size is reported, the limits must be
// unchanged, the cache must not count as slow, and later answers must be expected to take as long. Without the size, each such
// answer lowers the link limit.
func TestLargeAnswersDoNotCountAsOverload(t *testing.T) {
	for _, sizeReported := range []bool{true, false} {
		t.Run(fmt.Sprintf("size reported %v", sizeReported), func(t *testing.T) {
			site := newManualSite(t, 3)
			site.director.lateFraction = 0.2
			for object := range uint64(12) {
				outcome := Outcome{Result: Served, Fill: Filled, Duration: 1300 * ms}
				if sizeReported {
					outcome.SendTime = 900 * ms // the latency objective is 400 ms plus twice this
				}
				site.serve(segmentedClass, 1+object, 1300*ms, outcome)
			}
			if unchanged := site.director.linkLimit.max >= initialLinkLimit; unchanged != sizeReported {
				t.Errorf("size reported %v: link limit %.1f, want unchanged only if reported", sizeReported, site.director.linkLimit.max)
			}
			if class := site.director.classes[segmentedClass]; sizeReported && (class.minSendTime < 800*ms || class.sendTime < 800*ms) {
				t.Errorf("expected sending time of answers that take 900 ms: got %v, want at least 800 ms", class.minSendTime)
			}
			slow := false
			for _, cache := range site.director.caches {
				slow = slow || site.director.latencyInflation(cache) > maxInflationRatio
			}
			if sizeReported && slow {
				t.Error("cache counts as slow because of large answers")
			}
		})
	}
}

// TestCostlyRequestsAreRejectedFirst has classes whose objectives are all many times the sending time. A request that costs
// more relative to its value must still have a lower limit.
func TestCostlyRequestsAreRejectedFirst(t *testing.T) {
	site := newManualSite(t, 3)
	site.director.classes[segmentedClass].ObjectiveStretch, site.director.classes[freshClass].ObjectiveStretch = 0, 0
	for i, send := range []time.Duration{40 * ms, 7 * ms} { // the objectives are 400 and 250 ms: 10 and 36 times the sending time
		site.director.classes[i].sendTime, site.director.classes[i].minSendTime = send, send
	}
	slack := func(classIndex int) float64 {
		return site.director.objectiveSlack(site.director.requests[site.sendRequest(classIndex, uint64(70+classIndex), 0)])
	}
	if large, small := slack(0), slack(1); small < 0.99*maxObjectiveSlack || large > small/2 {
		t.Errorf("slack %.2f for answers of 40 ms and %.2f for answers of 7 ms, want at most half of the latter, and %.2f",
			large, small, maxObjectiveSlack)
	}
}
