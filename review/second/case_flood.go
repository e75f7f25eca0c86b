package main

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

const (
	badConnections = 300                    // of bad clients
	shortDeadline  = 500 * time.Millisecond // of pages
	answerSlack    = 500 * time.Millisecond // an answer this late after its time earns nothing, a later one is lost
	usualClients   = 20
	usualEvery     = 10 * time.Millisecond // between two requests of the usual clients together
	usualTime      = 15 * time.Second
	maxLateness    = 100 * time.Millisecond // by which the machine may wake this process late; beyond it the run is void
)

// floodedDirector plays bad clients that send requests of a class that does not exist at full speed, on hundreds of connections.
func floodedDirector(s *stage) (broken []string, err error) {
	s.sockets, s.pageDeadline = manySockets, shortDeadline
	if err := s.setUp(5, nil); err != nil {
		return nil, err
	}
	if s.trouble {
		bad, err := startFlood(s.director.address, badConnections)
		if err != nil {
			return nil, err
		}
		defer func() {
			bad.Process.Kill()
			bad.Wait()
		}()
		s.record.line("%d connections of bad clients", badConnections)
	}
	time.Sleep(3 * time.Second)
	s.patience = answerSlack + slack
	stop, late := make(chan struct{}), make(chan time.Duration)
	go func() { late <- lateness(stop) }()
	calls := make(chan []*call)
	go func() { calls <- s.load(usualClients, usualEvery, stop, usualPages) }()
	time.Sleep(usualTime)
	close(stop)
	lost := s.unansweredInTime(<-calls)
	woken := <-late
	s.record.line("the machine woke this process %.3f s late at most", woken.Seconds())
	if woken > maxLateness {
		return nil, fmt.Errorf("the machine woke this process %.3f s late: it is too busy to judge", woken.Seconds())
	}
	return lost, nil
}

// usualPages returns the requests of a steady load for pages.
func usualPages(i int) msgpack.Message {
	message := steadyClips(i)
	message.Class, message.Part, message.Timeout = pageClass, "0", shortDeadline
	return message
}

// unansweredInTime returns the requests that were lost: without an answer answerSlack after their time. Two kinds without an answer
// are not lost: the first request on a connection that the director closes, and one that crosses the end of its connection.
func (s *stage) unansweredInTime(calls []*call) (lost []string) {
	s.recordEnds(calls)
	excused := 0
	var slowest time.Duration
	for _, sent := range calls {
		limit := sent.message.Timeout + answerSlack + slack
		ended := false
		select {
		case <-sent.done:
			ended = true
		default:
		}
		took := sent.endedAt.Sub(sent.sentAt)
		switch {
		case ended && sent.answered && took <= limit:
			slowest = max(slowest, took)
		case ended && !sent.answered && took <= limit && (sent.message.ID == 1 || took <= slack):
			excused++
		case ended && took <= limit:
			lost = append(lost, fmt.Sprintf("request %s: its connection ended without an answer, %.3f s after it was sent",
				sent.message.RequestID, took.Seconds()))
		default:
			lost = append(lost, fmt.Sprintf("request %s: no answer %.3f s after it was sent, its time was %.3f s",
				sent.message.RequestID, limit.Seconds(), sent.message.Timeout.Seconds()))
		}
	}
	s.record.line("of %d requests %d are lost, %d have no answer and are excused; the slowest other answer took %.3f s", len(calls),
		len(lost), excused, slowest.Seconds())
	return lost
}

// lateness returns by how much the machine has woken this process late at most until stop is closed.
func lateness(stop <-chan struct{}) (worst time.Duration) {
	const nap = 5 * time.Millisecond
	for {
		select {
		case <-stop:
			return worst
		default:
		}
		began := time.Now()
		time.Sleep(nap)
		worst = max(worst, time.Since(began)-nap)
	}
}
