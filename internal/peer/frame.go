package peer

// The frames of the protocol between instances: their fields, encoding, limits and errors.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"indigochute.example/indigochute/internal/msgpack"
)

// Version and limits of the protocol between instances.
const (
	protocolVersion  = 1
	maxFrameBytes    = 1 << 20  // bytes of any frame
	maxRequestBytes  = 64 << 10 // bytes of the first frame on a connection, which may be a request from any program
	maxHelloBytes    = 512      // bytes of a hello, and of a frame in a direction in which no payloads are sent
	maxNameBytes     = 64
	maxTopicBytes    = 32
	maxFrameOverhead = 64 // bytes of a frame in addition to its topic and payload
)

// MaxPayloadBytes is the largest payload of a message, in bytes.
const MaxPayloadBytes = maxFrameBytes - maxFrameOverhead - maxTopicBytes

// frameHeaderBytes is the length of a frame's header: the length and the checksum of the rest of the frame, four bytes each.
const frameHeaderBytes = 8

// frameKind is the first field of each frame. The numbers are sent on the wire and must not change.
type frameKind uint8

const (
	kindHello frameKind = iota
	kindData
	kindPing
	kindPong
	kindRequest
	kindResponse
)

// maxFrameFields is the largest of frameFieldCounts.
const maxFrameFields = 5

// frameFieldCounts has the number of fields of a frame by kind. The kind itself counts as one field.
var frameFieldCounts = [...]int{kindHello: 5, kindData: 5, kindPing: 2, kindPong: 2, kindRequest: 4, kindResponse: 3}

// frame is one message of the protocol between instances. On the wire it is a header of frameHeaderBytes and a MessagePack
// list that begins with the kind. The checksum guards against a frame that can still be decoded although a byte was damaged in
// transit: the protocols on top of this one are not safe if they receive a duration or a fencing token that nobody sent.
type frame interface {
	// appendTo appends the encoded frame, including its header.
	appendTo(b []byte) []byte
}

// helloFrame is the first frame that a peer or subscriber sends, and the answer to it.
type helloFrame struct {
	version  uint64
	name     string
	sender   uint64 // the sender's incarnation
	receiver uint64 // the highest incarnation of the receiver that the sender knows; 0 if it knows none
}

// dataFrame carries one message of a topic.
type dataFrame struct {
	sender   uint64 // the sender's incarnation
	receiver uint64 // the incarnation that the message is meant for; 0 means any
	topic    string
	payload  []byte
}

// isFor reports whether the message is meant for an incarnation of its receiver.
func (f dataFrame) isFor(incarnation uint64) bool {
	return f.receiver == 0 || f.receiver == incarnation
}

// pingFrame requests a pongFrame with the same number.
type pingFrame struct{ number uint64 }

// pongFrame answers a pingFrame and repeats its number.
type pongFrame struct{ number uint64 }

// requestFrame is a request from any program. It is answered by a responseFrame, after which the connection is closed.
type requestFrame struct {
	version uint64
	topic   string
	payload []byte
}

// responseFrame answers a requestFrame.
type responseFrame struct {
	ok      bool
	payload []byte // the result if ok, otherwise the text of the error
}

// Errors for frames that cannot be decoded or are not expected. All of them wrap errInvalidFrame.
var (
	errInvalidFrame    = errors.New("peer: invalid frame")
	errMalformedFrame  = fmt.Errorf("%w: unexpected fields", errInvalidFrame)
	errChecksum        = fmt.Errorf("%w: wrong checksum", errInvalidFrame)
	errUnexpectedFrame = fmt.Errorf("%w: unexpected kind", errInvalidFrame)
)

// frameSizeError is the error for a frame whose header has a length of 0 or above the limit. It wraps errInvalidFrame.
type frameSizeError struct{ bytes, limit uint32 }

func (e *frameSizeError) Error() string {
	return fmt.Sprintf("peer: invalid frame: length is %d bytes, must be 1 to %d", e.bytes, e.limit)
}

func (e *frameSizeError) Unwrap() error { return errInvalidFrame }

// checksumTable is the table of CRC-32C, the checksum of frames.
var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// beginFrame appends an empty header, the header of the list of fields and the kind. finishFrame fills in the frame's header.
func beginFrame(b []byte, kind frameKind) []byte {
	b = append(b, make([]byte, frameHeaderBytes)...)
	b = msgpack.AppendList(b, frameFieldCounts[kind])
	return msgpack.AppendUint(b, uint64(kind))
}

// finishFrame fills in the header of the frame that begins at offset and extends to the end of b.
func finishFrame(b []byte, offset int) []byte {
	fields := b[offset+frameHeaderBytes:]
	binary.BigEndian.PutUint32(b[offset:], uint32(len(fields)))
	binary.BigEndian.PutUint32(b[offset+4:], crc32.Checksum(fields, checksumTable))
	return b
}

func (f helloFrame) appendTo(b []byte) []byte {
	offset := len(b)
	b = beginFrame(b, kindHello)
	b = msgpack.AppendUint(b, f.version)
	b = msgpack.AppendText(b, f.name)
	b = msgpack.AppendUint(b, f.sender)
	b = msgpack.AppendUint(b, f.receiver)
	return finishFrame(b, offset)
}

func (f dataFrame) appendTo(b []byte) []byte {
	offset := len(b)
	b = beginFrame(b, kindData)
	b = msgpack.AppendUint(b, f.sender)
	b = msgpack.AppendUint(b, f.receiver)
	b = msgpack.AppendText(b, f.topic)
	b = msgpack.AppendBytes(b, f.payload)
	return finishFrame(b, offset)
}

func (f pingFrame) appendTo(b []byte) []byte {
	offset := len(b)
	return finishFrame(msgpack.AppendUint(beginFrame(b, kindPing), f.number), offset)
}

func (f pongFrame) appendTo(b []byte) []byte {
	offset := len(b)
	return finishFrame(msgpack.AppendUint(beginFrame(b, kindPong), f.number), offset)
}

func (f requestFrame) appendTo(b []byte) []byte {
	offset := len(b)
	b = beginFrame(b, kindRequest)
	b = msgpack.AppendUint(b, f.version)
	b = msgpack.AppendText(b, f.topic)
	b = msgpack.AppendBytes(b, f.payload)
	return finishFrame(b, offset)
}

func (f responseFrame) appendTo(b []byte) []byte {
	offset := len(b)
	b = beginFrame(b, kindResponse)
	b = msgpack.AppendBool(b, f.ok)
	b = msgpack.AppendBytes(b, f.payload)
	return finishFrame(b, offset)
}

// readFrame reads the next frame, of at most limit bytes without its header. The limit guards against a length that would exhaust
// memory. An error that wraps errInvalidFrame means that the other side sent an invalid frame. Any other error comes from the
// connection; io.EOF means that the connection ended between two frames.
func readFrame(in *bufio.Reader, limit uint32) (frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length == 0 || length > limit {
		return nil, &frameSizeError{length, limit}
	}
	fields := make([]byte, length)
	if _, err := io.ReadFull(in, fields); err != nil {
		return nil, fmt.Errorf("peer: connection ended within a frame: %w", err)
	}
	if crc32.Checksum(fields, checksumTable) != binary.BigEndian.Uint32(header[4:]) {
		return nil, errChecksum
	}
	return parseFrame(fields)
}

// parseFrame decodes a frame without its header.
func parseFrame(fields []byte) (frame, error) {
	values := msgpack.NewValues(fields)
	count, kind := values.List(maxFrameFields), values.Uint()
	if values.Err() == nil && !isFrameShape(kind, count) {
		return nil, errMalformedFrame
	}
	f := parseFields(frameKind(kind), values)
	if err := values.End(); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return f, nil
}

// isFrameShape reports whether a kind is known and its frames have the given number of fields.
func isFrameShape(kind uint64, count int) bool {
	return kind < uint64(len(frameFieldCounts)) && count == frameFieldCounts[kind]
}

// parseFields decodes the fields after the kind. Errors are recorded in values.
func parseFields(kind frameKind, values *msgpack.Values) frame {
	switch kind {
	case kindHello:
		return helloFrame{
			version:  values.Uint(),
			name:     values.Text(maxNameBytes),
			sender:   values.Uint(),
			receiver: values.Uint(),
		}
	case kindData:
		return dataFrame{
			sender:   values.Uint(),
			receiver: values.Uint(),
			topic:    values.Text(maxTopicBytes),
			payload:  values.Bytes(maxFrameBytes),
		}
	case kindPing:
		return pingFrame{number: values.Uint()}
	case kindPong:
		return pongFrame{number: values.Uint()}
	case kindRequest:
		return requestFrame{
			version: values.Uint(),
			topic:   values.Text(maxTopicBytes),
			payload: values.Bytes(maxFrameBytes),
		}
	default:
		return responseFrame{ok: values.Bool(), payload: values.Bytes(maxFrameBytes)}
	}
}
