package hollow

// This file holds the queries that a host answers, and the methods by which a Process sends them.

import (
	"encoding/json"
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/peer"
)

// Topics of queries. Queries and responses are JSON. An empty query stands for the zero value of its type.
const (
	topicReport  = "report"  // ReportQuery; the response is a Report
	topicWindow  = "window"  // WindowQuery; the response is empty
	topicVectors = "vectors" // an empty query; the response is Vectors
	topicMissing = "missing" // TimeRange; the response is Missing
)

// ReportQuery asks for a report.
type ReportQuery struct {
	List int `json:"list"` // number of nodes listed, the worst first; 0 means defaultListed
}

// WindowQuery begins another window of latencies.
type WindowQuery struct {
	Name string `json:"name"`
}

// handlers returns the handlers of all queries.
func (h *Host) handlers() peer.QueryHandlers {
	return peer.QueryHandlers{
		topicReport:  handler(h.handleReport),
		topicWindow:  handler(func(q WindowQuery) ([]byte, error) { return nil, h.checker.BeginWindow(q.Name, time.Now()) }),
		topicVectors: handler(func(struct{}) ([]byte, error) { return json.Marshal(h.Vectors()) }),
		topicMissing: handler(func(published TimeRange) ([]byte, error) { return json.Marshal(h.checker.Missing(published)) }),
	}
}

// handler returns a handler that parses a query and passes it to handle.
func handler[Query any](handle func(Query) ([]byte, error)) func([]byte) ([]byte, error) {
	return func(raw []byte) ([]byte, error) {
		var query Query
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &query); err != nil {
				return nil, fmt.Errorf("hollow: query cannot be parsed: %w", err)
			}
		}
		return handle(query)
	}
}

// query sends a query to the process and parses the response. A nil response means that there is none to parse.
func (p *Process) query(topic string, query, response any) error {
	raw, err := json.Marshal(query)
	if err != nil {
		return err
	}
	rawResponse, err := peer.Query(p.Address, topic, raw, queryTimeout)
	if err != nil {
		return fmt.Errorf("hollow: process %d: query %s: %w", p.PID(), topic, err)
	}
	if response == nil {
		return nil
	}
	return json.Unmarshal(rawResponse, response)
}

// Report returns the state of the host with the given number of nodes listed, the worst first. 0 means defaultListed.
func (p *Process) Report(list int) (*Report, error) {
	report := &Report{}
	return report, p.query(topicReport, ReportQuery{list}, report)
}

// BeginWindow begins another window of latencies. It returns an error if there are maxWindows already.
func (p *Process) BeginWindow(name string) error {
	return p.query(topicWindow, WindowQuery{name}, nil)
}

// Vectors compares the positions of all directors.
func (p *Process) Vectors() (*Vectors, error) {
	vectors := &Vectors{}
	return vectors, p.query(topicVectors, struct{}{}, vectors)
}

// Missing lists the events published in a time range that some directors lack.
func (p *Process) Missing(published TimeRange) (*Missing, error) {
	missing := &Missing{}
	return missing, p.query(topicMissing, published, missing)
}
