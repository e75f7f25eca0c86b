package msgpack

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// Single values, for what directors tell each other: whole numbers, texts, bytes, lists. What holds them is bounded
// and whole in memory before it is read.

// AppendUint writes a whole number in its shortest form.
func AppendUint(b []byte, v uint64) []byte {
	switch {
	case v < 0x80:
		return append(b, byte(v))
	case v < 1<<8:
		return append(b, 0xcc, byte(v))
	case v < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	case v < 1<<32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
}

// AppendBool writes 1 or 0.
func AppendBool(b []byte, yes bool) []byte {
	if yes {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendText writes a text, of which 255 bytes at most.
func AppendText(b []byte, s string) []byte { return text(b, s) }

// AppendBytes writes bytes.
func AppendBytes(b, raw []byte) []byte {
	return append(binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(raw))), raw...)
}

// AppendList writes the head of a list of n values, which are to follow.
func AppendList(b []byte, n int) []byte {
	if n < 16 {
		return append(b, 0x90|byte(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xdd), uint32(n))
}

// Values reads values one after another. After the first that is not as expected all are zero, and Err tells why.
type Values struct {
	r    Reader
	left *bytes.Reader
	err  error
}

// NewValues reads what bytes hold.
func NewValues(b []byte) *Values {
	left := bytes.NewReader(b)
	return &Values{r: Reader{bufio.NewReaderSize(left, 64)}, left: left}
}

// Uint reads a whole number.
func (v *Values) Uint() (x uint64) {
	if v.err == nil {
		x, v.err = v.r.uint()
	}
	return x
}

// Bool reads 0 or 1.
func (v *Values) Bool() bool { return v.Uint() == 1 }

// Text reads a text of so many bytes at most.
func (v *Values) Text(most int) string { return string(v.Bytes(most)) }

// Bytes reads bytes, so many at most.
func (v *Values) Bytes(most int) (b []byte) {
	if v.err == nil {
		b, v.err = v.r.bytes(min(most, v.size()))
	}
	return b
}

// List reads the head of a list of so many values at most. Each takes a byte at least, so no head can have more room
// made than what holds it is long.
func (v *Values) List(most int) (n int) {
	if v.err != nil {
		return 0
	}
	b, err := v.r.in.ReadByte()
	switch {
	case err != nil:
	case b&0xf0 == 0x90:
		n = int(b & 0x0f)
	case b == 0xdc:
		n, err = v.r.size(2)
	case b == 0xdd:
		n, err = v.r.size(4)
	default:
		err = errShape
	}
	if err == nil && n > min(most, v.size()) {
		err = fmt.Errorf("msgpack: a list of %d where %d are the most", n, min(most, v.size()))
	}
	if v.err = err; err != nil {
		return 0
	}
	return n
}

func (v *Values) size() int { return v.left.Len() + v.r.in.Buffered() }

// Err is the first fault met.
func (v *Values) Err() error { return cutOff(v.err) }

// End is the first fault met, or that something follows which is not expected.
func (v *Values) End() error {
	if v.err == nil {
		if _, err := v.r.in.ReadByte(); err != io.EOF {
			v.err = errShape
		}
	}
	return v.Err()
}
