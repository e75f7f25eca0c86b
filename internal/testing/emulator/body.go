package emulator

// This file builds and reads the bodies of responses. A body contains the identity of its part, so that the rule checker can
// verify which part was served.

import "encoding/binary"

// bodyHeaderSize is the size of a body's header in bytes. A shorter body has no header.
const bodyHeaderSize = 20

// bodyHeader is the beginning of a body.
type bodyHeader struct {
	object  uint64
	part    uint32
	fetched int64 // when the origin sent the copy, in Unix milliseconds
}

// newBody returns a body of size bytes: its header, if there is space for one, and zeros.
func newBody(header bodyHeader, size int) []byte {
	body := make([]byte, size)
	if size >= bodyHeaderSize {
		binary.BigEndian.PutUint64(body, header.object)
		binary.BigEndian.PutUint32(body[8:], header.part)
		binary.BigEndian.PutUint64(body[12:], uint64(header.fetched))
	}
	return body
}

// parseBody returns the header of a body, or false if the body is too short to have one.
func parseBody(body []byte) (bodyHeader, bool) {
	if len(body) < bodyHeaderSize {
		return bodyHeader{}, false
	}
	return bodyHeader{
		object:  binary.BigEndian.Uint64(body),
		part:    binary.BigEndian.Uint32(body[8:]),
		fetched: int64(binary.BigEndian.Uint64(body[12:])),
	}, true
}
