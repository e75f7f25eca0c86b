package msgpack

import (
	"bufio"
	"encoding/binary"
	"strconv"
	"time"
)

// The other side of the protocol, for stand-ins of clients.

// AppendCall writes a req as a client does.
func AppendCall(b []byte, m *Message) []byte {
	b = binary.BigEndian.AppendUint32(append(b, 0x94, 0, 0xce), m.ID)
	b = append(text(b, m.Vhost), 0x92)
	fields := [][2]string{{"i", m.Req}, {"d", strconv.FormatInt(m.Timeout.Milliseconds(), 10)}, {"k", m.Idem}, {"o", m.Obj},
		{"n", m.Part}, {"shard", m.Group}, {"mine", m.Have}}
	at := len(b)
	b = append(b, 0x80)
	for _, f := range fields {
		if f[1] != "" {
			b = text(text(b, f[0]), f[1])
			b[at]++
		}
	}
	b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(len(m.Body)))
	return append(b, m.Body...)
}

// AppendCancel writes that a client waits no more.
func AppendCancel(b []byte, id uint32) []byte {
	b = append(text(append(b, 0x93, 2), "cancelRequest"), 0x91, 0xce)
	return binary.BigEndian.AppendUint32(b, id)
}

// AppendAlive writes the question whether the director is ready.
func AppendAlive(b []byte, id uint32) []byte {
	b = binary.BigEndian.AppendUint32(append(b, 0x94, 0, 0xce), id)
	return append(text(b, "alive"), 0x91, 0x80)
}

// Reply is a director's answer as its client reads it.
type Reply struct {
	ID       uint32
	Denied   bool
	Aborted  bool
	ComeBack time.Duration // of a denial; 0: none named
	Same     bool          // the client's own copy is the one
	Body     []byte
}

const mostReply = 256 << 10

// ReadReply takes the next answer off a stream. io.EOF alone means that the stream ended between answers.
func ReadReply(in *bufio.Reader) (a Reply, err error) {
	if _, err := in.Peek(1); err != nil {
		return a, err
	}
	a, err = readReply(&Reader{in})
	return a, cutOff(err)
}

func readReply(r *Reader) (a Reply, err error) {
	n, err := r.array()
	if err != nil {
		return a, err
	}
	kind, err := r.uint()
	if err != nil {
		return a, err
	}
	id, err := r.uint()
	if err != nil {
		return a, err
	}
	if n != 4 || kind != 1 || id > 1<<32-1 {
		return a, errShape
	}
	a.ID = uint32(id)
	b, err := r.in.Peek(1)
	if err != nil {
		return a, err
	}
	if b[0] != 0xc0 {
		return a, r.refusal(&a)
	}
	r.in.Discard(1)
	if n, err = r.array(); err != nil {
		return a, err
	}
	if n < 1 {
		return a, errShape
	}
	if b, err = r.in.Peek(1); err != nil {
		return a, err
	}
	if b[0] == 0xc2 || b[0] == 0xc3 { // to the question whether it is ready
		a.Denied = b[0] == 0xc2
		r.in.Discard(1)
	} else if a.Body, err = r.bytes(mostReply); err != nil {
		return a, err
	}
	fields := map[string]string{}
	for i := 1; i < n; i++ {
		if err = r.strings(fields); err != nil {
			return a, err
		}
	}
	a.Same = fields["still"] == "1"
	return a, nil
}

// refusal reads the error of an answer and the nil behind it.
func (r *Reader) refusal(a *Reply) error {
	n, err := r.array()
	if err != nil {
		return err
	}
	if n != 2 {
		return errShape
	}
	word, err := r.text(mostMethod)
	if err != nil {
		return err
	}
	fields := map[string]string{}
	if err := r.strings(fields); err != nil {
		return err
	}
	a.Denied, a.Aborted = word == "Shed", word != "Shed"
	if ms, err := strconv.ParseUint(fields["w"], 10, 31); err == nil {
		a.ComeBack = time.Duration(ms) * time.Millisecond
	}
	b, err := r.in.ReadByte()
	if err == nil && b != 0xc0 {
		err = errShape
	}
	return err
}

// strings reads a map of strings.
func (r *Reader) strings(to map[string]string) error {
	b, err := r.in.ReadByte()
	if err != nil {
		return err
	}
	if b&0xf0 != 0x80 {
		return errShape
	}
	for range b & 0x0f {
		name, err := r.text(mostField)
		if err != nil {
			return err
		}
		if to[name], err = r.text(mostField); err != nil {
			return err
		}
	}
	return nil
}
