// Package msgpack is the codec of the clients' protocol, MessagePack-RPC, and of the messages between directors, which are also
// encoded in MessagePack. It converts between bytes and fields; it makes no decisions and opens no sockets. No other package uses the
// names of the clients' protocol.
package msgpack

import (
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Bounds of a client's message. They limit the memory that a client can make a director allocate.
const (
	maxBody  = 48000   // bytes of a body, and of an unused value
	maxField = 1 << 10 // bytes of a field's name or value
	// maxHeldField is how many bytes of a request's field are held; no valid value is longer.
	maxHeldField = 128
	maxFields    = 64      // fields of a request
	maxMethod    = 128     // bytes of a method's name
	maxDepth     = 8       // levels of nested arrays and maps in an unused value
	maxItems     = 1 << 10 // values of an array, and of an unused map
	maxID        = math.MaxUint32
	maxLength    = math.MaxInt32 // length of any value
	maxResponse  = 256 << 10     // bytes of a response's body that a client accepts
)

// ErrMalformed is the error for bytes that are not MessagePack, or for a value that the protocol does not allow in its position.
var ErrMalformed = errors.New("msgpack: malformed message")

// LimitError is the error for a length that exceeds its limit.
type LimitError struct {
	Length int
	Limit  int
	Unit   string // unit of Length and Limit
}

// Error states the length, its unit and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("msgpack: %d %s exceed the limit of %d", e.Length, e.Unit, e.Limit)
}

// checkLimit returns a *LimitError for a length over its limit.
func checkLimit(length, limit int, unit string) error {
	if length > limit {
		return &LimitError{Length: length, Limit: limit, Unit: unit}
	}
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other error as it is. io.EOF itself means that a stream ended between
// messages.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Types of MessagePack-RPC messages. The type is the first value of a message.
const (
	typeRequest      = 0
	typeResponse     = 1
	typeNotification = 2
)

// Numbers of values in MessagePack-RPC messages.
const (
	requestValues      = 4
	responseValues     = 4
	notificationValues = 3
)

// Methods with a special meaning. The method of any other request is its class.
const (
	methodAlive  = "alive"
	methodCancel = "cancelRequest"
)

// Names of a request's fields.
const (
	fieldRequestID      = "i"
	fieldTimeout        = "d" // milliseconds
	fieldIdempotencyKey = "k"
	fieldObject         = "o"
	fieldPart           = "n"
	fieldGroup          = "shard"
	fieldETag           = "mine"
)

// Names of a response's errors and fields.
const (
	errorRejected    = "Shed"
	errorFailed      = "Fault"
	fieldRetryAfter  = "w" // milliseconds
	fieldReason      = "why"
	fieldNotModified = "still"
	valueNotModified = "1"
)

// Kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Request             Kind = iota // a request for an object
	ReadinessCheck                  // a query whether the director is ready to serve
	Cancellation                    // the client no longer waits for a request
	UnknownNotification             // any other notification; directors ignore it
)

// Message is one message of a client. The idempotency key and the entity tag are forwarded byte for byte.
type Message struct {
	Kind  Kind
	ID    uint32 // id of the request; for a cancellation, of the request to cancel
	Class string // class of the request

	// HasID reports whether the id of a request was read. If so, the director can respond even if the rest is malformed.
	HasID bool

	RequestID      string        // the client's id for the request
	Timeout        time.Duration // 0: missing or invalid
	IdempotencyKey string        // "": none
	Object         string
	Part           string
	Group          string
	ETag           string // entity tag of the client's own copy; "": it has none
	Body           []byte
	BodyDropped    bool // the body was discarded because it was not admitted
}
