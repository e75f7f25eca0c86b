package resp

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"time"
)

// This file has the nodes' side of the protocol, which emulators of nodes use.

// Command is a message to a node: a request, the cancellation of a request, or a health check.
type Command struct {
	Request          // for a cancellation or a health check, only the ID is set
	Cancel      bool // the command cancels the request with the ID
	HealthCheck bool // the command is a health check with the ID as its tag
}

// ReadCommand reads the next command of a stream. It returns the same errors as ReadResponse.
func ReadCommand(in *bufio.Reader) (command Command, err error) {
	if _, err := in.Peek(1); err != nil {
		return command, err
	}
	err = command.read(in)
	return command, unexpectedEOF(err)
}

// Positions of the bulk strings in a command. Only a request has the last two.
const (
	nameWord = iota
	idWord
	fieldsWord
	bodyWord
)

// read reads the bulk strings of a command.
func (c *Command) read(in *bufio.Reader) error {
	length, err := readLength(in, prefixArray, maxCommand)
	if err != nil {
		return err
	}
	var words [maxCommand][]byte
	for position := range length {
		limit := maxFields
		if position == bodyWord {
			limit = maxRequestBody
		}
		if words[position], err = readBulk(in, limit); err != nil {
			return err
		}
	}
	c.ID = string(words[idWord])
	switch name := string(words[nameWord]); {
	case length == getWords && name == commandGet:
		c.Body = words[bodyWord]
		return parseFields(words[fieldsWord], c.setField)
	case length == shortWords && name == commandDrop:
		c.Cancel = true
	case length == shortWords && name == commandPing:
		c.HealthCheck = true
	default:
		return fmt.Errorf("%w: unknown command %q of %d words", ErrMalformed, name, length)
	}
	return nil
}

// setField sets one field of a request. It ignores fields with unknown names and sets an invalid number to 0, since emulated nodes
// serve as many requests as possible.
func (c *Command) setField(name, value []byte) error {
	switch string(name) {
	case fieldClass:
		c.Class = string(value)
	case fieldObject:
		c.Object = string(value)
	case fieldPart:
		c.Part = string(value)
	case fieldTimeout:
		c.Timeout = parseMilliseconds(value)
	case fieldIdempotencyKey:
		c.IdempotencyKey = string(value)
	case fieldSource:
		c.Source = string(value)
	case fieldCachePriority:
		priority, _ := strconv.Atoi(string(value))
		c.Order.CachePriority = uint8(priority)
	case fieldMaxAge:
		c.Order.MaxAge = parseMilliseconds(value)
	case fieldETag:
		c.ETag = string(value)
	case fieldOptions:
		for option := range bytes.SplitSeq(value, []byte(optionSeparator)) {
			c.setOption(option)
		}
	}
	return nil
}

// setOption sets one option of a request. It ignores unknown options.
func (c *Command) setOption(option []byte) {
	switch string(option) {
	case optionCollapse:
		c.Order.CollapseFills = true
	case optionOnlyIfCached:
		c.Order.OnlyIfCached = true
	case optionRevalidate:
		c.Order.Revalidate = true
	}
}

// parseMilliseconds parses a duration in whole milliseconds. It returns 0 for an invalid one.
func parseMilliseconds(value []byte) time.Duration {
	const bits = 62
	milliseconds, _ := strconv.ParseInt(string(value), 10, bits)
	return time.Duration(milliseconds) * time.Millisecond
}

// responseFieldsBytes is the initial capacity for the fields of a response, in bytes. It is enough for most responses.
const responseFieldsBytes = 64

// AppendResponse appends a node's response.
func AppendResponse(b []byte, response *Response) []byte {
	fields := make([]byte, 0, responseFieldsBytes)
	if name := fillNames[response.Fill]; name != "" {
		fields = appendText(fields, fieldFill, name)
	}
	if response.Waited > 0 {
		milliseconds := float64(response.Waited) / float64(time.Millisecond)
		fields = strconv.AppendFloat(appendName(fields, fieldWaited), milliseconds, 'f', 3, 64)
	}
	if response.Fetched != 0 {
		fields = appendInt(fields, fieldFetched, response.Fetched)
	}
	if len(fields) == 0 {
		fields = append(fields, noFields...)
	}
	b = appendArray(b, responseWords)
	b = appendBulk(b, response.ID)
	b = appendBulk(b, statusNames[response.Status])
	b = appendBulk(b, fields)
	return appendBulk(b, response.Body)
}
