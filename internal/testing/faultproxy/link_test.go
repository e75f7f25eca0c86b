package faultproxy

import (
	"io"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/poll"
)

// All bytes that are sent through a link arrive. The link's statistics count the connections that are open, that had a response
// and that were reset.
func TestLinkForwardsAllBytesAndCountsConnections(t *testing.T) {
	network := newNetwork(t)
	link := addEchoLink(t, network, "a>b")
	text := make([]byte, 600<<10)
	for i := range text {
		text[i] = byte('a' + i*i%23)
	}
	sender := dial(t, link)
	sender.conn.SetDeadline(time.Now().Add(10 * time.Second))
	go sender.conn.Write(text)
	got := make([]byte, len(text))
	if _, err := io.ReadFull(sender.conn, got); err != nil {
		t.Fatal(err)
	}
	if string(got) != string(text) {
		t.Fatal("the bytes that came back differ from those that were sent")
	}
	idle := dial(t, link) // sends nothing, so it gets no response
	poll.Until(5*time.Second, time.Millisecond, func() bool { return link.Stats().Open >= 2 })

	if stats := link.Stats(); stats.Open != 2 || stats.Reset != 0 || len(stats.FirstResponses) != 1 {
		t.Errorf("before the reset: %+v, want 2 open, none reset, 1 response", stats)
	}
	network.Reset("a>b")
	if stats := link.Stats(); stats.Open != 0 || stats.Reset != 2 || len(stats.FirstResponses) != 1 {
		t.Errorf("after the reset: %+v, want none open, 2 reset, 1 response", stats)
	}
	if got, err := idle.exchange("x", time.Second); err == nil {
		t.Errorf("on a connection that was reset: got %q, want an error", got)
	}
}

// Close resets the connections that are open, including one that waits for its link to heal.
func TestCloseResetsConnections(t *testing.T) {
	network := New(1, nil)
	link := addEchoLink(t, network, "a>b")
	open := dial(t, link)
	if got, err := open.exchange("x", time.Second); got != "x\n" {
		t.Fatalf("before the fault: got %q, %v", got, err)
	}
	network.SetFault("a>b", Both, Fault{Drop: true})
	waiting := dial(t, link)
	network.Close()
	for _, conn := range []*client{open, waiting} {
		if got, err := conn.exchange("y", time.Second); err == nil || isTimeout(err) {
			t.Errorf("after Close: got %q, %v, want the end of the connection", got, err)
		}
	}
	if stats := link.Stats(); stats.Open != 0 {
		t.Errorf("after Close: %+v, want no open connection", stats)
	}
}
