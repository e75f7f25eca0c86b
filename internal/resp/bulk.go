package resp

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// In RESP, a line that holds a length begins with a prefix that names the type of the value: an array or a bulk string. The line
// ends with lineEnd, and so does the content of a bulk string.
const (
	prefixArray = '*'
	prefixBulk  = '$'
	lineEnd     = "\r\n"
)

// appendArray appends the head of an array of the given length. The caller appends that many bulk strings.
func appendArray(b []byte, length int) []byte { return appendLength(b, prefixArray, length) }

// appendBulk appends a bulk string.
func appendBulk[T string | []byte](b []byte, value T) []byte {
	b = appendLength(b, prefixBulk, len(value))
	b = append(b, value...)
	return append(b, lineEnd...)
}

// appendLength appends a line that holds a prefix and a length.
func appendLength(b []byte, prefix byte, length int) []byte {
	b = append(b, prefix)
	b = strconv.AppendInt(b, int64(length), 10)
	return append(b, lineEnd...)
}

// readLength reads a line that holds the given prefix and a length. It returns a *LimitError if the length exceeds the limit,
// ErrMalformed if the line has any other form, and the stream's error if the stream ends within the line.
func readLength(in *bufio.Reader, prefix byte, limit int) (int, error) {
	line, err := in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return 0, ErrMalformed
	}
	if err != nil {
		return 0, err
	}
	const minLineSize = len("*0" + lineEnd)
	if len(line) < minLineSize || len(line) > maxLineSize {
		return 0, ErrMalformed
	}
	digits, ended := bytes.CutSuffix(line[1:], []byte(lineEnd))
	if line[0] != prefix || !ended {
		return 0, ErrMalformed
	}
	length, err := strconv.ParseUint(string(digits), 10, lengthBits)
	if err != nil {
		return 0, ErrMalformed
	}
	if int(length) > limit {
		return 0, &LimitError{Length: int(length), Limit: limit}
	}
	return int(length), nil
}

// readBulk reads a bulk string of up to limit bytes. It rejects a longer announced length before it allocates. It returns the same
// errors as readLength.
func readBulk(in *bufio.Reader, limit int) ([]byte, error) {
	length, err := readLength(in, prefixBulk, limit)
	if err != nil {
		return nil, err
	}
	return readContent(in, length)
}

// readContent reads the content of a bulk string, whose length was read, and the line's end behind it.
func readContent(in *bufio.Reader, length int) ([]byte, error) {
	value := make([]byte, length)
	if _, err := io.ReadFull(in, value); err != nil {
		return nil, err
	}
	return value, readLineEnd(in)
}

// discardContent does the same as readContent without keeping the content.
func discardContent(in *bufio.Reader, length int) error {
	if _, err := in.Discard(length); err != nil {
		return err
	}
	return readLineEnd(in)
}

// readLineEnd reads the line's end behind the content of a bulk string. It returns ErrMalformed for anything else.
func readLineEnd(in *bufio.Reader) error {
	var end [len(lineEnd)]byte
	if _, err := io.ReadFull(in, end[:]); err != nil {
		return err
	}
	if string(end[:]) != lineEnd {
		return ErrMalformed
	}
	return nil
}
