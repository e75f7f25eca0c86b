package changefeed

import (
	"math"
	"slices"
	"testing"
	"time"
)

// sendOwnEvents delivers to a node events of one of its own earlier incarnations, as another machine would send them.
func sendOwnEvents(node *Node, now time.Duration, epoch uint64, keys ...string) {
	var events []Event
	for i, key := range keys {
		number := uint64(i + 1)
		event := testEvent(node.config.Name, epoch, number-1, number)
		events = append(events, *event.with(func(event *Event) { event.Key = key }))
	}
	receiveEvents(node, now, "b", events...)
}

// newLearningNode returns node a, configured to collect its earlier epochs for learnPeriod.
func newLearningNode(epoch uint64) *Node {
	config := testConfig("a", epoch)
	config.LearnPeriod = learnPeriod
	return New(config)
}

// positionsMessage returns the Positions message to b from a list of messages.
func positionsMessage(t *testing.T, list []Message) *Message {
	t.Helper()
	return messageTo(t, "b", slices.DeleteFunc(slices.Clone(list), func(message Message) bool { return message.Kind != Positions }))
}

// TestEpochIsRaisedWhileLearning checks that a node whose wall clock was set back publishes in an epoch above those of its earlier
// incarnations, whichever message reports these during the learn period. Events that it has already published are sent in that epoch.
func TestEpochIsRaisedWhileLearning(t *testing.T) {
	const earlierEpoch = 5000
	for _, test := range []struct {
		name          string
		report        func(node *Node) // reports the earlier incarnation to the node
		wantEpochKept bool             // whether the node must keep its epoch
	}{
		{name: "positions", report: func(node *Node) {
			node.Receive(0, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"a", earlierEpoch, 3}}})
		}},
		{name: "fetch", report: func(node *Node) {
			node.Receive(0, &Message{Kind: Fetch, From: "b", To: "a", Vector: Vector{{"a", earlierEpoch, 3}}})
		}},
		{name: "event", report: func(node *Node) { sendOwnEvents(node, 0, earlierEpoch, "k") }},
		{name: "subscriber", report: func(node *Node) { node.Subscribe(Vector{{"a", earlierEpoch, 3}}) }},
		{name: "no report", report: func(*Node) {}, wantEpochKept: true},
	} {
		for clock, epoch := range map[string]uint64{
			"clock set back":   earlierEpoch - 1000,
			"same millisecond": earlierEpoch,
			"later":            earlierEpoch + 1,
		} {
			t.Run(test.name+"/"+clock, func(t *testing.T) {
				node := newLearningNode(epoch)
				node.Tick(0)
				expectEqual(t, "messages sent during the learn period", len(publish(t, node, 0, "k")), 0)
				test.report(node)
				cursor := node.Subscribe(nil)
				for _, event := range node.Next(0, cursor, 1<<20) {
					expectEqual(t, "epoch of events sent to a subscriber during the learn period", event.Epoch, uint64(earlierEpoch))
				}

				out := node.Tick(learnPeriod)
				if test.wantEpochKept {
					expectEqual(t, "epoch", node.Epoch(), epoch)
				} else if node.Epoch() <= earlierEpoch {
					t.Errorf("got epoch %d, want one above %d", node.Epoch(), earlierEpoch)
				}
				expectEqual(t, "settled", node.Settled(), true)
				expectEqual(t, "position reported when the node settles", positionsMessage(t, out).Vector.At("a", node.Epoch()), uint64(1))
				got := node.Next(learnPeriod, cursor, 1<<20)
				if len(got) == 0 || got[len(got)-1].Epoch != node.Epoch() || got[len(got)-1].Key != "k" {
					t.Errorf("subscriber: got %v, want the event of key k in epoch %d last", numbers(got), node.Epoch())
				}
			})
		}
	}
}

// TestEpochIsRaisedAfterSettling reports an earlier incarnation after the node has settled. The node must begin a higher epoch and
// publish its live events again in it. Others must keep these in place of the events of the earlier incarnation.
func TestEpochIsRaisedAfterSettling(t *testing.T) {
	const (
		epoch        = 4000
		earlierEpoch = 5000 // of the earlier incarnation
		raisedEpoch  = uint64(earlierEpoch + 1)
		reportedAt   = 10 * compareInterval
	)
	for name, report := range map[string]func(node *Node){
		"positions": func(node *Node) {
			node.Receive(reportedAt, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"a", earlierEpoch, 3}}})
		},
		"event":      func(node *Node) { sendOwnEvents(node, reportedAt, earlierEpoch, "x", "y") },
		"subscriber": func(node *Node) { node.Subscribe(Vector{{"a", earlierEpoch, 3}}) },
	} {
		t.Run(name, func(t *testing.T) {
			node, other := newLearningNode(epoch), New(testConfig("b", 1))
			sendToOther := func(list []Message) {
				for _, message := range list {
					if message.To == "b" {
						other.Receive(reportedAt, &message)
					}
				}
			}
			node.Tick(0)
			node.Tick(learnPeriod)
			for _, key := range []string{"x", "y", "x"} {
				sendToOther(publish(t, node, learnPeriod, key))
			}

			report(node)
			out := node.Tick(reportedAt)
			expectEqual(t, "epoch", node.Epoch(), raisedEpoch)
			expectEqual(t, "position reported immediately", positionsMessage(t, out).Vector.At("a", raisedEpoch), uint64(2))

			fetches, _ := other.Receive(reportedAt, positionsMessage(t, out))
			for _, message := range fetches {
				answers, _ := node.Receive(reportedAt, &message)
				sendToOther(answers)
			}
			expectEqual(t, "position of the other node", other.position("a", raisedEpoch), uint64(2))
			for _, key := range []string{"x", "y"} {
				expectEqual(t, "epoch of the stored event of key "+key, other.store.origins["a"].newest[key].log.epoch, raisedEpoch)
			}
			sendToOther(publish(t, node, reportedAt, "x"))
			expectEqual(t, "position of the other node after another event", other.position("a", raisedEpoch), uint64(3))
		})
	}
}

// TestEpochRenewalIsRateLimited checks that reports of ever higher epochs make a node begin at most one epoch per CompareInterval, and
// that a report of the highest possible epoch has no effect.
func TestEpochRenewalIsRateLimited(t *testing.T) {
	const epoch = 4000
	node := newLearningNode(epoch)
	node.Tick(0)
	node.Tick(learnPeriod)
	node.Receive(learnPeriod, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"a", math.MaxUint64, 1}}})
	node.Tick(4 * compareInterval)
	expectEqual(t, "epoch after a report of the highest possible epoch", node.Epoch(), uint64(epoch))

	changes := 0
	for now := 4 * compareInterval; now < 8*compareInterval; now += compareInterval / 10 {
		before := node.Epoch()
		node.Subscribe(Vector{{"a", node.Epoch() + 10, 1}})
		node.Tick(now)
		if node.Epoch() != before {
			changes++
		}
	}
	if changes < 2 || changes > 5 {
		t.Errorf("got %d new epochs in 4 intervals, want 2 to 5", changes)
	}
}
