package resp

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// Request is one attempt of a request in the form in which a node receives it. Class, Object, Part, IdempotencyKey, ETag and Body are
// forwarded unchanged from the client's message.
type Request struct {
	ID             string
	Class          string
	Object         string
	Part           string
	IdempotencyKey string        // "": none
	ETag           string        // entity tag of the client's own copy; "": it has none
	Timeout        time.Duration // time until the client's deadline
	Source         string        // node that fills a miss; "": a miss is not filled
	Order          routing.AttemptOrder
	Body           []byte
}

// requestFieldsBytes is the initial capacity for the fields of a request, in bytes. It is enough for most requests.
const requestFieldsBytes = 160

// AppendRequest appends a request. Durations are written in whole milliseconds. Shorter ones are written as 1, since 0 would mean no
// limit.
func AppendRequest(b []byte, request *Request) []byte {
	b = appendRequestHead(b, request)
	b = append(b, request.Body...)
	return append(b, lineEnd...)
}

// RequestParts returns the bytes of a request, as AppendRequest appends them, in parts that must be sent in order. One of them is the
// body itself, so that it is not copied.
func RequestParts(request *Request) [][]byte {
	head := appendRequestHead(nil, request)
	if len(request.Body) == 0 {
		return [][]byte{append(head, lineEnd...)}
	}
	return [][]byte{head, request.Body, []byte(lineEnd)}
}

// appendRequestHead appends a request up to its body, which follows with a line's end.
func appendRequestHead(b []byte, request *Request) []byte {
	fields := make([]byte, 0, requestFieldsBytes)
	fields = appendText(fields, fieldClass, request.Class)
	fields = appendText(fields, fieldObject, request.Object)
	if request.Part != "" {
		fields = appendText(fields, fieldPart, request.Part)
	}
	fields = appendMilliseconds(fields, fieldTimeout, request.Timeout)
	if request.IdempotencyKey != "" {
		fields = appendText(fields, fieldIdempotencyKey, request.IdempotencyKey)
	}
	if request.Source != "" {
		fields = appendText(fields, fieldSource, request.Source)
	}
	if request.Order.CachePriority > 0 {
		fields = appendInt(fields, fieldCachePriority, int64(request.Order.CachePriority))
	}
	if request.Order.MaxAge > 0 {
		fields = appendMilliseconds(fields, fieldMaxAge, request.Order.MaxAge)
	}
	fields = appendOptions(fields, &request.Order)
	if request.ETag != "" {
		fields = appendText(fields, fieldETag, request.ETag)
	}
	b = appendArray(b, getWords)
	b = appendBulk(b, commandGet)
	b = appendBulk(b, request.ID)
	b = appendBulk(b, fields)
	return appendLength(b, prefixBulk, len(request.Body))
}

// appendMilliseconds appends a field that is a duration in whole milliseconds, 1 at least.
func appendMilliseconds(fields []byte, name string, duration time.Duration) []byte {
	return appendInt(fields, name, max(1, duration.Milliseconds()))
}

// appendOptions appends the field of a request's options, unless it has none.
func appendOptions(fields []byte, order *routing.AttemptOrder) []byte {
	options := [...]struct {
		set  bool
		name string
	}{
		{order.CollapseFills, optionCollapse},
		{order.OnlyIfCached, optionOnlyIfCached},
		{order.Revalidate, optionRevalidate},
	}
	first := true
	for _, option := range options {
		if !option.set {
			continue
		}
		if first {
			fields = appendName(fields, fieldOptions)
			first = false
		} else {
			fields = append(fields, optionSeparator...)
		}
		fields = append(fields, option.name...)
	}
	return fields
}

// AppendHealthCheck appends a health check. A node that runs responds with the status Pong and the tag as id.
func AppendHealthCheck(b []byte, tag string) []byte { return appendCommand(b, commandPing, tag) }

// AppendCancel appends the cancellation of a request. Nodes do not respond to it.
func AppendCancel(b []byte, id string) []byte { return appendCommand(b, commandDrop, id) }

// appendCommand appends a command with one argument.
func appendCommand(b []byte, command, argument string) []byte {
	b = appendArray(b, shortWords)
	b = appendBulk(b, command)
	return appendBulk(b, argument)
}
