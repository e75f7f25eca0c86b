package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// answer is the end of a request as its client sees it.
type answer struct {
	kind string // served, Shed, the name of another error, or unanswered
	body string
	at   time.Time
}

// client is one connection of a client. Each request has its own message id, counted from 1.
type client struct {
	name   string
	log    *record
	socket net.Conn

	mu     sync.Mutex
	lastID uint32
	open   map[uint32]chan answer
	ended  bool
}

// connect connects a client to a director.
func connect(name, address string, log *record) (*client, error) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, log: log, socket: socket, open: map[uint32]chan answer{}}
	go c.read()
	return c, nil
}

// read hands answers to the requests that wait for them until the connection ends.
func (c *client) read() {
	in := bufio.NewReader(c.socket)
	for {
		value, err := readValue(in)
		message, _ := value.([]any)
		if err != nil || len(message) != 4 {
			c.end()
			return
		}
		id, _ := message[1].(uint64)
		c.mu.Lock()
		waiting := c.open[uint32(id)]
		delete(c.open, uint32(id))
		c.mu.Unlock()
		if waiting == nil {
			c.log.add("client %s: answer under id %d that is not open", c.name, id)
			continue
		}
		waiting <- answerOf(message)
	}
}

// answerOf returns the answer in a message.
func answerOf(message []any) answer {
	result := answer{kind: "served", at: time.Now()}
	if fault, ok := message[2].([]any); ok {
		result.kind = "error"
		if len(fault) > 0 {
			result.kind = fmt.Sprint(fault[0])
		}
		return result
	}
	if values, ok := message[3].([]any); ok && len(values) > 0 {
		if body, ok := values[0].([]byte); ok {
			result.body = string(body)
		} else {
			result.body = fmt.Sprint(values[0])
		}
	}
	return result
}

// end closes the connection. Open requests stay unanswered.
func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.socket.Close()
	for id, waiting := range c.open {
		waiting <- answer{kind: "unanswered", at: time.Now()}
		delete(c.open, id)
	}
}

// send writes a message under the next id, which the function puts into the message. It returns the channel of the answer.
func (c *client) send(message func(id uint32) []byte) (id uint32, waiting chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	waiting = make(chan answer, 1)
	c.open[c.lastID] = waiting
	c.socket.Write(message(c.lastID)) // after an error the reader ends the connection
	return c.lastID, waiting
}

// wait waits for an answer until the client gives the request up.
func (c *client) wait(id uint32, waiting chan answer, patience time.Duration) answer {
	select {
	case result := <-waiting:
		return result
	case <-time.After(patience):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
	if !c.ended {
		c.socket.Write(cancelMessage(id))
	}
	return answer{kind: "unanswered", at: time.Now()}
}

// request sends a request for a part of an object and waits for its answer. It writes both to the record.
func (c *client) request(class string, fields map[string]string, deadline time.Duration) answer {
	fields["d"] = fmt.Sprint(deadline.Milliseconds())
	c.log.add("client %s sends %s %v", c.name, class, fields)
	id, waiting := c.send(func(id uint32) []byte { return requestMessage(id, class, fields, nil) })
	result := c.wait(id, waiting, deadline+time.Second)
	c.log.add("client %s gets %s for %s: %.60s", c.name, result.kind, fields["i"], result.body)
	return result
}

// alive asks whether the director is ready.
func (c *client) alive() bool {
	id, waiting := c.send(aliveMessage)
	result := c.wait(id, waiting, time.Second)
	return result.kind == "served" && result.body == "true"
}
