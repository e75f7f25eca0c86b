package lease

import (
	"fmt"
	"math"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

const (
	messageFields     = 13 // values in the list that encodes a Message
	leaseRecordFields = 6  // values in the list that encodes a LeaseRecord

	// maxSpanMicroseconds is the longest span that is decoded. Longer spans are shortened to it, so that sums of spans do not
	// overflow.
	maxSpanMicroseconds = uint64(1000 * time.Hour / time.Microsecond)
)

// Append appends an encoded message, without From and To. Spans are in whole microseconds. Rounding never lengthens the time for
// which an instance uses a lease, and never shortens the time for which it waits for a lease to end.
func Append(b []byte, message *Message) []byte {
	b = msgpack.AppendList(b, messageFields)
	b = msgpack.AppendUint(b, uint64(message.Kind))
	b = msgpack.AppendUint(b, message.Term)
	b = msgpack.AppendUint(b, message.Sequence)
	b = msgpack.AppendBool(b, message.Granted)
	b = msgpack.AppendBool(b, message.Leaving)
	b = msgpack.AppendBool(b, message.Complete)
	if message.Kind == VoteRelease { // the receiver waits for this span to end
		b = msgpack.AppendUint(b, microsecondsUp(message.Duration))
	} else { // the receiver uses its leases for this span
		b = msgpack.AppendUint(b, microsecondsDown(message.Duration))
	}
	b = msgpack.AppendUint(b, message.SetNumber)
	b = msgpack.AppendUint(b, message.SetTerm)
	b = msgpack.AppendUint(b, microsecondsUp(message.InheritedLeases))
	b = msgpack.AppendUint(b, message.InheritedTerm)
	b = appendLeaseRecords(b, message.Leases)
	return appendLeaseRecords(b, message.Returned)
}

func appendLeaseRecords(b []byte, list []LeaseRecord) []byte {
	b = msgpack.AppendList(b, len(list))
	for i := range list {
		record := &list[i]
		b = msgpack.AppendList(b, leaseRecordFields)
		b = msgpack.AppendText(b, record.Duty)
		b = msgpack.AppendText(b, record.Owner)
		b = msgpack.AppendUint(b, record.Fence)
		b = msgpack.AppendUint(b, microsecondsUp(record.Remaining))
		b = msgpack.AppendBool(b, record.HasRun)
		b = msgpack.AppendUint(b, microsecondsDown(record.SinceRun))
	}
	return b
}

// microsecondsDown returns a span in microseconds, rounded down; 0 for a negative span.
func microsecondsDown(span time.Duration) uint64 {
	return uint64(max(0, span) / time.Microsecond)
}

// microsecondsUp returns a span in microseconds, rounded up; 0 for a negative span.
func microsecondsUp(span time.Duration) uint64 {
	return microsecondsDown(max(0, span) + time.Microsecond - 1)
}

// Parse decodes a message. It returns an error that wraps one of package msgpack if raw is not a valid message, or if a list or a
// name in it is longer than MaxDuties or MaxNameBytes allow.
func Parse(raw []byte) (message Message, err error) {
	values := msgpack.NewValues(raw)
	values.List(messageFields)
	message.Kind = Kind(min(values.Uint(), math.MaxUint8)) // Receive ignores messages of an unknown kind
	message.Term = values.Uint()
	message.Sequence = values.Uint()
	message.Granted = values.Bool()
	message.Leaving = values.Bool()
	message.Complete = values.Bool()
	message.Duration = parseSpan(values)
	message.SetNumber = values.Uint()
	message.SetTerm = values.Uint()
	message.InheritedLeases = parseSpan(values)
	message.InheritedTerm = values.Uint()
	message.Leases = parseLeaseRecords(values)
	message.Returned = parseLeaseRecords(values)
	if err := values.End(); err != nil {
		return message, fmt.Errorf("decoding a lease message: %w", err)
	}
	return message, nil
}

func parseLeaseRecords(values *msgpack.Values) (list []LeaseRecord) {
	for range values.List(MaxDuties) {
		if values.Err() != nil {
			break
		}
		values.List(leaseRecordFields)
		list = append(list, LeaseRecord{
			Duty:      values.Text(MaxNameBytes),
			Owner:     values.Text(MaxNameBytes),
			Fence:     values.Uint(),
			Remaining: parseSpan(values),
			HasRun:    values.Bool(),
			SinceRun:  parseSpan(values),
		})
	}
	return list
}

// parseSpan decodes a span in microseconds, and shortens it to maxSpanMicroseconds.
func parseSpan(values *msgpack.Values) time.Duration {
	return time.Duration(min(values.Uint(), maxSpanMicroseconds)) * time.Microsecond
}
