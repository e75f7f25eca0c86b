package msgpack

import (
	"bufio"
	"encoding/binary"
	"io"
)

// Reader reads messages from a stream. Its unexported methods read single values. Each checks an announced length against its limit
// before it allocates, so that a sender cannot make a director allocate more than the limit.
type Reader struct {
	in    *bufio.Reader
	admit BodyAdmission // nil: all bodies are admitted
}

// BodyAdmission decides whether the body of a request, whose length in bytes it receives, may be held in memory. It is called before
// memory for the body is allocated, and not for an empty body.
type BodyAdmission func(length int) bool

// NewReader returns a Reader of a stream. Nothing else may read the stream while the Reader is in use.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// AdmitBodies sets what decides about the bodies of all further requests. The body of a request that is not admitted is read and
// discarded, and Message.BodyDropped is set.
func (r *Reader) AdmitBodies(admit BodyAdmission) { r.admit = admit }

// arrayHead reads the head of an array and returns the number of values that follow. The caller checks the number.
func (r *Reader) arrayHead() (int, error) {
	format, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case isFixArray(format):
		return int(format & maxFixArray), nil
	case format == formatArray16:
		return r.length(2)
	case format == formatArray32:
		return r.length(4)
	}
	return 0, ErrMalformed
}

// array reads the head of an array and checks that it has at most maxItems values.
func (r *Reader) array() (int, error) {
	values, err := r.arrayHead()
	if err == nil {
		err = checkLimit(values, maxItems, "values of an array")
	}
	return values, err
}

// mapHead reads the head of a map and returns the number of pairs that follow. The caller checks the number. Nil counts as an empty
// map.
func (r *Reader) mapHead() (int, error) {
	format, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case isFixMap(format):
		return int(format & maxFixMap), nil
	case format == formatMap16:
		return r.length(2)
	case format == formatMap32:
		return r.length(4)
	case format == formatNil:
		return 0, nil
	}
	return 0, ErrMalformed
}

// number reads an unsigned number of 1, 2, 4 or 8 bytes.
func (r *Reader) number(width int) (uint64, error) {
	var raw [8]byte
	if _, err := io.ReadFull(r.in, raw[8-width:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// length reads the length of a value from 1, 2 or 4 bytes, and checks that it is at most maxLength.
func (r *Reader) length(width int) (int, error) {
	length, err := r.number(width)
	if err != nil {
		return 0, err
	}
	return int(length), checkLimit(int(length), maxLength, "bytes or values")
}

// uint reads an integer of any width. It returns ErrMalformed for a negative one.
func (r *Reader) uint() (uint64, error) {
	format, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case format < formatFixIntEnd:
		return uint64(format), nil
	case between(format, formatUint8, formatUint64):
		return r.number(widthFrom(format, formatUint8))
	case between(format, formatInt8, formatInt64):
		return r.signed(widthFrom(format, formatInt8))
	}
	return 0, ErrMalformed
}

// signed reads a signed number of 1, 2, 4 or 8 bytes. It returns ErrMalformed for a negative one.
func (r *Reader) signed(width int) (uint64, error) {
	value, err := r.number(width)
	if err != nil {
		return 0, err
	}
	signBit := value >> (8*width - 1)
	if signBit != 0 {
		return 0, ErrMalformed
	}
	return value, nil
}

// id reads the id of a message, which has at most 32 bits.
func (r *Reader) id() (uint32, error) {
	id, err := r.uint()
	if err != nil {
		return 0, err
	}
	if id > maxID {
		return 0, ErrMalformed
	}
	return uint32(id), nil
}

// bytesHead reads the head of a text or a byte string and returns its length. Nil counts as empty.
func (r *Reader) bytesHead() (int, error) {
	format, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case isFixText(format):
		return int(format & maxFixText), nil
	case format == formatBin8, format == formatText8:
		return r.length(1)
	case format == formatBin16, format == formatText16:
		return r.length(2)
	case format == formatBin32, format == formatText32:
		return r.length(4)
	case format == formatNil:
		return 0, nil
	}
	return 0, ErrMalformed
}

// bytes reads a text or a byte string of up to limit bytes. It returns nil for an empty one and for nil.
func (r *Reader) bytes(limit int) ([]byte, error) {
	length, err := r.bytesLength(limit)
	if err != nil || length == 0 {
		return nil, err
	}
	return r.content(length)
}

// bytesLength reads the head of a text or a byte string and checks its length against the limit.
func (r *Reader) bytesLength(limit int) (int, error) {
	length, err := r.bytesHead()
	if err != nil {
		return 0, err
	}
	return length, checkLimit(length, limit, "bytes")
}

// content reads the content of a text or a byte string, whose head was read.
func (r *Reader) content(length int) ([]byte, error) {
	value := make([]byte, length)
	_, err := io.ReadFull(r.in, value)
	return value, err
}

// text is bytes with a string as the result.
func (r *Reader) text(limit int) (string, error) {
	value, err := r.bytes(limit)
	return string(value), err
}

// cutMark ends a text of which only the beginning is held. It is not valid in any field, so that no other value is taken for the
// complete one.
const cutMark = "…"

// shortenedText is text for a value of which at most held bytes are held. If it is longer, it ends with cutMark.
func (r *Reader) shortenedText(limit, held int) (string, error) {
	length, err := r.bytesLength(limit)
	if err != nil || length == 0 {
		return "", err
	}
	value, err := r.content(min(length, held))
	if err != nil || length <= held {
		return string(value), err
	}
	_, err = r.in.Discard(length - held)
	return string(value) + cutMark, err
}

// skip discards one unused value of any format. depth is the number of arrays and maps that contain it. A depth over maxDepth is
// ErrMalformed, since each level needs a recursive call.
func (r *Reader) skip(depth int) error {
	if depth > maxDepth {
		return ErrMalformed
	}
	format, err := r.in.ReadByte()
	if err != nil {
		return err
	}
	bytes, items, err := r.extent(format)
	if err != nil {
		return err
	}
	if err := checkLimit(bytes, maxBody, "bytes of an unused value"); err != nil {
		return err
	}
	if err := checkLimit(items, maxItems, "items of an unused value"); err != nil {
		return err
	}
	if _, err := r.in.Discard(bytes); err != nil {
		return err
	}
	for range items {
		if err := r.skip(depth + 1); err != nil {
			return err
		}
	}
	return nil
}

// extent returns the size of the data that follows the format of a value: a number of bytes or, for an array or a map, a number of
// values. If a length follows the format, extent reads it.
func (r *Reader) extent(format byte) (bytes, items int, err error) {
	switch {
	case format < formatFixIntEnd, format >= formatNegativeFix: // the format is the whole value
	case format == formatNil, format == formatFalse, format == formatTrue: // the format is the whole value
	case isFixMap(format):
		items = 2 * int(format&maxFixMap)
	case isFixArray(format):
		items = int(format & maxFixArray)
	case isFixText(format):
		bytes = int(format & maxFixText)
	case between(format, formatBin8, formatBin32):
		bytes, err = r.length(widthFrom(format, formatBin8))
	case between(format, formatExt8, formatExt32):
		bytes, err = r.length(widthFrom(format, formatExt8))
		bytes++ // the type of the extension
	case format == formatFloat32:
		bytes = 4
	case format == formatFloat64:
		bytes = 8
	case between(format, formatUint8, formatUint64):
		bytes = widthFrom(format, formatUint8)
	case between(format, formatInt8, formatInt64):
		bytes = widthFrom(format, formatInt8)
	case between(format, formatFixExt1, formatFixExt16):
		bytes = 1 + widthFrom(format, formatFixExt1) // the type of the extension and the data
	case between(format, formatText8, formatText32):
		bytes, err = r.length(widthFrom(format, formatText8))
	case between(format, formatArray16, formatArray32):
		items, err = r.length(2 * widthFrom(format, formatArray16))
	case between(format, formatMap16, formatMap32):
		items, err = r.length(2 * widthFrom(format, formatMap16))
		items *= 2
	default:
		err = ErrMalformed
	}
	return bytes, items, err
}
