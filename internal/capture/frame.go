package capture

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	magic   = "iCpt" // the first bytes of each frame
	version = 1      // version of the file format
)

// Offsets of the fields in a frame's head, in bytes.
const (
	versionAt = 4
	kindAt    = 5
	numberAt  = 6
	rowsAt    = 10
	droppedAt = 14
	sizeAt    = 18
	sumAt     = 22
	headSize  = 30
)

// Bounds on one frame. They guard against large allocations for a damaged file: bytes that look like a head with values above these bounds
// are not treated as a head.
const (
	maxPayloadBytes = 16 << 20 // of the compressed payload
	maxFrameRows    = 1 << 20
)

// Kinds of frames.
const (
	kindHeader = iota // the first frame of a file
	kindRows
	kindEnd // the last frame of a complete file
)

// frameHead is the head of a frame, without the magic.
type frameHead struct {
	version byte
	kind    byte
	number  uint32 // index of the frame in the file, from 0
	rows    int    // number of rows in the payload
	dropped int    // number of rows lost since the previous frame
	size    int    // length of the payload in bytes
	sum     uint64 // checksum
}

// appendFrame appends a frame to a buffer.
func appendFrame(buffer []byte, kind byte, number uint32, rows, dropped int, payload []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = append(buffer, version, kind)
	buffer = binary.LittleEndian.AppendUint32(buffer, number)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(rows))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(dropped))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum(buffer[start:], payload))
	return append(buffer, payload...)
}

// decodeHead decodes the head at the start of content, which must have at least headSize bytes.
func decodeHead(content []byte) frameHead {
	return frameHead{
		version: content[versionAt],
		kind:    content[kindAt],
		number:  binary.LittleEndian.Uint32(content[numberAt:]),
		rows:    int(binary.LittleEndian.Uint32(content[rowsAt:])),
		dropped: int(binary.LittleEndian.Uint32(content[droppedAt:])),
		size:    int(binary.LittleEndian.Uint32(content[sizeAt:])),
		sum:     binary.LittleEndian.Uint64(content[sumAt:]),
	}
}

// plausible reports whether the head is within the bounds of a frame.
func (h frameHead) plausible() bool {
	return h.size <= maxPayloadBytes && h.rows <= maxFrameRows
}

// checksum returns the XXH64 checksum of the payload and of those fields of a head that precede the checksum.
func checksum(head, payload []byte) uint64 {
	digest := xxhash.New()
	digest.Write(head[:sumAt])
	digest.Write(payload)
	return digest.Sum64()
}

// nextMagic returns the offset of the first magic at or after an offset, or the length of content if there is none.
func nextMagic(content []byte, offset int) int {
	next := bytes.Index(content[offset:], []byte(magic))
	if next < 0 {
		return len(content)
	}
	return offset + next
}
