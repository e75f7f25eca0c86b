// Package resp is the codec of the cache nodes' protocol: RESP arrays of bulk strings. It writes requests to nodes and reads their
// responses; it makes no decisions and opens no sockets. No other package uses the names of the nodes' protocol.
package resp

import (
	"errors"
	"fmt"
	"io"

	"indigochute.example/indigochute/internal/routing"
)

// Bounds of a message. They limit the memory that a faulty node can make a director allocate.
const (
	maxID          = 64        // bytes of a response's id
	maxStatus      = 16        // bytes of a response's status
	maxFields      = 4 << 10   // bytes of the fields of a response or a command, and of a command's other words
	maxBody        = 256 << 10 // bytes of a response's body
	maxRequestBody = 48000     // bytes of a request's body
	maxLineSize    = 16        // bytes of a line that holds a length
	lengthBits     = 31        // bits of a length
)

// Lengths of messages, in bulk strings.
const (
	responseWords = 4        // of a response: id, status, fields, body
	getWords      = 4        // of a request: GET, id, fields, body
	shortWords    = 2        // of a cancellation or a health check: command, id
	maxCommand    = getWords // of the longest command
)

// ErrMalformed is the error for bytes that are not RESP, or for RESP that the protocol does not allow at its place. Errors with details
// wrap it.
var ErrMalformed = errors.New("resp: malformed message")

// LimitError is the error for a length over its limit. Length and Limit are in bytes or, for an array, in bulk strings.
type LimitError struct {
	Length int
	Limit  int
}

// Error names the length and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("resp: a length of %d exceeds the limit of %d", e.Length, e.Limit)
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other error as it is. io.EOF itself means that a stream ended between
// messages.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Commands, the first bulk string of a message to a node.
const (
	commandGet  = "GET"  // request
	commandDrop = "DROP" // cancellation of a request
	commandPing = "PING" // health check
)

// Names of a request's fields.
const (
	fieldClass          = "c"
	fieldObject         = "k"
	fieldPart           = "p"
	fieldTimeout        = "w" // milliseconds
	fieldIdempotencyKey = "i"
	fieldSource         = "next"
	fieldRank           = "admit"
	fieldMaxAge         = "agelim" // milliseconds
	fieldOptions        = "ways"   // separated by optionSeparator
	fieldETag           = "cached"
)

// Options of a request.
const (
	optionCoalesce     = "collapse"
	optionOnlyIfCached = "only-if-cached"
	optionRevalidate   = "refresh"
	optionSeparator    = "+"
)

// Names of a response's fields.
const (
	fieldFill    = "note"
	fieldWaited  = "slow" // milliseconds, with decimals
	fieldFetched = "t0"   // Unix millisecond
)

// Separators of fields, and the text that stands for no fields.
const (
	fieldSeparator = ","
	valueSeparator = "="
	noFields       = "-"
)

// Status is what a node did with a request.
type Status uint8

// Statuses of a response.
const (
	Hit             Status = iota // served: the body is the copy
	NotModified                   // served: the client's own copy is still valid
	Miss                          // cache miss; not executed
	Rejected                      // rejected; not executed
	Failed                        // failed; may have been executed
	AlreadyFinished               // the request had finished already; this attempt was not executed
	Pong                          // response to a health check: the node runs
)

// statusNames are the names of statuses in messages.
var statusNames = [...]string{
	Hit:             "HIT",
	NotModified:     "VALID",
	Miss:            "NONE",
	Rejected:        "SHED",
	Failed:          "FAULT",
	AlreadyFinished: "LATE",
	Pong:            "PONG",
}

// statuses are the statuses by their names in messages.
var statuses = func() map[string]Status {
	byName := map[string]Status{}
	for status, name := range statusNames {
		byName[name] = Status(status)
	}
	return byName
}()

// fills are the cache statuses by their names in messages.
var fills = map[string]routing.Fill{
	"cached":       routing.CacheHit,
	"fetched":      routing.Filled,
	"fetched_root": routing.FilledByOrigin,
	"merged":       routing.Collapsed,
	"past_fresh":   routing.ServedStale,
	"up_refused":   routing.SourceRejected,
	"up_lost":      routing.SourceUnreachable,
	"up_empty":     routing.SourceMiss,
	"fills_full":   routing.FillLimitReached,
	"root_failed":  routing.OriginFailed,
}

// fillNames are the names of cache statuses in messages. routing.FillUnknown has none.
var fillNames = func() map[routing.Fill]string {
	names := map[routing.Fill]string{}
	for name, fill := range fills {
		names[fill] = name
	}
	return names
}()
