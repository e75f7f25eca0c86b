package resp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"indigochute.example/indigochute/control"
)

// The other side of the protocol, for stand-ins of nodes.

// Command is what a node is told: a req, that one is given up, or a ping.
type Command struct {
	Ask
	Drop, Ping bool
}

const (
	mostAskBody = 48000
	mostWords   = 4
)

// ReadCommand takes the next command off a stream. io.EOF alone means that the stream ended between commands.
func ReadCommand(in *bufio.Reader) (c Command, err error) {
	if _, err := in.Peek(1); err != nil {
		return c, err
	}
	c, err = readCommand(in)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return c, err
}

func readCommand(in *bufio.Reader) (c Command, err error) {
	n, err := length(in, '*', mostWords)
	if err != nil {
		return c, err
	}
	var words [mostWords][]byte
	for i := range n {
		most := mostFields
		if i == 3 {
			most = mostAskBody
		}
		if words[i], err = readBulk(in, most); err != nil {
			return c, err
		}
	}
	c.ID = string(words[1])
	switch {
	case n == 4 && string(words[0]) == "GET":
		c.Body = words[3]
		return c, c.fields(words[2])
	case n == 2 && string(words[0]) == "DROP":
		c.Drop = true
	case n == 2 && string(words[0]) == "PING":
		c.Ping = true
	default:
		return c, fmt.Errorf("resp: unknown command %q of %d words", words[0], n)
	}
	return c, nil
}

func (c *Command) fields(b []byte) error {
	if string(b) == "-" || len(b) == 0 {
		return nil
	}
	for field := range bytes.SplitSeq(b, []byte(",")) {
		name, v, ok := bytes.Cut(field, []byte("="))
		if !ok {
			return fmt.Errorf("resp: field %q has no value", field)
		}
		value := string(v)
		number := func() time.Duration {
			n, _ := strconv.ParseInt(value, 10, 62)
			return time.Duration(n) * time.Millisecond
		}
		switch string(name) {
		case "c":
			c.Vhost = value
		case "k":
			c.Obj = value
		case "p":
			c.Part = value
		case "w":
			c.Wait = number()
		case "i":
			c.Idem = value
		case "next":
			c.Source = value
		case "admit":
			n, _ := strconv.Atoi(value)
			c.Order.Rank = uint8(n)
		case "agelim":
			c.Order.Age = number()
		case "cached":
			c.Have = value
		case "ways":
			for way := range bytes.SplitSeq(v, []byte("+")) {
				switch string(way) {
				case "collapse":
					c.Order.Join = true
				case "only-if-cached":
					c.Order.HeldOnly = true
				case "refresh":
					c.Order.Renew = true
				}
			}
		}
	}
	return nil
}

var wordNames = [...]string{Hit: "HIT", Valid: "VALID", None: "NONE", Full: "SHED", Fault: "FAULT", Late: "LATE", Pong: "PONG"}

var noteNames = func() map[control.Fill]string {
	names := map[control.Fill]string{}
	for name, fill := range notes {
		names[fill] = name
	}
	return names
}()

// AppendAnswer writes a node's answer.
func AppendAnswer(b []byte, a *Answer) []byte {
	f := make([]byte, 0, 64)
	if name := noteNames[a.Fill]; name != "" {
		f = append(append(f, "note="...), name...)
	}
	if a.Waited > 0 {
		f = strconv.AppendFloat(append(f, ",slow="...), float64(a.Waited)/float64(time.Millisecond), 'f', 3, 64)
	}
	if a.Born != 0 {
		f = strconv.AppendInt(append(f, ",t0="...), a.Born, 10)
	}
	f = bytes.TrimPrefix(f, []byte(","))
	if len(f) == 0 {
		f = append(f, '-')
	}
	b = append(b, "*4\r\n"...)
	b = bulk(bulk(bulk(b, a.ID), wordNames[a.Word]), f)
	return bulk(b, a.Body)
}
