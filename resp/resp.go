// Package resp writes what nodes are asked and reads their answers: RESP arrays of bulk strings. It holds no
// decisions and no sockets. Names of the nodes' protocol end here.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"indigochute.example/indigochute/control"
)

// Bounds of an answer. What goes over one cannot be trusted.
const (
	mostID     = 64
	mostWord   = 16
	mostFields = 4 << 10
	mostBody   = 256 << 10
	mostHead   = 16 // bytes of a length line
)

// Ask is one req as a node gets it. ID, Vhost, Obj, Part, Idem, Have and Body are the client's own.
type Ask struct {
	ID, Vhost, Obj, Part string
	Idem, Have           string
	Wait                 time.Duration
	Source               string // "": a miss is not filled
	Order                control.Order
	Body                 []byte
}

// AppendAsk writes a req.
func AppendAsk(b []byte, a *Ask) []byte {
	f := make([]byte, 0, 160)
	f = append(append(f, "c="...), a.Vhost...)
	f = append(append(f, ",k="...), a.Obj...)
	if a.Part != "" {
		f = append(append(f, ",p="...), a.Part...)
	}
	f = strconv.AppendInt(append(f, ",w="...), max(1, a.Wait.Milliseconds()), 10)
	if a.Idem != "" {
		f = append(append(f, ",i="...), a.Idem...)
	}
	if a.Source != "" {
		f = append(append(f, ",next="...), a.Source...)
	}
	if a.Order.Rank > 0 {
		f = strconv.AppendInt(append(f, ",admit="...), int64(a.Order.Rank), 10)
	}
	if a.Order.Age > 0 { // a whole millisecond at least, since 0 would mean any
		f = strconv.AppendInt(append(f, ",agelim="...), max(1, a.Order.Age.Milliseconds()), 10)
	}
	lead := ",ways="
	for _, way := range [...]struct {
		asked bool
		word  string
	}{{a.Order.Join, "collapse"}, {a.Order.HeldOnly, "only-if-cached"}, {a.Order.Renew, "refresh"}} {
		if way.asked {
			f = append(append(f, lead...), way.word...)
			lead = "+"
		}
	}
	if a.Have != "" {
		f = append(append(f, ",cached="...), a.Have...)
	}
	b = append(b, "*4\r\n"...)
	b = bulk(bulk(bulk(b, "GET"), a.ID), f)
	return bulk(b, a.Body)
}

// AppendPing writes a question whether the node runs; it answers Pong under the tag.
func AppendPing(b []byte, tag string) []byte {
	return bulk(bulk(append(b, "*2\r\n"...), "PING"), tag)
}

// AppendDrop writes that a req is given up.
func AppendDrop(b []byte, id string) []byte {
	return bulk(bulk(append(b, "*2\r\n"...), "DROP"), id)
}

func bulk[T string | []byte](b []byte, s T) []byte {
	b = strconv.AppendInt(append(b, '$'), int64(len(s)), 10)
	return append(append(append(b, "\r\n"...), s...), "\r\n"...)
}

// Word of an answer.
type Word uint8

const (
	Hit   Word = iota // the bytes
	Valid             // the client's copy is the one
	None              // not held, never ran
	Full              // turned away, never ran
	Fault             // may have run
	Late              // over already, never ran
	Pong
)

var words = map[string]Word{"HIT": Hit, "VALID": Valid, "NONE": None, "SHED": Full, "FAULT": Fault,
	"LATE": Late, "PONG": Pong}

var notes = map[string]control.Fill{"cached": control.Hit, "fetched": control.Filled,
	"fetched_root": control.FilledByOrigin, "merged": control.Joined, "past_fresh": control.Stale,
	"up_refused": control.SourceRefused, "up_lost": control.SourceUnreached, "up_empty": control.SourceLacks,
	"fills_full": control.NoPlace, "root_failed": control.OriginFailed}

// Answer is a node's.
type Answer struct {
	ID     string
	Word   Word
	Fill   control.Fill
	Waited time.Duration
	Born   int64 // Unix millisecond at which the origin gave this copy out; 0: not told
	Body   []byte
}

var errShape = errors.New("resp: not the shape of an answer")

// Read takes the next answer off a stream. io.EOF alone means that the stream ended between answers.
func Read(in *bufio.Reader) (a Answer, err error) {
	if _, err := in.Peek(1); err != nil {
		return a, err
	}
	a, err = read(in)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return a, err
}

func read(in *bufio.Reader) (a Answer, err error) {
	n, err := length(in, '*', 4)
	if err != nil {
		return a, err
	}
	if n != 4 {
		return a, errShape
	}
	id, err := readBulk(in, mostID)
	if err != nil {
		return a, err
	}
	a.ID = string(id)
	word, err := readBulk(in, mostWord)
	if err != nil {
		return a, err
	}
	var known bool
	if a.Word, known = words[string(word)]; !known {
		return a, fmt.Errorf("resp: unknown word %q", word)
	}
	fields, err := readBulk(in, mostFields)
	if err != nil {
		return a, err
	}
	if err := a.fields(fields); err != nil {
		return a, err
	}
	a.Body, err = readBulk(in, mostBody)
	return a, err
}

func (a *Answer) fields(b []byte) error {
	if string(b) == "-" || len(b) == 0 {
		return nil
	}
	for field := range bytes.SplitSeq(b, []byte(",")) {
		name, value, ok := bytes.Cut(field, []byte("="))
		if !ok {
			return fmt.Errorf("resp: field %q has no value", field)
		}
		switch string(name) {
		case "note":
			a.Fill = notes[string(value)] // one unheard of tells nothing
		case "slow":
			ms, err := strconv.ParseFloat(string(value), 64)
			if err != nil || !(ms >= 0 && ms < 1e9) {
				return fmt.Errorf("resp: slow: %q is no span", value)
			}
			a.Waited = time.Duration(ms * float64(time.Millisecond))
		case "t0":
			ms, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				return fmt.Errorf("resp: t0: %q is no time", value)
			}
			a.Born = ms
		}
	}
	return nil
}

// length reads a line that holds a sign and a number.
func length(in *bufio.Reader, sign byte, most int) (int, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			err = errShape
		}
		return 0, err
	}
	if len(line) < 4 || len(line) > mostHead || line[0] != sign || line[len(line)-2] != '\r' {
		return 0, errShape
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	if err != nil {
		return 0, errShape
	}
	if int(n) > most {
		return 0, fmt.Errorf("resp: a length of %d where %d is the most", n, most)
	}
	return int(n), nil
}

func readBulk(in *bufio.Reader, most int) ([]byte, error) {
	n, err := length(in, '$', most)
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(in, b); err != nil {
		return nil, err
	}
	var end [2]byte
	if _, err := io.ReadFull(in, end[:]); err != nil {
		return nil, err
	}
	if end != [2]byte{'\r', '\n'} {
		return nil, errShape
	}
	return b, nil
}
