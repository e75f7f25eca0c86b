package stream

import (
	"fmt"
	"testing"
	"time"
)

// bench is the configuration of one of nine control machines.
func bench(me int) Config {
	c := Config{Me: fmt.Sprintf("c%d", me), Epoch: 1}
	for i := range 9 {
		c.Origins = append(c.Origins, fmt.Sprintf("c%d", i))
	}
	return c
}

// fill gives a node so many notes, an hour of life each, of all nine origins in turn.
func fill(b testing.TB, n *Node, count int) {
	b.Helper()
	payload := make([]byte, 60)
	for i := range count {
		origin := fmt.Sprintf("c%d", i%9)
		key := fmt.Sprintf("note/purge/%d", i)
		if origin == n.c.Me {
			if _, err := n.Publish(0, key, time.Hour, payload); err != nil {
				b.Fatal(err)
			}
			continue
		}
		number := uint64(i/9 + 1)
		m := &Message{Kind: Tell, From: origin, To: n.c.Me, Notes: []Note{{Origin: origin, Epoch: 1, Number: number, Prev: number - 1,
			Key: key, Life: time.Hour, Payload: payload}}}
		if _, fresh := n.Receive(0, m); len(fresh) != 1 {
			b.Fatalf("note %d of %s was not taken", number, origin)
		}
	}
}

// BenchmarkNext is one note more to one subscriber, which has all others, of a log of N; or, as idle, nothing.
func BenchmarkNext(b *testing.B) {
	for _, size := range []int{1000, 4000, 15480} {
		n := New(bench(0))
		fill(b, n, size)
		c := n.Subscribe(n.Vector())
		b.Run(fmt.Sprintf("last=%d", size), func(b *testing.B) {
			c.follow(n.store)
			last := &c.places[8]
			for b.Loop() {
				last.at = last.log.head - 1
				if len(n.Next(0, c, 16<<10)) != 1 {
					b.Fatal("not one note")
				}
			}
		})
		b.Run(fmt.Sprintf("idle=%d", size), func(b *testing.B) {
			for b.Loop() {
				if len(n.Next(0, c, 16<<10)) != 0 {
					b.Fatal("a note to one that has all")
				}
			}
		})
		b.Run(fmt.Sprintf("all=%d", size), func(b *testing.B) {
			for b.Loop() {
				sent := 0
				for c := n.Subscribe(nil); ; {
					list := n.Next(0, c, 16<<10)
					if sent += len(list); len(list) == 0 {
						break
					}
				}
				if sent != size {
					b.Fatalf("%d notes sent of %d", sent, size)
				}
			}
		})
	}
}

// BenchmarkTake is a reader's, of N origins in turn.
func BenchmarkTake(b *testing.B) {
	for _, origins := range []int{3, 9} {
		b.Run(fmt.Sprintf("origins=%d", origins), func(b *testing.B) {
			r := NewReader(bench(0).Origins)
			n := Note{Epoch: 1, Key: "note/purge", Life: time.Hour}
			for i := 0; b.Loop(); i++ {
				n.Origin, n.Number, n.Prev = bench9[i%origins], uint64(i/origins+1), uint64(i/origins)
				if v := r.Take(&n); v != Taken {
					b.Fatal(v)
				}
			}
		})
	}
}

var bench9 = bench(0).Origins

// BenchmarkPublish is at one of nine control machines with a log of N, each note with a key of its own, so that the oldest
// makes room; keep=N supersedes.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []int{1000, 15480} {
		for _, own := range []bool{true, false} {
			name := fmt.Sprintf("keep=%d", size)
			if own {
				name = fmt.Sprintf("each=%d", size)
			}
			b.Run(name, func(b *testing.B) {
				c := bench(0)
				c.MostEntries = size
				n := New(c)
				fill(b, n, size)
				payload := make([]byte, 60)
				for i := 0; b.Loop(); i++ {
					key := i
					if !own {
						key %= size / 2
					}
					if out, err := n.Publish(0, fmt.Sprintf("note/other/%d", key), time.Hour, payload); err != nil || len(out) != 8 {
						b.Fatal(len(out), err)
					}
				}
			})
		}
	}
}
