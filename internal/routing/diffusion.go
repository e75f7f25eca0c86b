package routing

// Diffusion: how the load of hot documents is spread from their home to the location's other caches (WebWave).
//
// It decides the share of each hot document's requests that each cache receives. It runs once per period. It guards against a
// hot object that overloads one cache while its peers are idle.

import (
	"math"
	"slices"
	"time"
)

const (
	diffusionPeriod = 500 * time.Millisecond // long enough for each cache to get some requests within a period
	loadBucketWidth = 500 * time.Millisecond // load is counted over loadBuckets buckets of this width: long compared with
	loadBuckets     = 4                      // single requests, short compared with the time for which an object stays hot
	hotRequestShare = 0.04                   // a document is hot if it has more than this share of the director's requests
	minHotRequests  = 4                      // and more than this number of requests, because fewer may come from a single client
	noiseDeviations = 2                      // load is shifted only if the gap exceeds this many standard deviations of the counts
	minSpread       = 0.5                    // minimum share of a hot document outside its home, so that two caches share its load equally
	minSpreadShare  = 0.01                   // a smaller share of one cache returns to the home
)

// HotWindow is the time over which requests are counted for IsHot.
const HotWindow = 2 * loadBuckets * loadBucketWidth

// MinSpread is the minimum share of a hot document's requests that goes to caches other than its home, regardless of load.
const MinSpread = minSpread

// IsHot reports whether a document is hot and is therefore served by at least two caches. The arguments are the requests for
// the document and all requests, both counted by one director within HotWindow.
func IsHot(requests, total float64) bool {
	return requests > max(minHotRequests, hotRequestShare*total)
}

// spreadShare is the share of a document's requests that goes to one cache other than its home.
type spreadShare struct {
	endpoint *endpoint
	fraction float64 // 0 to 1
}

// diffuse runs the work of one period: it drops idle records, updates the warm rates, and shifts the load of hot documents
// between each home and the location's other caches according to the difference of their loads.
func (d *Director) diffuse(now time.Duration) {
	d.expireObjects(now)
	d.measureWarmRates(now)
	allHot := d.hotDocuments(now)
	for _, home := range d.caches {
		hot := documentsAtHome(home, allHot)
		if len(hot) == 0 || home.ejectedUntil > now {
			continue
		}
		for _, other := range d.caches {
			if other != home && other.ejectedUntil <= now {
				d.balance(now, home, other, hot)
			}
		}
	}
	for _, doc := range allHot {
		d.memory.recount(doc)
	}
}

// hotDocuments returns the hot documents in the order of the object table. A document that has just become hot gets a share of
// minSpread at the second cache of its preference order. A document that is not hot loses its shares.
func (d *Director) hotDocuments(now time.Duration) (hot []*document) {
	total := d.requestRing.Sum(now)
	for doc := range d.allDocuments() {
		if !IsHot(doc.requests.Sum(now), total) || len(d.preferenceOrder(doc)) < 2 {
			doc.spread = nil
			d.memory.recount(doc)
			continue
		}
		if len(doc.spread) == 0 {
			doc.spread = []spreadShare{{doc.order[1], minSpread}}
		}
		hot = append(hot, doc)
	}
	return hot
}

// documentsAtHome returns the documents whose home is a cache.
func documentsAtHome(home *endpoint, docs []*document) (atHome []*document) {
	for _, doc := range docs {
		if doc.order[0] == home {
			atHome = append(atHome, doc)
		}
	}
	return atHome
}

// balance shifts part of the load of a home's hot documents to another cache, or back, if their loads differ by more than
// random variation.
func (d *Director) balance(now time.Duration, home, other *endpoint, hot []*document) {
	atHome, atOther := 0.0, 0.0 // requests per second for the hot documents
	for _, doc := range hot {
		rate := doc.requests.Rate(now)
		atHome += rate * (1 - doc.spreadAt(nil))
		atOther += rate * doc.spreadAt(other)
	}
	gap := d.loadGap(now, home, other)
	shift, available := min(atHome, gap), atHome
	if gap < 0 {
		shift, available = -min(atOther, -gap), atOther
	}
	if available <= 0 {
		return
	}
	for _, doc := range hot {
		doc.shiftSpread(other, shift/available)
	}
}

// loadGap returns how many requests per second should move from home to other. A negative number means that they should move
// back. It is the difference of the loads relative to the capacities, reduced by noiseDeviations standard deviations and
// multiplied by WebWave's alpha.
func (d *Director) loadGap(now time.Duration, home, other *endpoint) float64 {
	alpha := 1 / float64(1+len(d.caches))
	both := 2 * home.capacity * other.capacity / (home.capacity + other.capacity)
	gap := (home.served.Rate(now)/home.capacity - other.served.Rate(now)/other.capacity) * both
	variance := home.served.Sum(now)/home.capacity/home.capacity + other.served.Sum(now)/other.capacity/other.capacity
	noise := math.Sqrt(variance) * both / home.served.Span().Seconds()
	return alpha * math.Copysign(max(0, math.Abs(gap)-noiseDeviations*noise), gap)
}

// spreadAt returns the share of one cache other than the home. If cache is nil, it returns the sum of all such shares.
func (doc *document) spreadAt(cache *endpoint) (sum float64) {
	for _, share := range doc.spread {
		if cache == nil || share.endpoint == cache {
			sum += share.fraction
		}
	}
	return sum
}

// addSpread increases the share of a cache and so decreases the home's share.
func (doc *document) addSpread(cache *endpoint, by float64) {
	at := slices.IndexFunc(doc.spread, func(share spreadShare) bool { return share.endpoint == cache })
	if at >= 0 {
		doc.spread[at].fraction += by
	} else {
		doc.spread = append(doc.spread, spreadShare{cache, by})
	}
}

// dropSpread returns the share of a cache to the home.
func (doc *document) dropSpread(cache *endpoint) {
	doc.spread = slices.DeleteFunc(doc.spread, func(share spreadShare) bool { return share.endpoint == cache })
}

// shiftSpread moves a fraction of the home's share to a cache. A negative fraction moves that part of the cache's share back to
// the home. At least minSpread stays outside the home.
func (doc *document) shiftSpread(cache *endpoint, fraction float64) {
	by := fraction * (1 - doc.spreadAt(nil))
	if fraction < 0 {
		by = fraction * doc.spreadAt(cache)
	}
	doc.addSpread(cache, by)
	doc.spread = slices.DeleteFunc(doc.spread, func(share spreadShare) bool { return share.fraction < minSpreadShare })
	if lack := minSpread - doc.spreadAt(nil); lack > 0 {
		doc.addSpread(doc.order[1], lack)
	}
}
