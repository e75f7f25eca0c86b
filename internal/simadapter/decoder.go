package simadapter

import (
	"encoding/binary"
	"fmt"
	"math"
)

// MalformedError is the error for a frame that violates the protocol. The stream cannot be read any further.
type MalformedError struct {
	Frame   int    // index of the frame, from 0
	Offset  int    // offset in bytes: in the header if that is malformed, otherwise in the records
	Problem string // description of the violation
	Err     error  // underlying error; nil: none
}

// Error returns a message on one line with the frame, the offset and the problem.
func (e *MalformedError) Error() string {
	text := fmt.Sprintf("frame %d: offset %d: %s", e.Frame, e.Offset, e.Problem)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error, for errors.Is and errors.As.
func (e *MalformedError) Unwrap() error { return e.Err }

// decoder decodes the fields of the records in one frame. After the first error all decoded fields are zero.
type decoder struct {
	frame       int // index of the frame, for errors
	records     []byte
	offset      int             // offset of the next field
	recordStart int             // offset of the current record
	part        string          // name of the part of the record that is being decoded, for errors
	err         *MalformedError // the first error
}

// more reports whether another record follows and no error has occurred.
func (d *decoder) more() bool { return d.err == nil && d.offset < len(d.records) }

// fail stores an error at an offset, unless an error is already stored.
func (d *decoder) fail(offset int, cause error, format string, args ...any) {
	if d.err == nil {
		d.err = &MalformedError{Frame: d.frame, Offset: offset, Problem: fmt.Sprintf(format, args...), Err: cause}
	}
}

// zeros contains the bytes that take returns after an error. Only byte strings are longer than this.
var zeros [8]byte

// take returns the next length bytes as a slice of the frame's buffer. After an error it returns zeros, at most len(zeros) of them.
func (d *decoder) take(length int) []byte {
	if left := len(d.records) - d.offset; length > left {
		d.fail(d.offset, nil, "%s needs %d bytes, but only %d are left", d.part, length, left)
	}
	if d.err != nil {
		return zeros[:min(length, len(zeros))]
	}
	d.offset += length
	return d.records[d.offset-length : d.offset]
}

// skip skips bytes that are not used for decisions.
func (d *decoder) skip(length int) { d.take(length) }

// uint8, uint16, uint32, uint64 and float32 decode a number in little-endian byte order.
func (d *decoder) uint8() uint8     { return d.take(1)[0] }
func (d *decoder) uint16() uint16   { return binary.LittleEndian.Uint16(d.take(2)) }
func (d *decoder) uint32() uint32   { return binary.LittleEndian.Uint32(d.take(4)) }
func (d *decoder) uint64() uint64   { return binary.LittleEndian.Uint64(d.take(8)) }
func (d *decoder) float32() float64 { return float64(math.Float32frombits(d.uint32())) }

// count checks that enough bytes are left for a number of items of itemBytes each. It returns the number, or 0 after an error. It guards
// against a malformed count that makes the adapter allocate memory for more items than the frame contains.
func (d *decoder) count(items uint32, itemBytes int) int {
	if left := len(d.records) - d.offset; int64(items)*int64(itemBytes) > int64(left) {
		d.fail(d.offset, nil, "%s has a count of %d, but only %d bytes are left", d.part, items, left)
	}
	if d.err != nil {
		return 0
	}
	return int(items)
}

// byteString decodes a byte string, which is preceded by its length in four bytes.
func (d *decoder) byteString() []byte { return d.take(d.count(d.uint32(), 1)) }

// skipLoadReport skips a load report, which consists of a count in one byte and that many numbers of four bytes.
func (d *decoder) skipLoadReport() {
	const numberBytes = 4
	d.part = "load report"
	d.skip(numberBytes * d.count(uint32(d.uint8()), numberBytes))
}
