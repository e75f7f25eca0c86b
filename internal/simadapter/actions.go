package simadapter

import (
	"encoding/binary"
	"math"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// reply is the reply to one frame. It consists of a header and action records.
type reply struct {
	bytes []byte
	last  *instance // instance of the last action; nil: no action yet
}

// start starts the reply to the frame whose number has the given bytes. The method finish sets the length.
func (r *reply) start(number []byte) {
	r.last = nil
	r.bytes = append(r.bytes[:0], number...)
	r.bytes = append(r.bytes, make([]byte, lengthBytes)...)
}

// finish sets the length and returns the bytes of the reply. The next call of start overwrites them.
func (r *reply) finish() []byte {
	length := len(r.bytes) - numberBytes - lengthBytes
	binary.LittleEndian.PutUint32(r.bytes[numberBytes:], uint32(length))
	return r.bytes
}

// uint8, uint16 and uint32 append a number in little-endian byte order.
func (r *reply) uint8(value uint8)   { r.bytes = append(r.bytes, value) }
func (r *reply) uint16(value uint16) { r.bytes = binary.LittleEndian.AppendUint16(r.bytes, value) }
func (r *reply) uint32(value uint32) { r.bytes = binary.LittleEndian.AppendUint32(r.bytes, value) }

// microseconds appends a duration in microseconds. The duration is rounded up, so that no timer fires early, and limited to the range from
// 0 to math.MaxInt32.
func (r *reply) microseconds(duration time.Duration) {
	microseconds := duration / time.Microsecond
	if duration%time.Microsecond > 0 {
		microseconds++
	}
	microseconds = max(microseconds, 0)
	microseconds = min(microseconds, math.MaxInt32)
	r.uint32(uint32(microseconds))
}

// action starts an action of an instance. If the previous action was of another instance, it writes an action that selects this one first.
func (r *reply) action(acting *instance, code actionCode) {
	if r.last != acting {
		r.last = acting
		r.uint8(uint8(actionInstance))
		r.uint16(acting.id)
	}
	r.uint8(uint8(code))
}

// StartAttempt writes an action that starts an attempt. StartAttempt and the following methods implement routing.Executor.
func (i *instance) StartAttempt(requestID uint32, order routing.AttemptOrder) {
	i.reply.action(i, actionFetchThrough)
	i.reply.uint32(requestID)
	i.reply.microseconds(order.Timeout)
	i.reply.uint8(order.CachePriority)
	i.reply.uint32(order.Node)
	i.reply.microseconds(order.MaxAge)
	i.reply.uint32(order.Source)
	i.reply.uint8(fetchOptions(order))
}

// fetchOptions returns the options of an attempt as the bits of a fetch_through action.
func fetchOptions(order routing.AttemptOrder) uint8 {
	var options uint8
	if order.CollapseFills {
		options |= optionCoalesce
	}
	if order.OnlyIfCached {
		options |= optionOnlyIfCached
	}
	if order.Revalidate {
		options |= optionRevalidate
	}
	return options
}

// CancelAttempt writes an action that stops an attempt. The attempts of a request are numbered from 0.
func (i *instance) CancelAttempt(requestID uint32, attempt int) {
	i.reply.action(i, actionStopAttempt)
	i.reply.uint32(requestID)
	i.reply.uint8(uint8(attempt))
}

// Reject writes an action that rejects a request. A retryAfter of 0 means that the response does not say when to retry.
func (i *instance) Reject(requestID uint32, retryAfter time.Duration) {
	i.reply.action(i, actionOverloadReply)
	i.reply.uint32(requestID)
	i.reply.microseconds(retryAfter)
}

// Fail writes an action that fails a request. The request may have been executed.
func (i *instance) Fail(requestID uint32) {
	i.reply.action(i, actionRespondError)
	i.reply.uint32(requestID)
}

// CheckHealth writes an action that checks the health of an endpoint.
func (i *instance) CheckHealth(endpointID uint32) {
	i.reply.action(i, actionSoundOut)
	i.reply.uint32(endpointID)
}

// SetTimer writes an action that sets a timer. When the timer expires, the simulator sends a wakeup event with the token.
func (i *instance) SetTimer(wait time.Duration, token uint32) {
	i.reply.action(i, actionAfter)
	i.reply.microseconds(wait)
	i.reply.uint32(token)
}
