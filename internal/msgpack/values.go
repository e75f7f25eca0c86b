package msgpack

import (
	"bufio"
	"bytes"
	"io"
)

// valuesBuffer is the size in bytes of the buffer through which Values reads.
const valuesBuffer = 64

// Values reads the values of a message between directors one by one: unsigned integers, texts, byte strings and lists. After an error,
// all further values are zero, and Err returns the first error.
type Values struct {
	reader Reader
	source *bytes.Reader
	err    error
}

// NewValues returns a reader of the values in a complete message.
func NewValues(message []byte) *Values {
	source := bytes.NewReader(message)
	return &Values{reader: Reader{in: bufio.NewReaderSize(source, valuesBuffer)}, source: source}
}

// Uint reads an unsigned integer.
func (v *Values) Uint() (value uint64) {
	if v.err == nil {
		value, v.err = v.reader.uint()
	}
	return value
}

// Bool reads an unsigned integer and reports whether it is 1.
func (v *Values) Bool() bool { return v.Uint() == 1 }

// Text reads a text of up to limit bytes.
func (v *Values) Text(limit int) string { return string(v.Bytes(limit)) }

// Bytes reads a byte string of up to limit bytes. It also checks the announced length against the bytes left in the message, so
// that it never allocates more than the length of the message.
func (v *Values) Bytes(limit int) (value []byte) {
	if v.err == nil {
		value, v.err = v.reader.bytes(min(limit, v.unreadBytes()))
	}
	return value
}

// List reads the head of a list of up to limit values and returns their number. Since a value takes at least one byte, List also checks
// the number against the bytes left in the message, so that the caller does not allocate memory for more values than that.
func (v *Values) List(limit int) int {
	if v.err != nil {
		return 0
	}
	values, err := v.reader.arrayHead()
	if err == nil {
		err = checkLimit(values, min(limit, v.unreadBytes()), "values of a list")
	}
	if err != nil {
		v.err = err
		return 0
	}
	return values
}

// unreadBytes returns the number of bytes of the message that are not read yet.
func (v *Values) unreadBytes() int { return v.source.Len() + v.reader.in.Buffered() }

// Err returns the first error, or nil: ErrMalformed, a *LimitError or io.ErrUnexpectedEOF.
func (v *Values) Err() error { return unexpectedEOF(v.err) }

// End returns the first error, or ErrMalformed if the message has unread bytes.
func (v *Values) End() error {
	if v.err == nil {
		if _, err := v.reader.in.ReadByte(); err != io.EOF {
			v.err = ErrMalformed
		}
	}
	return v.Err()
}
