package msgpack

import (
	"bufio"
	"strconv"
	"time"
)

// This file has the clients' side of the protocol, which emulators of clients use.

// AppendRequest appends a request as a client encodes it. It omits empty fields.
func AppendRequest(b []byte, message *Message) []byte {
	fields := [...]struct{ name, value string }{
		{fieldRequestID, message.RequestID},
		{fieldTimeout, strconv.FormatInt(message.Timeout.Milliseconds(), 10)},
		{fieldIdempotencyKey, message.IdempotencyKey},
		{fieldObject, message.Object},
		{fieldPart, message.Part},
		{fieldGroup, message.Group},
		{fieldETag, message.ETag},
	}
	b = appendRequestHead(b, message.ID, message.Class)
	b = AppendList(b, 2)
	mapHead := len(b)
	b = appendMap(b, 0)
	for _, field := range fields {
		if field.value == "" {
			continue
		}
		b = AppendText(b, field.name)
		b = AppendText(b, field.value)
		b[mapHead]++ // the low bits of the head are the number of pairs
	}
	return AppendBytes(b, message.Body)
}

// appendRequestHead appends the type, the id and the method of a request.
func appendRequestHead(b []byte, id uint32, method string) []byte {
	b = append(AppendList(b, requestValues), typeRequest)
	return AppendText(appendUint32(b, id), method)
}

// AppendCancel appends the cancellation of a request that its client no longer waits for.
func AppendCancel(b []byte, id uint32) []byte {
	b = append(AppendList(b, notificationValues), typeNotification)
	b = AppendText(b, methodCancel)
	return appendUint32(AppendList(b, 1), id)
}

// AppendReadinessCheck appends a readiness check.
func AppendReadinessCheck(b []byte, id uint32) []byte {
	b = appendRequestHead(b, id, methodAlive)
	return appendMap(AppendList(b, 1), 0)
}

// Response is a director's response as its client reads it.
type Response struct {
	ID          uint32
	Rejected    bool          // the request was not executed; for a readiness check: the director is not ready
	Failed      bool          // the request may have been executed
	RetryAfter  time.Duration // for a rejection: time after which to retry; 0: not stated
	NotModified bool          // the client's own copy is still valid
	Body        []byte
}

// ReadResponse reads the next response of a stream. It returns the same errors as Reader.Read.
func ReadResponse(in *bufio.Reader) (response Response, err error) {
	if _, err := in.Peek(1); err != nil {
		return response, err
	}
	err = (&Reader{in: in}).response(&response)
	return response, unexpectedEOF(err)
}

// response reads a response.
func (r *Reader) response(response *Response) error {
	values, messageType, err := r.messageHead()
	if err != nil {
		return err
	}
	if values != responseValues || messageType != typeResponse {
		return ErrMalformed
	}
	if response.ID, err = r.id(); err != nil {
		return err
	}
	next, err := r.in.Peek(1)
	if err != nil {
		return err
	}
	if next[0] != formatNil {
		return r.failure(response)
	}
	if err := r.skip(0); err != nil {
		return err
	}
	return r.result(response)
}

// result reads the result of a successful response or of a readiness check: a body or a boolean, then fields.
func (r *Reader) result(response *Response) error {
	values, err := r.array()
	if err != nil {
		return err
	}
	if values < 1 {
		return ErrMalformed
	}
	next, err := r.in.Peek(1)
	if err != nil {
		return err
	}
	if format := next[0]; format == formatFalse || format == formatTrue {
		response.Rejected = format == formatFalse
		err = r.skip(0)
	} else {
		response.Body, err = r.bytes(maxResponse)
	}
	if err != nil {
		return err
	}
	fields := map[string]string{}
	for range values - 1 {
		if err := r.responseFields(fields); err != nil {
			return err
		}
	}
	response.NotModified = fields[fieldNotModified] == valueNotModified
	return nil
}

// failure reads the error of a response, which is a name and a map of fields, and the nil in place of the result.
func (r *Reader) failure(response *Response) error {
	values, err := r.array()
	if err != nil {
		return err
	}
	if values != errorValues {
		return ErrMalformed
	}
	name, err := r.text(maxMethod)
	if err != nil {
		return err
	}
	fields := map[string]string{}
	if err := r.responseFields(fields); err != nil {
		return err
	}
	response.Rejected = name == errorRejected
	response.Failed = !response.Rejected
	if retryAfter, err := parseMilliseconds(fields[fieldRetryAfter]); err == nil {
		response.RetryAfter = retryAfter
	}
	result, err := r.in.ReadByte()
	if err == nil && result != formatNil {
		err = ErrMalformed
	}
	return err
}

// responseFields reads a map of strings into fields. Directors encode such a map as a fixmap; any other format is ErrMalformed.
func (r *Reader) responseFields(fields map[string]string) error {
	format, err := r.in.ReadByte()
	if err != nil {
		return err
	}
	if !isFixMap(format) {
		return ErrMalformed
	}
	for range format & maxFixMap {
		name, err := r.text(maxField)
		if err != nil {
			return err
		}
		if fields[name], err = r.text(maxField); err != nil {
			return err
		}
	}
	return nil
}
