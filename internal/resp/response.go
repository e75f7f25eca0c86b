package resp

import (
	"bufio"
	"fmt"
	"strconv"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// Response is a node's response to a request or a health check.
type Response struct {
	ID      string
	Status  Status
	Fill    routing.Fill
	Waited  time.Duration // time until the first byte, or the failure, of the source; 0: not reported
	Fetched int64         // Unix milliseconds at which the origin sent this copy; 0: not reported
	Body    []byte
	// BodyDropped reports whether the body was discarded because it was not admitted.
	BodyDropped bool
}

// BodyAdmission decides whether the body of the response with an id and a status, whose length in bytes it receives, may be held in
// memory. It is called before memory for the body is allocated, and not for an empty body.
type BodyAdmission func(id string, status Status, length int) bool

// DropBodies is the BodyAdmission that admits no body.
func DropBodies(string, Status, int) bool { return false }

// ReadResponse reads the next response of a stream. It returns io.EOF if the stream ends between responses, io.ErrUnexpectedEOF if it
// ends within one, and ErrMalformed, possibly wrapped, or a *LimitError for a response that violates the protocol. After an error the
// stream must not be read further. A body that is not admitted is read and discarded. If admit is nil, all bodies are admitted.
func ReadResponse(in *bufio.Reader, admit BodyAdmission) (response Response, err error) {
	if _, err := in.Peek(1); err != nil {
		return response, err
	}
	err = response.read(in, admit)
	return response, unexpectedEOF(err)
}

// read reads the four bulk strings of a response.
func (r *Response) read(in *bufio.Reader, admit BodyAdmission) error {
	length, err := readLength(in, prefixArray, responseWords)
	if err != nil {
		return err
	}
	if length != responseWords {
		return ErrMalformed
	}
	id, err := readBulk(in, maxID)
	if err != nil {
		return err
	}
	r.ID = string(id)
	status, err := readBulk(in, maxStatus)
	if err != nil {
		return err
	}
	var known bool
	if r.Status, known = statusByName[string(status)]; !known {
		return fmt.Errorf("%w: unknown status %q", ErrMalformed, status)
	}
	fields, err := readBulk(in, maxFields)
	if err != nil {
		return err
	}
	if err := parseFields(fields, r.setField); err != nil {
		return err
	}
	return r.readBody(in, admit)
}

// readBody reads the body of a response, or discards it if it is not admitted.
func (r *Response) readBody(in *bufio.Reader, admit BodyAdmission) error {
	length, err := readLength(in, prefixBulk, maxBody)
	if err != nil {
		return err
	}
	if length > 0 && admit != nil && !admit(r.ID, r.Status, length) {
		r.BodyDropped = true
		return discardContent(in, length)
	}
	r.Body, err = readContent(in, length)
	return err
}

// setField sets one field of a response. It ignores fields with unknown names, so that nodes may add fields.
func (r *Response) setField(name, value []byte) error {
	switch string(name) {
	case fieldFill:
		r.Fill = fillByName[string(value)] // routing.FillUnknown for an unknown name
	case fieldWaited:
		waited, err := parseWaited(value)
		if err != nil {
			return err
		}
		r.Waited = waited
	case fieldFetched:
		fetched, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("%w: %s: %q is not a Unix time in milliseconds", ErrMalformed, name, value)
		}
		r.Fetched = fetched
	}
	return nil
}

// parseWaited parses a duration in milliseconds, with decimals. It rejects negative and impossibly long durations, NaN and infinity,
// since the conversion to a time.Duration could overflow.
func parseWaited(value []byte) (time.Duration, error) {
	const tooLong = 1e9 // milliseconds; eleven days
	milliseconds, err := strconv.ParseFloat(string(value), 64)
	inRange := milliseconds >= 0 && milliseconds < tooLong // false for NaN
	if err != nil || !inRange {
		return 0, fmt.Errorf("%w: %s: %q is not a duration in milliseconds", ErrMalformed, fieldWaited, value)
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}
