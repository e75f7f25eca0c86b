package msgpack

import (
	"strconv"
	"time"
)

// Read returns the next message of a client. It returns io.EOF if the stream ends between messages, io.ErrUnexpectedEOF if it ends
// within one, and ErrMalformed or a *LimitError for a message that violates the protocol. After an error the stream must not be read
// further. The message returned with an error has the fields that were read, so that the caller can answer with a failure.
func (r *Reader) Read() (message Message, err error) {
	if _, err := r.in.Peek(1); err != nil {
		return message, err
	}
	err = r.message(&message)
	return message, unexpectedEOF(err)
}

// messageHead reads the number of values of a message and its first value, which is its type.
func (r *Reader) messageHead() (values int, messageType uint64, err error) {
	if values, err = r.array(); err != nil {
		return 0, 0, err
	}
	messageType, err = r.uint()
	return values, messageType, err
}

// message reads a request or a notification.
func (r *Reader) message(message *Message) error {
	values, messageType, err := r.messageHead()
	if err != nil {
		return err
	}
	switch {
	case messageType == typeRequest && values == requestValues:
		return r.request(message)
	case messageType == typeNotification && values == notificationValues:
		return r.notification(message)
	}
	return ErrMalformed
}

// request reads a request's id, method and arguments.
func (r *Reader) request(message *Message) (err error) {
	if message.ID, err = r.id(); err != nil {
		return err
	}
	message.HasID = true
	if message.Class, err = r.text(maxMethod); err != nil {
		return err
	}
	if message.Class == methodAlive {
		message.Kind = ReadinessCheck
	}
	return r.arguments(message)
}

// arguments reads the fields and the body of a request. A readiness check needs neither. It skips further arguments, which a later
// version of the protocol may add.
func (r *Reader) arguments(message *Message) error {
	count, err := r.array()
	if err != nil {
		return err
	}
	for position := range count {
		switch {
		case position == 0:
			err = r.fields(message)
		case position == 1 && message.Kind == Request:
			err = r.body(message)
		default:
			err = r.skip(0)
		}
		if err != nil {
			return err
		}
	}
	if message.Kind == Request && count < 2 {
		return ErrMalformed
	}
	return nil
}

// body reads the body of a request, or discards it if it is not admitted.
func (r *Reader) body(message *Message) error {
	length, err := r.bytesLength(maxBody)
	if err != nil || length == 0 {
		return err
	}
	if r.admit != nil && !r.admit(length) {
		message.BodyDropped = true
		_, err = r.in.Discard(length)
		return err
	}
	message.Body, err = r.content(length)
	return err
}

// notification reads a cancellation, and skips the arguments of any other notification.
func (r *Reader) notification(message *Message) error {
	method, err := r.text(maxMethod)
	if err != nil {
		return err
	}
	message.Kind = UnknownNotification
	count, err := r.array()
	if err != nil {
		return err
	}
	for position := range count {
		if position == 0 && method == methodCancel {
			err = r.cancellation(message)
		} else {
			err = r.skip(0)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// cancellation reads the id of the request to cancel.
func (r *Reader) cancellation(message *Message) error {
	id, err := r.id()
	if err != nil {
		return err
	}
	message.Kind, message.ID = Cancellation, id
	return nil
}

// fields reads the map of a request's fields, whose names and values are strings.
func (r *Reader) fields(message *Message) error {
	count, err := r.mapHead()
	if err != nil {
		return err
	}
	if err := checkLimit(count, maxFields, "fields"); err != nil {
		return err
	}
	for range count {
		name, err := r.text(maxField)
		if err != nil {
			return err
		}
		value, err := r.shortenedText(maxField, maxHeldField)
		if err != nil {
			return err
		}
		message.setField(name, value)
	}
	return nil
}

// setField sets one field of a request. It ignores fields with unknown names.
func (m *Message) setField(name, value string) {
	switch name {
	case fieldRequestID:
		m.RequestID = value
	case fieldTimeout:
		m.Timeout, _ = parseMilliseconds(value) // 0 if it is invalid, so that the response is the same as for a missing one
	case fieldIdempotencyKey:
		m.IdempotencyKey = value
	case fieldObject:
		m.Object = value
	case fieldPart:
		m.Part = value
	case fieldGroup:
		m.Group = value
	case fieldETag:
		m.ETag = value
	}
}

// parseMilliseconds parses a duration in whole milliseconds, of at most 31 bits. It returns 0 with an error.
func parseMilliseconds(text string) (time.Duration, error) {
	const bits = 31
	milliseconds, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, err
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}
