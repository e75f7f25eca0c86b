package msgpack

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"testing/quick"
	"time"
)

var fixed = &quick.Config{MaxCount: 300, Rand: rand.New(rand.NewSource(1))}

// wide writes a length under a code for 1, 2 or 4 bytes, as the width drawn says.
func wide(b []byte, code byte, n int, width int) []byte {
	var l [4]byte
	binary.BigEndian.PutUint32(l[:], uint32(n))
	return append(append(b, code+byte(width)), l[4-1<<width:]...)
}

func str(b []byte, s string, r *rand.Rand) []byte {
	switch {
	case len(s) < 32 && r.Intn(2) == 0:
		b = append(b, 0xa0|byte(len(s)))
	case r.Intn(2) == 0:
		b = wide(b, 0xd9, len(s), r.Intn(3))
	default:
		b = wide(b, 0xc4, len(s), r.Intn(3))
	}
	return append(b, s...)
}

func uint32s(b []byte, v uint32, r *rand.Rand) []byte {
	switch {
	case v < 0x80 && r.Intn(2) == 0:
		return append(b, byte(v))
	case r.Intn(2) == 0:
		return binary.BigEndian.AppendUint64(append(b, 0xd3), uint64(v))
	case r.Intn(2) == 0:
		return binary.BigEndian.AppendUint64(append(b, 0xcf), uint64(v))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), v)
}

func list(b []byte, n int, r *rand.Rand) []byte {
	if r.Intn(2) == 0 {
		return append(b, 0x90|byte(n))
	}
	return wide(b, 0xdc-1, n, 1+r.Intn(2))
}

// message writes a req with widths drawn by chance.
func message(m Message, r *rand.Rand) []byte {
	b := uint32s(list(nil, 4, r), 0, r)
	b = str(uint32s(b, m.ID, r), m.Vhost, r)
	b = list(b, 2, r)
	fields := []string{"i", m.Req, "d", "1500", "k", m.Idem, "o", m.Obj, "n", m.Part, "shard", m.Group, "mine", m.Have,
		"unheard", "of"}
	if r.Intn(2) == 0 {
		b = append(b, 0x80|byte(len(fields)/2))
	} else {
		b = wide(b, 0xde-1, len(fields)/2, 1+r.Intn(2))
	}
	for _, f := range fields {
		b = str(b, f, r)
	}
	if len(m.Body) == 0 && r.Intn(2) == 0 {
		return append(b, 0xc0)
	}
	return append(wide(b, 0xc4, len(m.Body), 2), m.Body...)
}

func read(b []byte, chunk int) (Message, error) {
	var in io.Reader = bytes.NewReader(b)
	if chunk > 0 {
		in = &slowly{b: b, chunk: chunk}
	}
	return NewReader(bufio.NewReaderSize(in, 16)).Read()
}

// slowly gives a few bytes a read.
type slowly struct {
	b     []byte
	chunk int
}

func (s *slowly) Read(p []byte) (int, error) {
	if len(s.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.b[:min(s.chunk, len(s.b))])
	s.b = s.b[n:]
	return n, nil
}

func TestReqsOfAnyWidth(t *testing.T) {
	same := func(id uint32, body []byte, seed int64, chunk uint8) bool {
		m := Message{ID: id, Numbered: true, Vhost: "segment", Req: "9b1f03aa5c7e2d41", Timeout: 1500 * time.Millisecond,
			Idem: strings.Repeat("k", int(seed&31)), Obj: "7f3a9c21e0b4d655", Part: "3", Group: "17", Have: "ab", Body: body}
		got, err := read(message(m, rand.New(rand.NewSource(seed))), int(chunk))
		if len(body) == 0 {
			got.Body = body
		}
		return err == nil && reflect.DeepEqual(got, m)
	}
	if err := quick.Check(same, fixed); err != nil {
		t.Error(err)
	}
}

func TestCutAnywhere(t *testing.T) {
	whole := message(Message{ID: 7, Vhost: "segment", Body: []byte("body")}, rand.New(rand.NewSource(2)))
	for n := range whole {
		if _, err := read(whole[:n], 0); n == 0 && err != io.EOF || n > 0 && err != io.ErrUnexpectedEOF {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
}

func TestNoticesAndAlive(t *testing.T) {
	stream := "\x93\x02\xadcancelRequest\x91\x07" + "\x94\x00\x08\xa5alive\x91\x80" + "\x93\x02\xa3new\x92\x81\xa1a\xcb12345678\xc7\x01xx"
	in := NewReader(bufio.NewReader(strings.NewReader(stream)))
	for _, want := range []Message{{Kind: Cancel, ID: 7}, {Kind: Alive, ID: 8, Numbered: true, Vhost: "alive"}, {Kind: Other}} {
		if got, err := in.Read(); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v %v, want %+v", got, err, want)
		}
	}
}

// Lengths far beyond what follows must be refused before anything of that size is made.
func TestHostile(t *testing.T) {
	for _, s := range []string{"\xc1", "\x94\x01", "\x94\x00\xff", "\x94\x00\x01\xdb\xff\xff\xff\xff",
		"\x94\x00\x01\xa1a\xdd\x7f\xff\xff\xff", "\x94\x00\x01\xa1a\x92\xdf\x7f\xff\xff\xff",
		"\x94\x00\x01\xa1a\x92\x80\xc6\x7f\xff\xff\xff", "\x94\x00\x01\xa1a\x91\x80",
		"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1a\x92\x80\xc0",
		"\x93\x02\xa1x" + strings.Repeat("\x91", 5000)} {
		if m, err := read([]byte(s), 0); err == nil || err == io.EOF || err == io.ErrUnexpectedEOF {
			t.Errorf("%q: %+v %v", s[:min(20, len(s))], m, err)
		}
	}
	garbage := func(b []byte) bool {
		in := NewReader(bufio.NewReader(bytes.NewReader(b)))
		for range b {
			if _, err := in.Read(); err != nil {
				return true
			}
		}
		return true
	}
	if err := quick.Check(garbage, fixed); err != nil {
		t.Error(err)
	}
}

func TestAnswers(t *testing.T) {
	head, body, tail := Done(7, []byte("xy"), false)
	for want, got := range map[string][]byte{
		"\x94\x01\xce\x00\x00\x00\x07\xc0\x92\xc6\x00\x00\x00\x02xy\x80":             bytes.Join([][]byte{head, body, tail}, nil),
		"\x94\x01\xce\x00\x00\x00\x07\x92\xa4Shed\x81\xa1w\xa3250\xc0":               Denied(7, 250*time.Millisecond),
		"\x94\x01\xce\x00\x00\x00\x07\x92\xa4Shed\x80\xc0":                           Denied(7, 0),
		"\x94\x01\xce\x00\x00\x00\x07\x92\xa5Fault\x81\xa3why\xa7unknown\xc0":        Aborted(7, "unknown"),
		"\x94\x01\xce\x00\x00\x00\x07\xc0\x92\xc3\x80":                               Ready(7, true),
		"\x94\x01\xce\x00\x00\x00\x07\xc0\x92\xc2\x80":                               Ready(7, false),
		"\x94\x01\xce\x00\x00\x00\x07\xc0\x92\xc6\x00\x00\x00\x00\x81\xa5still\xa11": func() []byte { h, _, t := Done(7, nil, true); return append(h, t...) }(),
	} {
		if string(got) != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
