package capacity

// Extraction of the demand from a capture of a director.

import (
	"fmt"
	"math"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/topology"
)

const (
	// minDemandSpan is the shortest span of a demand. The rate of a shorter demand would be meaningless.
	minDemandSpan = time.Second

	// retryTolerance is the time after the end of Retry-After in which a request still counts as a retry.
	retryTolerance = 250 * time.Millisecond
)

// DemandFromCapture returns the demand in a capture. It leaves out retries. A request is a retry if an earlier request for the
// same part was rejected and the time between them is at most the time that clients of the topology wait for a retry.
// DemandFromCapture fails if the capture has no request of the topology's request classes and zones, or spans less than
// minDemandSpan.
func DemandFromCapture(network *topology.Topology, captured *capture.Capture) (*Demand, error) {
	demand := &Demand{Excluded: map[string]int{}}
	if captured.Report.CPU > 0 && len(captured.Rows) > 0 {
		demand.CPUPerRequest = captured.Report.CPU / time.Duration(len(captured.Rows))
	}
	reader := newCaptureReader(network, captured, demand)
	for i := range captured.Rows {
		reader.read(&captured.Rows[i])
	}
	if len(demand.Requests) == 0 {
		return nil, fmt.Errorf("the capture has no request for a vhost and zone of this fleet (%d rows, %v)", captured.Report.Rows, demand.Excluded)
	}
	reader.finish()
	if demand.Span < minDemandSpan {
		return nil, fmt.Errorf("the capture spans %v, which is too short to compute a rate", demand.Span)
	}
	return demand, nil
}

// captureReader adds the rows of a capture to a demand. The caller must call read for each row in order, and then finish.
type captureReader struct {
	network   *topology.Topology
	capture   *capture.Capture
	demand    *Demand
	classes   []int         // index in the topology of each class of the capture; -1: the topology does not have the class
	zones     []int         // index in the topology of each zone of the capture; -1: the topology does not have the zone
	retryWait time.Duration // longest time between a rejection and its retry
	sizes     map[Part]int32
	rejected  map[Part][]rejection // rejections that may still be retried, in the order of arrival
}

// rejection is a rejected request that its client may retry.
type rejection struct {
	until   time.Duration // time after which a request is not a retry of this one
	retries int           // number of retries that the client had made, this request included
}

// newCaptureReader returns a reader that maps the request classes and zones of a capture to those of a topology by name.
func newCaptureReader(network *topology.Topology, captured *capture.Capture, demand *Demand) *captureReader {
	longestRetryAfter := max(network.Directors.MaxRetryAfter.Duration(), network.Clients.RetryAfter.Duration())
	return &captureReader{
		network:   network,
		capture:   captured,
		demand:    demand,
		classes:   indexesByName(captured.Classes, len(network.Classes), func(i int) string { return network.Classes[i].Name }),
		zones:     indexesByName(captured.Zones, len(network.Zones), func(i int) string { return network.Zones[i].Name }),
		retryWait: longestRetryAfter + retryTolerance,
		sizes:     map[Part]int32{},
		rejected:  map[Part][]rejection{},
	}
}

// read adds one row to the demand, or counts the reason for which the row is excluded.
func (c *captureReader) read(row *capture.Row) {
	class, zone := c.classes[row.Class], c.zones[row.Zone]
	switch {
	case class < 0:
		c.demand.Excluded["rows of vhost "+c.capture.Classes[row.Class]+", which the fleet lacks"]++
		return
	case zone < 0:
		c.demand.Excluded["rows of zone "+c.capture.Zones[row.Zone]+", which the fleet lacks"]++
		return
	}
	part := Part{row.Object, row.Part, int16(class)}
	c.recordSize(part, row)
	if c.recordRetry(part, row) {
		c.demand.Excluded["retries of rejected requests, which are not part of the demand"]++
		return
	}
	c.demand.Requests = append(c.demand.Requests, Request{
		At:     row.At,
		Object: row.Object,
		Part:   row.Part,
		Group:  row.Group,
		Class:  int16(class),
		Zone:   int16(zone),
	})
}

// finish sets the span and the sizes, and makes the arrival times relative to the first arrival. The demand must have at least
// one request.
func (c *captureReader) finish() {
	requests := c.demand.Requests
	first := requests[0].At
	for i := range requests {
		request := &requests[i]
		request.At -= first
		request.Bytes = c.sizes[Part{request.Object, request.Part, request.Class}]
		if request.Bytes == 0 {
			request.Bytes = int32(c.network.Classes[request.Class].SizeOf(request.Object, request.Part))
			c.demand.SizesEstimated++
		}
	}
	c.demand.Span = requests[len(requests)-1].At
}

// recordSize records the size of a response. The size is unknown if the response has no body, because either the client's copy
// was still valid or the object is empty.
func (c *captureReader) recordSize(part Part, row *capture.Row) {
	if row.Disposition != director.Served {
		return
	}
	if row.ResponseBytes > 0 {
		c.sizes[part] = int32(min(row.ResponseBytes, math.MaxInt32))
		return
	}
	sizeUnknown := c.sizes[part] == 0
	if sizeUnknown && !c.network.Classes[part.Class].Write {
		c.demand.Excluded["responses without a body: the client's copy was valid, or the object is empty"]++
	}
}

// recordRetry reports whether a row is a retry of a rejected request. If the request of the row was rejected too, recordRetry
// records the rejection, because a retry may follow.
func (c *captureReader) recordRetry(part Part, row *capture.Row) bool {
	retries := c.takeRejection(part, row)
	if row.Disposition == director.Rejected && retries < c.network.Clients.Retries {
		rejected := rejection{until: row.At + row.Complete + c.retryWait, retries: retries}
		c.rejected[part] = append(c.rejected[part], rejected)
	}
	return retries > 0
}

// takeRejection finds the earliest rejection of which a row can be the retry. It removes this rejection and all older ones,
// for which no retry came in time. It returns the number of retries that the client has made, including this one, or 0 if the
// row is not a retry.
func (c *captureReader) takeRejection(part Part, row *capture.Row) (retries int) {
	rejections := c.rejected[part]
	if len(rejections) == 0 || c.network.Clients.Retries == 0 {
		return 0
	}
	index := slices.IndexFunc(rejections, func(r rejection) bool { return row.At <= r.until })
	if index < 0 {
		c.rejected[part] = rejections[:0]
		return 0
	}
	retries = rejections[index].retries + 1
	c.rejected[part] = slices.Delete(rejections, 0, index+1)
	return retries
}

// indexesByName returns for each name the index i at which nameAt(i) returns the same name, where i is less than count. If there
// are several such indexes it returns the last one, and if there is none -1.
func indexesByName(names []string, count int, nameAt func(int) string) []int {
	indexes := make([]int, len(names))
	for i, name := range names {
		indexes[i] = -1
		for j := range count {
			if nameAt(j) == name {
				indexes[i] = j
			}
		}
	}
	return indexes
}
