// Package msgpack reads what clients write, MessagePack-RPC, and writes their answers. It holds no
// decisions and no sockets: bytes to fields and back. Names of the clients' protocol end here.
package msgpack

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Bounds of what a client may write. What goes over one is malformed.
const (
	mostBody   = 48000
	mostField  = 1 << 10
	mostFields = 64
	mostMethod = 128
	mostDepth  = 8
	mostItems  = 1 << 10
)

// Kind of a message.
type Kind uint8

const (
	Call Kind = iota
	Alive
	Cancel
	Other // a notice that is none of ours
)

// Message is one message of a client. Key and Have go on as the bytes that came.
type Message struct {
	Kind  Kind
	ID    uint32 // of the message, or of the one to cancel
	Vhost string

	Numbered bool // of a call: the id was read, so that an answer is possible even where the rest cannot be read

	Req     string // the client's id of it
	Timeout time.Duration
	Idem    string
	Obj     string
	Part    string
	Group   string
	Have    string
	Body    []byte
}

// Reader takes messages off a stream.
type Reader struct{ in *bufio.Reader }

func NewReader(in *bufio.Reader) *Reader { return &Reader{in} }

var errShape = errors.New("msgpack: not the shape of a message")

// Read returns the next message. After an error the stream cannot be read further; io.EOF alone means that
// it ended between messages.
func (r *Reader) Read() (m Message, err error) {
	if _, err := r.in.Peek(1); err != nil {
		return m, err
	}
	n, err := r.array()
	if err == nil {
		err = r.message(n, &m)
	}
	return m, cutOff(err)
}

func cutOff(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) message(n int, m *Message) error {
	kind, err := r.uint()
	if err != nil {
		return err
	}
	switch {
	case kind == 0 && n == 4:
		return r.call(m)
	case kind == 2 && n == 3:
		return r.notice(m)
	}
	return errShape
}

func (r *Reader) call(m *Message) error {
	id, err := r.uint()
	if err != nil {
		return err
	}
	if id > 1<<32-1 {
		return errShape
	}
	m.ID, m.Numbered = uint32(id), true
	if m.Vhost, err = r.text(mostMethod); err != nil {
		return err
	}
	if m.Vhost == "alive" {
		m.Kind = Alive
	}
	n, err := r.array()
	if err != nil {
		return err
	}
	for i := range n {
		switch {
		case i == 0:
			err = r.fields(m)
		case i == 1 && m.Kind == Call:
			m.Body, err = r.bytes(mostBody)
		default:
			err = r.skip(0)
		}
		if err != nil {
			return err
		}
	}
	if m.Kind == Call && n < 2 {
		return errShape
	}
	return nil
}

func (r *Reader) notice(m *Message) error {
	method, err := r.text(mostMethod)
	if err != nil {
		return err
	}
	m.Kind = Other
	n, err := r.array()
	if err != nil {
		return err
	}
	for i := range n {
		if i > 0 || method != "cancelRequest" {
			if err = r.skip(0); err != nil {
				return err
			}
			continue
		}
		id, err := r.uint()
		if err != nil {
			return err
		}
		if id > 1<<32-1 {
			return errShape
		}
		m.Kind, m.ID = Cancel, uint32(id)
	}
	return nil
}

// fields reads the map of strings and takes out what is used.
func (r *Reader) fields(m *Message) error {
	b, err := r.in.ReadByte()
	if err != nil {
		return err
	}
	n := 0
	switch {
	case b&0xf0 == 0x80:
		n = int(b & 0x0f)
	case b == 0xde:
		n, err = r.size(2)
	case b == 0xdf:
		n, err = r.size(4)
	case b == 0xc0:
	default:
		return errShape
	}
	if err != nil {
		return err
	}
	if n > mostFields {
		return fmt.Errorf("msgpack: %d fields", n)
	}
	for range n {
		name, err := r.text(mostField)
		if err != nil {
			return err
		}
		value, err := r.text(mostField)
		if err != nil {
			return err
		}
		switch name {
		case "i":
			m.Req = value
		case "d":
			ms, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				m.Timeout = 0 // missing and unreadable are answered alike
				continue
			}
			m.Timeout = time.Duration(ms) * time.Millisecond
		case "k":
			m.Idem = value
		case "o":
			m.Obj = value
		case "n":
			m.Part = value
		case "shard":
			m.Group = value
		case "mine":
			m.Have = value
		}
	}
	return nil
}

// array reads the head of an array.
func (r *Reader) array() (int, error) {
	b, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	n := 0
	switch {
	case b&0xf0 == 0x90:
		return int(b & 0x0f), nil
	case b == 0xdc:
		n, err = r.size(2)
	case b == 0xdd:
		n, err = r.size(4)
	default:
		return 0, errShape
	}
	if err == nil && n > mostItems {
		err = fmt.Errorf("msgpack: an array of %d", n)
	}
	return n, err
}

// size reads a length of so many bytes.
func (r *Reader) size(width int) (int, error) {
	var b [8]byte
	if _, err := io.ReadFull(r.in, b[8-width:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint64(b[:])
	if n > 1<<31-1 {
		return 0, fmt.Errorf("msgpack: a length of %d", n)
	}
	return int(n), nil
}

// uint reads an integer of any width that is not below zero.
func (r *Reader) uint() (uint64, error) {
	b, err := r.in.ReadByte()
	if err != nil {
		return 0, err
	}
	if b < 0x80 {
		return uint64(b), nil
	}
	width, signed := 0, false
	switch b {
	case 0xcc, 0xcd, 0xce, 0xcf:
		width = 1 << (b - 0xcc)
	case 0xd0, 0xd1, 0xd2, 0xd3:
		width, signed = 1<<(b-0xd0), true
	default:
		return 0, errShape
	}
	var raw [8]byte
	if _, err := io.ReadFull(r.in, raw[8-width:]); err != nil {
		return 0, err
	}
	v := binary.BigEndian.Uint64(raw[:])
	if signed && v>>(8*width-1) != 0 {
		return 0, errShape
	}
	return v, nil
}

// bytes reads a string or bin of any width; nil counts as empty.
func (r *Reader) bytes(most int) ([]byte, error) {
	b, err := r.in.ReadByte()
	if err != nil {
		return nil, err
	}
	n := 0
	switch {
	case b&0xe0 == 0xa0:
		n = int(b & 0x1f)
	case b == 0xc4, b == 0xd9:
		n, err = r.size(1)
	case b == 0xc5, b == 0xda:
		n, err = r.size(2)
	case b == 0xc6, b == 0xdb:
		n, err = r.size(4)
	case b == 0xc0:
		return nil, nil
	default:
		return nil, errShape
	}
	if err != nil {
		return nil, err
	}
	if n > most {
		return nil, fmt.Errorf("msgpack: %d bytes where %d are the most", n, most)
	}
	if n == 0 {
		return nil, nil
	}
	body := make([]byte, n)
	_, err = io.ReadFull(r.in, body)
	return body, err
}

func (r *Reader) text(most int) (string, error) {
	b, err := r.bytes(most)
	return string(b), err
}

// skip reads past one value of any kind.
func (r *Reader) skip(depth int) error {
	if depth > mostDepth {
		return errShape
	}
	b, err := r.in.ReadByte()
	if err != nil {
		return err
	}
	items, plain := 0, 0
	switch {
	case b < 0x80, b >= 0xe0, b == 0xc0, b == 0xc2, b == 0xc3:
	case b&0xf0 == 0x80:
		items = 2 * int(b&0x0f)
	case b&0xf0 == 0x90:
		items = int(b & 0x0f)
	case b&0xe0 == 0xa0:
		plain = int(b & 0x1f)
	case b >= 0xc4 && b <= 0xc6:
		plain, err = r.size(1 << (b - 0xc4))
	case b >= 0xc7 && b <= 0xc9:
		plain, err = r.size(1 << (b - 0xc7))
		plain++
	case b == 0xca:
		plain = 4
	case b == 0xcb:
		plain = 8
	case b >= 0xcc && b <= 0xcf:
		plain = 1 << (b - 0xcc)
	case b >= 0xd0 && b <= 0xd3:
		plain = 1 << (b - 0xd0)
	case b >= 0xd4 && b <= 0xd8:
		plain = 1 + 1<<(b-0xd4)
	case b >= 0xd9 && b <= 0xdb:
		plain, err = r.size(1 << (b - 0xd9))
	case b == 0xdc, b == 0xdd:
		items, err = r.size(2 << (b - 0xdc))
	case b == 0xde, b == 0xdf:
		items, err = r.size(2 << (b - 0xde))
		items *= 2
	default:
		return errShape
	}
	if err != nil {
		return err
	}
	if plain > mostBody || items > mostItems {
		return fmt.Errorf("msgpack: %d bytes, %d items in a value of no use", plain, items)
	}
	if _, err := r.in.Discard(plain); err != nil {
		return err
	}
	for range items {
		if err := r.skip(depth + 1); err != nil {
			return err
		}
	}
	return nil
}
