package routing

import (
	"testing"
	"time"
)

// TestUnexplainedRejectTriggersSourceHealthCheck rejects a fill while answers do not state why a fill failed, so the cache or
// its source may be the cause. The source must be health checked. A source that refuses the connection is dead: it must be
// ejected and begin a slow start. No health check may be sent if health checks are not allowed or if answers state the reason.
func TestUnexplainedRejectTriggersSourceHealthCheck(t *testing.T) {
	for _, test := range []struct {
		name               string
		healthChecks       bool // health checks are allowed
		fillFaultsReported bool
		want               int // number of health checks
	}{
		{name: "allowed", healthChecks: true, want: 1},
		{name: "not allowed", want: 0},
		{name: "answers state the reason", healthChecks: true, fillFaultsReported: true, want: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			site := newManualSite(t, 4)
			site.director.settings.healthChecks = test.healthChecks
			site.director.settings.fillFaultsReported = test.fillFaultsReported
			site.run(time.Second)
			site.serve(segmentedClass, 1, 5*ms, Outcome{Result: Rejected})
			if got := len(site.healthChecks); got != test.want {
				t.Fatalf("got %d health checks, want %d", got, test.want)
			}
			if test.want == 0 {
				return
			}
			parent := site.director.endpoints[site.healthChecks[0]]
			site.director.HandleHealthCheck(site.now, parent.id, Served)
			if parent.ejectedUntil > site.now || !site.director.isWarm(site.now, parent) {
				t.Error("running parent was ejected or began a slow start, want neither")
			}
			site.director.HandleHealthCheck(site.now, parent.id, ConnectFailed)
			if parent.ejectedUntil <= site.now || site.director.isWarm(site.now, parent) {
				t.Error("dead parent was not ejected or began no slow start, want both")
			}
			site.director.HandleHealthCheck(site.now, 999, ConnectFailed) // an endpoint that is no longer known
		})
	}
}

// TestUnexplainedRejectsLimitFillsToCachedCopies rejects fills without a reason while their parents are running. The same share
// of later fills must request only cached copies from parents. A dead parent must not have this effect, because it says nothing
// about the origin behind it.
func TestUnexplainedRejectsLimitFillsToCachedCopies(t *testing.T) {
	for _, test := range []struct {
		name   string
		result Result // result of the health checks
		spare  bool   // later fills avoid the origin
	}{
		{name: "running source", result: Served, spare: true},
		{name: "dead source", result: ConnectFailed, spare: false},
		{name: "no answer", result: TimedOut, spare: false},
	} {
		t.Run(test.name, func(t *testing.T) {
			site := newManualSite(t, 4)
			site.director.settings.healthChecks = true
			cachedOnly := 0
			for object := range uint64(60) {
				site.serve(segmentedClass, 1+object, 5*ms, Outcome{Result: Rejected})
				for _, parent := range site.healthChecks {
					site.director.HandleHealthCheck(site.now, parent, test.result)
				}
				site.healthChecks = nil
				site.run(site.now + 300*ms)
				for _, parent := range site.director.parents {
					parent.ejectedUntil = 0
				}
				site.director.retryBudget = newRetryBudget()
				if site.sendRequest(segmentedClass, 10000+object, 0); site.lastOrder.OnlyIfCached {
					cachedOnly++
				}
				site.endAll(0, 0, Filled)
			}
			if test.spare && cachedOnly < 10 {
				t.Errorf("%d of 60 fills requested only cached copies, want at least 10", cachedOnly)
			}
			if !test.spare && cachedOnly > 0 {
				t.Errorf("%d of 60 fills requested only cached copies, want 0", cachedOnly)
			}
		})
	}
}

// TestUnexplainedRejectShareDecaysWithoutCacheStatus serves answers without a cache status. Those that were probably fills must
// lower the share of rejected fills. Otherwise fills would avoid the origin forever after one burst of rejected fills.
func TestUnexplainedRejectShareDecaysWithoutCacheStatus(t *testing.T) {
	site := newManualSite(t, 4)
	site.director.unexplainedRejectShare = 0.9
	for object := range uint64(400) {
		site.serve(segmentedClass, 20000+object, 5*ms, Outcome{Result: Served})
		site.run(site.now + 50*ms)
	}
	if site.director.unexplainedRejectShare > unexplainedRejectLimit {
		t.Errorf("share of rejected fills after 400 answers: got %.2f, want at most %.2f",
			site.director.unexplainedRejectShare, unexplainedRejectLimit)
	}
}

// TestPeerHealthReports has peers report endpoints. An endpoint that is unresponsive and has not answered since must be
// ejected, and a sign of life must end the ejection. A report about an earlier start must be ignored. If all caches are
// reported at once, most of them must stay in rotation.
func TestPeerHealthReports(t *testing.T) {
	site := newManualSite(t, 6)
	site.run(site.now + time.Second)
	reported := site.director.endpoints[10]
	reportUnresponsive := func(node uint32, startedAt, seenAt time.Duration) {
		site.director.HandlePeerHealth(site.now, node, startedAt, false, seenAt)
	}

	reportUnresponsive(10, 0, site.now-100*ms)
	site.failIf(site.ejectedCaches() != 1, "%d caches ejected after a report, want 1", site.ejectedCaches())
	site.failIf(!reported.onProbation, "reported cache not on probation, want probation")

	site.run(site.now + 100*ms)
	site.director.HandlePeerHealth(site.now, 10, 0, true, site.now)
	site.failIf(site.ejectedCaches() != 0, "%d caches ejected after the recovery, want 0", site.ejectedCaches())
	site.failIf(!reported.onProbation, "recovered cache not on probation, want probation")

	site.run(site.now + 100*ms)
	reported.recordAlive(site.now)
	reportUnresponsive(10, 0, site.now-50*ms)
	site.failIf(site.ejectedCaches() != 0, "cache ejected by a report older than its last answer")

	site.updateEndpoints(false, Endpoint{Node: 11, State: Ready, Zone: 1, StartKnown: true, StartedAt: site.now})
	reportUnresponsive(11, 0, site.now)
	site.failIf(site.ejectedCaches() != 0, "cache ejected by a report about an earlier start")

	site.run(site.now + time.Second)
	for node := uint32(10); node < 16; node++ {
		reportUnresponsive(node, site.now, site.now)
	}
	site.failIf(site.ejectedCaches() < 2 || site.ejectedCaches() > 3,
		"%d of 6 caches ejected by peer reports, want 2 or 3", site.ejectedCaches())

	reportUnresponsive(99, 0, site.now)
	site.failIf(site.director.endpoints[99] != nil, "record created for an unknown endpoint")
}

// TestHealthCheckWithoutResult checks that a health check that was not sent because of a local error changes nothing and does
// not block the next one.
func TestHealthCheckWithoutResult(t *testing.T) {
	site := newManualSite(t, 4)
	site.director.settings.healthChecks, site.director.settings.fillFaultsReported = true, false
	for number := range 3 {
		site.run(site.now + time.Second)
		site.serve(segmentedClass, uint64(1+number), 5*ms, Outcome{Result: Rejected})
		if len(site.healthChecks) != number+1 {
			t.Fatalf("got %d health checks after %d rejections, want one per rejection", len(site.healthChecks), number+1)
		}
		parent := site.director.endpoints[site.healthChecks[number]]
		before := stateOf(parent, site.now)
		site.director.HandleHealthCheck(site.now, parent.id, LocalError)
		if got := stateOf(parent, site.now); got != before || site.director.unexplainedRejectShare > 0 || parent.unexplainedRejects > 0 {
			t.Errorf("state after the health check: got %+v, want %+v; share of rejected fills %g and %g unexplained rejections, want 0",
				got, before, site.director.unexplainedRejectShare, parent.unexplainedRejects)
		}
	}
	parent := site.director.endpoints[2] // a lost result must not block the next health check
	site.director.requestHealthCheck(site.now+time.Second, parent)
	site.director.requestHealthCheck(site.now+time.Second+healthCheckInterval, parent)
	site.failIf(len(site.healthChecks) != 5, "got %d health checks, want 5", len(site.healthChecks))
}
