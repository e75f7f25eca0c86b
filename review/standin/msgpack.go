package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"slices"
)

// This file has the part of MessagePack that a client needs.

var errUnreadable = errors.New("a message that cannot be read")

// appendText appends a string of at most 255 bytes.
func appendText(b []byte, text string) []byte {
	return append(append(b, 0xd9, byte(len(text))), text...)
}

// appendID appends a message id.
func appendID(b []byte, id uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, 0xce), id)
}

// appendMap appends a map of strings to strings, of at most 15 pairs, sorted by key.
func appendMap(b []byte, fields map[string]string) []byte {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	b = append(b, 0x80|byte(len(names)))
	for _, name := range names {
		b = appendText(appendText(b, name), fields[name])
	}
	return b
}

// requestMessage returns a request.
func requestMessage(id uint32, class string, fields map[string]string, body []byte) []byte {
	b := appendText(appendID([]byte{0x94, 0}, id), class)
	b = appendMap(append(b, 0x92), fields)
	b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(body)))
	return append(b, body...)
}

// aliveMessage returns the question whether the director is ready.
func aliveMessage(id uint32) []byte {
	b := appendText(appendID([]byte{0x94, 0}, id), "alive")
	return appendMap(append(b, 0x91), nil)
}

// cancelMessage returns the message by which a client gives up a request.
func cancelMessage(id uint32) []byte {
	b := appendText([]byte{0x93, 2}, "cancelRequest")
	return appendID(append(b, 0x91), id)
}

// readValue reads one value: nil, a bool, a uint64, a string, a []byte, a []any or a map[string]any.
func readValue(in *bufio.Reader) (any, error) {
	format, err := in.ReadByte()
	if err != nil {
		return nil, err
	}
	switch {
	case format < 0x80:
		return uint64(format), nil
	case format < 0x90:
		return readMap(in, int(format&0x0f))
	case format < 0xa0:
		return readArray(in, int(format&0x0f))
	case format < 0xc0:
		raw, err := readBytes(in, int(format&0x1f))
		return string(raw), err
	}
	switch format {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return format == 0xc3, nil
	case 0xc4, 0xc5, 0xc6:
		length, err := readUint(in, 1<<(format-0xc4))
		if err != nil {
			return nil, err
		}
		return readBytes(in, int(length))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return readUint(in, 1<<(format-0xcc))
	case 0xd9, 0xda, 0xdb:
		length, err := readUint(in, 1<<(format-0xd9))
		if err != nil {
			return nil, err
		}
		raw, err := readBytes(in, int(length))
		return string(raw), err
	}
	return nil, errUnreadable
}

// readUint reads an unsigned number of 1, 2, 4 or 8 bytes.
func readUint(in *bufio.Reader, width int) (uint64, error) {
	var raw [8]byte
	if _, err := io.ReadFull(in, raw[8-width:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// readBytes reads a number of bytes.
func readBytes(in *bufio.Reader, length int) ([]byte, error) {
	const longest = 1 << 20
	if length > longest {
		return nil, errUnreadable
	}
	raw := make([]byte, length)
	_, err := io.ReadFull(in, raw)
	return raw, err
}

// readArray reads the values of an array.
func readArray(in *bufio.Reader, length int) ([]any, error) {
	values := make([]any, length)
	for i := range values {
		var err error
		if values[i], err = readValue(in); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// readMap reads the pairs of a map, whose keys must be strings.
func readMap(in *bufio.Reader, length int) (map[string]any, error) {
	values := map[string]any{}
	for range length {
		key, err := readValue(in)
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, errUnreadable
		}
		if values[name], err = readValue(in); err != nil {
			return nil, err
		}
	}
	return values, nil
}
