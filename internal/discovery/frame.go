package discovery

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/netip"
)

// A frame consists of these fields, all big-endian:
//
//	uint32 number of bytes that follow
//	uint64 number of the event
//	byte   kind
//	payload, whose form depends on the kind
const (
	lengthBytes = 4
	numberBytes = 8
	headBytes   = numberBytes + 1 // number and kind
)

// maxFrame is the maximum number of bytes of a frame after its length. It limits the memory that a faulty service can make a director
// allocate.
const maxFrame = 4 << 20

// helloBytes is the length of a hello: the number of an event.
const helloBytes = numberBytes

// Kinds of frames.
const (
	kindHeartbeat   = 0 // no payload; the frame has the number of the newest event
	kindSnapshot    = 1 // payload: the records of all endpoints
	kindChanges     = 2 // payload: the records of the endpoints that changed
	kindPurgeObject = 3 // payload: an object and a stamp, in Unix milliseconds
	kindPurgeGroup  = 4 // payload: a group and a stamp, in Unix milliseconds
)

// Offsets of the fields of an endpoint's record, in bytes.
const (
	offsetID       = 0
	offsetAddress  = 4 // IPv4
	offsetPort     = 8
	offsetState    = 10
	offsetZone     = 11
	offsetKind     = 12
	offsetCell     = 13
	offsetCapacity = 15 // in units of 1/capacityUnits
	offsetStarted  = 19 // Unix milliseconds
	recordBytes    = 27
)

// Lengths of the fields and payloads of purges, in bytes.
const (
	objectBytes      = 8
	groupBytes       = 2
	stampBytes       = 8
	purgeObjectBytes = objectBytes + stampBytes
	purgeGroupBytes  = groupBytes + stampBytes
)

// A record holds an endpoint's capacity in units of 1/capacityUnits, as a uint32. maxCapacity is the largest capacity that fits.
const (
	capacityUnits = 1000
	maxCapacity   = math.MaxUint32 / float64(capacityUnits)
)

// AppendHello appends a hello, the first message of a director on a connection. It has the number of the last event that the director
// has received.
func AppendHello(b []byte, last uint64) []byte { return binary.BigEndian.AppendUint64(b, last) }

// ReadHello returns the number in a hello. It returns ErrMalformed if the hello is not 8 bytes long.
func ReadHello(b []byte) (last uint64, err error) {
	if len(b) != helloBytes {
		return 0, fmt.Errorf("%w: hello of %d bytes", ErrMalformed, len(b))
	}
	return binary.BigEndian.Uint64(b), nil
}

// Read reads one frame of a stream. It returns io.EOF if the stream ends between frames, io.ErrUnexpectedEOF if it ends within one, and
// an error that wraps ErrMalformed for a frame that violates the protocol. After an error the stream must not be read further.
func Read(in io.Reader) (event Event, err error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return event, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < headBytes || length > maxFrame {
		return event, fmt.Errorf("%w: invalid length %d", ErrMalformed, length)
	}
	frame := make([]byte, length)
	if _, err := io.ReadFull(in, frame); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return event, err
	}
	event.Number = binary.BigEndian.Uint64(frame)
	if err := event.parse(frame[numberBytes], frame[headBytes:]); err != nil {
		return event, fmt.Errorf("%w: event %d: %w", ErrMalformed, event.Number, err)
	}
	return event, nil
}

// parse sets the event from the kind and the payload of its frame.
func (e *Event) parse(kind byte, payload []byte) error {
	switch kind {
	case kindHeartbeat:
		return checkLength(payload, 0, "a heartbeat")
	case kindSnapshot, kindChanges:
		e.Complete = kind == kindSnapshot
		return e.parseEndpoints(payload)
	case kindPurgeObject:
		return e.parsePurgeObject(payload)
	case kindPurgeGroup:
		return e.parsePurgeGroup(payload)
	}
	return fmt.Errorf("unknown kind %d", kind)
}

// checkLength returns an error if a payload does not have the given length in bytes. The error names the frame.
func checkLength(payload []byte, length int, frame string) error {
	if len(payload) != length {
		return fmt.Errorf("%s has a payload of %d bytes, expected %d", frame, len(payload), length)
	}
	return nil
}

// parseEndpoints sets the endpoints from their records.
func (e *Event) parseEndpoints(records []byte) error {
	if len(records)%recordBytes != 0 {
		return fmt.Errorf("%d bytes of records, expected a multiple of %d", len(records), recordBytes)
	}
	e.Endpoints = make([]Endpoint, 0, len(records)/recordBytes)
	for ; len(records) > 0; records = records[recordBytes:] {
		endpoint, err := parseEndpoint(records[:recordBytes])
		if err != nil {
			return err
		}
		e.Endpoints = append(e.Endpoints, endpoint)
	}
	return nil
}

// parseEndpoint parses one record of recordBytes.
func parseEndpoint(record []byte) (Endpoint, error) {
	state, known := stateOfCode(record[offsetState])
	if !known {
		return Endpoint{}, fmt.Errorf("unknown state %d", record[offsetState])
	}
	address := netip.AddrFrom4([4]byte(record[offsetAddress:offsetPort]))
	return Endpoint{
		ID:          binary.BigEndian.Uint32(record[offsetID:]),
		Addr:        netip.AddrPortFrom(address, binary.BigEndian.Uint16(record[offsetPort:])),
		State:       state,
		Zone:        int(record[offsetZone]),
		Kind:        int(record[offsetKind]),
		Cell:        int(binary.BigEndian.Uint16(record[offsetCell:])),
		Capacity:    float64(binary.BigEndian.Uint32(record[offsetCapacity:])) / capacityUnits,
		StartedUnix: int64(binary.BigEndian.Uint64(record[offsetStarted:])),
	}, nil
}

// parsePurgeObject parses the purge of an object.
func (e *Event) parsePurgeObject(payload []byte) error {
	if err := checkLength(payload, purgeObjectBytes, "a purge of an object"); err != nil {
		return err
	}
	e.Purge = &Purge{
		Object:    binary.BigEndian.Uint64(payload),
		StampUnix: int64(binary.BigEndian.Uint64(payload[objectBytes:])),
	}
	return nil
}

// parsePurgeGroup parses the purge of a group.
func (e *Event) parsePurgeGroup(payload []byte) error {
	if err := checkLength(payload, purgeGroupBytes, "a purge of a group"); err != nil {
		return err
	}
	e.Purge = &Purge{
		Group:     uint32(binary.BigEndian.Uint16(payload)),
		StampUnix: int64(binary.BigEndian.Uint64(payload[groupBytes:])),
	}
	return nil
}

// AppendEvent appends one event as a frame; emulators of the discovery service use it. The addresses of endpoints must be IPv4.
func AppendEvent(b []byte, event *Event) []byte {
	start := len(b)
	b = append(b, make([]byte, lengthBytes)...) // the length, which is set at the end
	b = binary.BigEndian.AppendUint64(b, event.Number)
	b = appendPayload(b, event)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b
}

// appendPayload appends the kind of an event and its payload.
func appendPayload(b []byte, event *Event) []byte {
	switch {
	case event.Endpoints != nil:
		return appendEndpoints(b, event)
	case event.Purge != nil:
		return appendPurge(b, event.Purge)
	}
	return append(b, kindHeartbeat)
}

// appendEndpoints appends the kind of an event about endpoints and their records.
func appendEndpoints(b []byte, event *Event) []byte {
	if event.Complete {
		b = append(b, kindSnapshot)
	} else {
		b = append(b, kindChanges)
	}
	for i := range event.Endpoints {
		b = appendEndpoint(b, &event.Endpoints[i])
	}
	return b
}

// appendPurge appends the kind and the payload of a purge.
func appendPurge(b []byte, purge *Purge) []byte {
	if purge.Object != 0 {
		b = append(b, kindPurgeObject)
		b = binary.BigEndian.AppendUint64(b, purge.Object)
	} else {
		b = append(b, kindPurgeGroup)
		b = binary.BigEndian.AppendUint16(b, uint16(purge.Group))
	}
	return binary.BigEndian.AppendUint64(b, uint64(purge.StampUnix))
}

// appendEndpoint appends the record of an endpoint.
func appendEndpoint(b []byte, endpoint *Endpoint) []byte {
	b = binary.BigEndian.AppendUint32(b, endpoint.ID)
	b = append(b, endpoint.Addr.Addr().AsSlice()...)
	b = binary.BigEndian.AppendUint16(b, endpoint.Addr.Port())
	b = append(b, encodingOf(endpoint.State).code, byte(endpoint.Zone), byte(endpoint.Kind))
	b = binary.BigEndian.AppendUint16(b, uint16(endpoint.Cell))
	b = binary.BigEndian.AppendUint32(b, uint32(endpoint.Capacity*capacityUnits))
	return binary.BigEndian.AppendUint64(b, uint64(endpoint.StartedUnix))
}
