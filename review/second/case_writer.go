package main

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

const (
	slowAnswer = 4500 * time.Millisecond // a cache that hangs in its work answers a clip after this time
	slowWrite  = 2400 * time.Millisecond // a slow client writes a request over this time
	writeBytes = 48000                   // of the body of a write, at most
)

// slowWriter plays clients that write a request slowly on a connection on which another request is open.
func slowWriter(s *stage) (broken []string, err error) {
	err = s.setUp(4, func() {
		for _, cache := range s.caches {
			cache.delay = func(asked command) time.Duration {
				if asked.Class == clipClass && asked.Part == "9" {
					return slowAnswer
				}
				return 10 * time.Millisecond
			}
		}
	})
	if err != nil {
		return nil, err
	}
	over := slowWrite
	if !s.trouble {
		over = 200 * time.Millisecond
	}
	for i := range 5 {
		c, err := connect(s.record, fmt.Sprint("slow", i), s.director.address)
		if err != nil {
			return nil, err
		}
		first := c.send(clip(objectID(i), "0", "17"))
		<-first.done
		open := c.send(clip(objectID(i), "9", "17"))
		slow := c.sendSlowly(msgpack.Message{Kind: msgpack.Request, Class: writeClass, Object: objectID(50 + i), Part: "0", Group: "3",
			Timeout: 3 * time.Second, IdempotencyKey: newID() + newID(), Body: make([]byte, writeBytes)}, over, 24)
		<-open.done
		select {
		case <-slow.done:
		case <-time.After(time.Until(slow.sentAt.Add(slow.message.Timeout + time.Second))):
		}
		if !first.served() {
			return broken, fmt.Errorf("the first request of client %s: %s", c.name, first.outcome())
		}
		if instance := unanswered(s, c, slow); instance != "" {
			broken = append(broken, instance)
		}
		c.close()
	}
	return broken, nil
}

// unanswered returns how a request was lost, or "" if it was not: it had been written whole to an open connection, and got no
// answer. A request that crossed the end of its connection within 50 ms is not lost.
func unanswered(s *stage, c *client, sent *call) string {
	if sent.sentAt.IsZero() {
		s.record.line("client %s: %d was not written whole", c.name, sent.message.ID)
		return ""
	}
	select {
	case <-sent.done:
		if sent.answered || sent.endedAt.Sub(sent.sentAt) <= slack {
			return ""
		}
		return fmt.Sprintf("client %s: request %s was written whole at %s, and its connection ended at %s without an answer",
			c.name, sent.message.RequestID, s.record.since(sent.sentAt), s.record.since(sent.endedAt))
	default:
		return fmt.Sprintf("client %s: request %s was written whole at %s and was never answered", c.name, sent.message.RequestID,
			s.record.since(sent.sentAt))
	}
}

// served returns whether the request was served.
func (c *call) served() bool { return c.answered && !c.response.Rejected && !c.response.Failed }

// sendSlowly writes a request in equal pieces over a time. It stops if the director ends the connection.
func (c *client) sendSlowly(message msgpack.Message, over time.Duration, pieces int) *call {
	sent := c.prepare(message)
	c.record.line("client %s: begins to send %d %s %s object %s with %d bytes, %d ms", c.name, sent.message.ID,
		sent.message.RequestID, message.Class, message.Object, len(message.Body), message.Timeout.Milliseconds())
	raw := msgpack.AppendRequest(nil, &sent.message)
	size := (len(raw) + pieces - 1) / pieces
	began := time.Now()
	for i := range pieces {
		time.Sleep(time.Until(began.Add(over * time.Duration(i) / time.Duration(max(1, pieces-1)))))
		if c.hasEnded() {
			c.record.line("client %s: the director ended the connection within %d", c.name, sent.message.ID)
			return sent
		}
		if _, err := c.socket.Write(raw[min(i*size, len(raw)):min((i+1)*size, len(raw))]); err != nil {
			c.record.line("client %s: writing %d: %v", c.name, sent.message.ID, err)
			return sent
		}
	}
	sent.sentAt = time.Now()
	c.record.line("client %s: the last byte of %d is written", c.name, sent.message.ID)
	return sent
}
