package director

import "indigochute.example/indigochute/internal/discovery"

// This file divides the memory limit among everything whose amount other processes determine. Each share bounds one kind, and the
// shares, the program and the allowance for the collector add up to the limit. So the limit holds although all bounds are reached
// at the same time.

// Memory in bytes that one item holds: its records, buffers and stacks.
const (
	programBytes     = 8 << 20 // pages of the program, runtime, and what a director without load allocates
	bytesPerEndpoint = 2 << 10 // of the endpoint list
	bytesPerClient   = 9 << 10 // connection of a client, without its requests
	bytesPerNodeConn = 13 << 10
	bytesPerRequest  = 8 << 10 // without its body
)

// collectorDivisor determines the share of the memory beside the program, 1/collectorDivisor, that is left for what the collector
// has not freed yet.
const collectorDivisor = 6

// Shares of the remaining memory, in percent.
const (
	requestsPercent = 20
	bodiesPercent   = 28
	clientsPercent  = 20
	nodesPercent    = 17
	recordsPercent  = 15
)

// memoryShares are the bytes that each kind may hold.
type memoryShares struct {
	requests int64 // open requests without their bodies
	bodies   int64 // bodies of requests and answers
	clients  int64 // connections of clients
	nodes    int64 // connections to nodes
	records  int64 // records of objects
}

// divideMemory divides a memory limit in bytes for a director with a number of listed endpoints. A limit that is hardly more than
// the program takes is too small for any bound to hold it; a quarter is divided then.
func divideMemory(limit int64, endpoints int) memoryShares {
	beside := max(limit-programBytes-bytesPerEndpoint*int64(endpoints), limit/4)
	divided := beside - beside/collectorDivisor
	return memoryShares{
		requests: divided * requestsPercent / 100,
		bodies:   divided * bodiesPercent / 100,
		clients:  divided * clientsPercent / 100,
		nodes:    divided * nodesPercent / 100,
		records:  divided * recordsPercent / 100,
	}
}

// listedEndpoints returns how many endpoints the events list.
func listedEndpoints(events []discovery.Event) int {
	listed := map[uint32]bool{}
	for _, event := range events {
		for _, endpoint := range event.Endpoints {
			listed[endpoint.ID] = true
		}
	}
	return len(listed)
}
