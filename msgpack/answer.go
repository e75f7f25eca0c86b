package msgpack

import (
	"encoding/binary"
	"strconv"
	"time"
)

// Done is an answer in three pieces, the body between the others, so that it need not be copied. Where same
// holds, the copy that the client has is the one.
func Done(id uint32, body []byte, same bool) (head, middle, tail []byte) {
	head = append(answer(id), 0xc0, 0x92)
	head = append(head, 0xc6)
	head = binary.BigEndian.AppendUint32(head, uint32(len(body)))
	if same {
		return head, body, text(text([]byte{0x81}, "still"), "1")
	}
	return head, body, []byte{0x80}
}

// Denied tells that another try is harmless; comeBack above zero, how long to stay away.
func Denied(id uint32, comeBack time.Duration) []byte {
	b := text(append(answer(id), 0x92), "Shed")
	if ms := comeBack.Milliseconds(); ms > 0 {
		b = text(text(append(b, 0x81), "w"), strconv.FormatInt(ms, 10))
	} else {
		b = append(b, 0x80)
	}
	return append(b, 0xc0)
}

// Aborted promises nothing; why is for whoever reads the client's log.
func Aborted(id uint32, why string) []byte {
	b := text(append(answer(id), 0x92), "Fault")
	b = text(text(append(b, 0x81), "why"), why)
	return append(b, 0xc0)
}

// Ready answers the question whether the director is.
func Ready(id uint32, ready bool) []byte {
	b := append(answer(id), 0xc0, 0x92, 0xc2)
	if ready {
		b[len(b)-1] = 0xc3
	}
	return append(b, 0x80)
}

func answer(id uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{0x94, 1, 0xce}, id)
}

func text(b []byte, s string) []byte {
	if len(s) < 32 {
		b = append(b, 0xa0|byte(len(s)))
	} else {
		b = append(b, 0xd9, byte(min(len(s), 255)))
	}
	return append(b, s[:min(len(s), 255)]...)
}
