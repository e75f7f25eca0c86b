package msgpack

import (
	"strconv"
	"time"
)

// A response is an array of four values: the type, the id of the request, an error or nil, and a result or nil.

// An error is an array of its name and a map of fields. A result is an array of the body, or a boolean, and a map of fields.
const (
	errorValues  = 2
	resultValues = 2
)

// Success returns a successful response in three parts that must be sent in order. The middle part is the body itself, so that it is
// not copied. notModified states that the client's own copy is still valid; the body is then empty.
func Success(id uint32, body []byte, notModified bool) (head, middle, tail []byte) {
	head = append(responseHead(id), formatNil)
	head = AppendList(head, resultValues)
	head = appendBytesHead(head, len(body))
	if !notModified {
		return head, body, appendMap(nil, 0)
	}
	tail = appendMap(nil, 1)
	tail = AppendText(tail, fieldNotModified)
	tail = AppendText(tail, valueNotModified)
	return head, body, tail
}

// Rejection returns the rejection of a request that was not executed, so that a retry is safe. retryAfter is the time after which to
// retry. It is encoded in whole milliseconds, and omitted if it is shorter than one.
func Rejection(id uint32, retryAfter time.Duration) []byte {
	b := AppendList(responseHead(id), errorValues)
	b = AppendText(b, errorRejected)
	if milliseconds := retryAfter.Milliseconds(); milliseconds > 0 {
		b = appendMap(b, 1)
		b = AppendText(b, fieldRetryAfter)
		b = AppendText(b, strconv.FormatInt(milliseconds, 10))
	} else {
		b = appendMap(b, 0)
	}
	return append(b, formatNil)
}

// Failure returns the failure of a request that may have been executed. The reason is for the client's log.
func Failure(id uint32, reason string) []byte {
	b := AppendList(responseHead(id), errorValues)
	b = AppendText(b, errorFailed)
	b = appendMap(b, 1)
	b = AppendText(b, fieldReason)
	b = AppendText(b, reason)
	return append(b, formatNil)
}

// Readiness returns the response to a readiness check.
func Readiness(id uint32, ready bool) []byte {
	b := append(responseHead(id), formatNil)
	b = AppendList(b, resultValues)
	if ready {
		b = append(b, formatTrue)
	} else {
		b = append(b, formatFalse)
	}
	return appendMap(b, 0)
}

// responseHead returns the start of a response: the head of its array, the type and the id.
func responseHead(id uint32) []byte {
	return appendUint32([]byte{formatFixArray | responseValues, typeResponse}, id)
}
