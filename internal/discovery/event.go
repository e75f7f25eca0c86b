// Package discovery is the codec of the discovery service's protocol, which has numbered events about endpoints and purges. Events are
// encoded as frames of a stream and as JSON in a configuration. The package makes no decisions and opens no sockets. No other package
// uses the names of the protocol.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"indigochute.example/indigochute/internal/routing"
)

// ErrMalformed is the error for a frame or a hello that violates the protocol. Errors with details wrap it.
var ErrMalformed = errors.New("feed: malformed frame")

// Endpoint is a node as the discovery service lists it.
type Endpoint struct {
	ID          uint32
	Addr        netip.AddrPort
	State       routing.State
	Zone        int     // index of its zone in the settings
	Kind        int     // index of its tier in the settings
	Cell        int     // failure domain within the zone
	Capacity    float64 // relative capacity; 0: the list does not state it
	StartedUnix int64   // Unix milliseconds of its last start; 0: long ago
}

// Event is one numbered event. At most one of Endpoints and Purge is set. An event with neither is a heartbeat.
type Event struct {
	Number    uint64
	Endpoints []Endpoint // endpoints that changed, or all of them
	Complete  bool       // Endpoints is the full snapshot
	Purge     *Purge
}

// Purge invalidates the cached copies of an object or, if Object is 0, of a group that are older than the stamp.
type Purge struct {
	Object    uint64
	Group     uint32
	StampUnix int64 // Unix milliseconds
}

// Gap is the error for missing events between two numbers. A director then requests them again.
type Gap struct {
	Last  uint64 // number of the last event before the gap
	Next  uint64 // number of the event that revealed the gap
	Empty bool   // that event is a heartbeat, which has the number of the newest event
}

// Error states the numbers of both events.
func (g Gap) Error() string {
	if g.Empty {
		return fmt.Sprintf("feed: events are missing, the newest is %d and the last received is %d", g.Next, g.Last)
	}
	return fmt.Sprintf("feed: events are missing, received event %d after event %d", g.Next, g.Last)
}

// The text form of an endpoint's id consists of idPrefix and the number in idDigits hexadecimal digits.
const (
	idPrefix = "s-"
	idDigits = 8
)

// ParseID parses an endpoint's id in the form that FormatID returns.
func ParseID(text string) (uint32, error) {
	digits, found := strings.CutPrefix(text, idPrefix)
	id, err := strconv.ParseUint(digits, 16, 32)
	if !found || err != nil || len(digits) != idDigits {
		return 0, fmt.Errorf("%q is not an endpoint id, expected s- and 8 hex digits", text)
	}
	return uint32(id), nil
}

// FormatID returns the text form of an endpoint's id.
func FormatID(id uint32) string { return fmt.Sprintf("%s%0*x", idPrefix, idDigits, id) }

// stateEncoding is a state of an endpoint and its encodings in the protocol.
type stateEncoding struct {
	state routing.State
	code  byte   // in frames
	name  string // in JSON
}

// stateEncodings lists all states.
var stateEncodings = [...]stateEncoding{
	{routing.Ready, 0, "SERVING"},
	{routing.Draining, 1, "DRAINING"},
	{routing.Gone, 2, "DELETED"},
}

// findEncoding returns the first encoding that matches, or the zero encoding and false if none does.
func findEncoding(matches func(stateEncoding) bool) (found stateEncoding, known bool) {
	for _, encoding := range stateEncodings {
		if matches(encoding) {
			return encoding, true
		}
	}
	return stateEncoding{}, false
}

// stateOfCode returns the state with the given code in frames. known is false if there is none.
func stateOfCode(code byte) (state routing.State, known bool) {
	found, known := findEncoding(func(encoding stateEncoding) bool { return encoding.code == code })
	return found.state, known
}

// stateOfName returns the state with the given name in JSON. known is false if there is none.
func stateOfName(name string) (state routing.State, known bool) {
	found, known := findEncoding(func(encoding stateEncoding) bool { return encoding.name == name })
	return found.state, known
}

// encodingOf returns the encoding of a state, or code 0 and an empty name for an unknown state.
func encodingOf(state routing.State) stateEncoding {
	found, _ := findEncoding(func(encoding stateEncoding) bool { return encoding.state == state })
	return found
}
