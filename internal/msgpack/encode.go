package msgpack

import "encoding/binary"

// maxText is the length in bytes of the longest text that AppendText writes.
const maxText = 1<<8 - 1

// AppendUint appends an unsigned integer in its shortest form.
func AppendUint(b []byte, value uint64) []byte {
	switch {
	case value < formatFixIntEnd:
		return append(b, byte(value))
	case value < 1<<8:
		return append(b, formatUint8, byte(value))
	case value < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, formatUint16), uint16(value))
	case value < 1<<32:
		return appendUint32(b, uint32(value))
	}
	return binary.BigEndian.AppendUint64(append(b, formatUint64), value)
}

// appendUint32 appends an unsigned integer in five bytes, the form in which ids are written.
func appendUint32(b []byte, value uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, formatUint32), value)
}

// AppendBool appends a boolean as the integer 1 or 0.
func AppendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendText appends a text, truncated to 255 bytes.
func AppendText(b []byte, text string) []byte {
	length := min(len(text), maxText)
	if length <= maxFixText {
		b = append(b, formatFixText|byte(length))
	} else {
		b = append(b, formatText8, byte(length))
	}
	return append(b, text[:length]...)
}

// AppendBytes appends a byte string.
func AppendBytes(b, raw []byte) []byte {
	return append(appendBytesHead(b, len(raw)), raw...)
}

// appendBytesHead appends the head of a byte string of the given length. The caller appends that many bytes.
func appendBytesHead(b []byte, length int) []byte {
	return binary.BigEndian.AppendUint32(append(b, formatBin32), uint32(length))
}

// AppendList appends the head of an array. The caller appends the values.
func AppendList(b []byte, values int) []byte {
	if values <= maxFixArray {
		return append(b, formatFixArray|byte(values))
	}
	return binary.BigEndian.AppendUint32(append(b, formatArray32), uint32(values))
}

// appendMap appends the head of a map of at most maxFixMap pairs. The caller appends the pairs.
func appendMap(b []byte, pairs int) []byte { return append(b, formatFixMap|byte(pairs)) }
