// Package wire speaks the bench's binary protocol: its names and numbers end here.
package wire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// reader takes fields off one frame's records; the first fault sticks.
type reader struct {
	b   []byte
	at  int
	err error
}

func (r *reader) take(n int, what string) []byte {
	if r.err == nil && n > len(r.b)-r.at {
		r.err = fmt.Errorf("offset %d: %s needs %d bytes, %d left", r.at, what, n, len(r.b)-r.at)
	}
	if r.err != nil {
		return zeros[:min(n, len(zeros))]
	}
	r.at += n
	return r.b[r.at-n : r.at]
}

var zeros [32]byte

func (r *reader) u8(what string) uint8   { return r.take(1, what)[0] }
func (r *reader) u16(what string) uint16 { return binary.LittleEndian.Uint16(r.take(2, what)) }
func (r *reader) u32(what string) uint32 { return binary.LittleEndian.Uint32(r.take(4, what)) }
func (r *reader) u64(what string) uint64 { return binary.LittleEndian.Uint64(r.take(8, what)) }
func (r *reader) f32(what string) float64 {
	return float64(math.Float32frombits(r.u32(what)))
}

// count reads how many items of a size follow and checks that they can.
func (r *reader) count(n uint32, size int, what string) int {
	if r.err == nil && int64(n)*int64(size) > int64(len(r.b)-r.at) {
		r.err = fmt.Errorf("offset %d: %s counts %d, %d bytes left", r.at, what, n, len(r.b)-r.at)
	}
	if r.err != nil {
		return 0
	}
	return int(n)
}

// codes of events
const (
	evCreate uint8 = iota
	evAnnounce
	evIncoming
	evOpened
	evFinished
	evVanished
	evWakeup
	evProbeDone
	evPeer
	evCrashNow
	evOutdated
	evAt
)

// codes of actions
const (
	acOverloadReply uint8 = 1
	acRespondError  uint8 = 2
	acStopAttempt   uint8 = 3
	acAfter         uint8 = 4
	acSoundOut      uint8 = 5
	acFetchThrough  uint8 = 12
	acInstance      uint8 = 13
)

// bits of fetch_through's opts
const (
	optJoin     uint8 = 1
	optHeldOnly uint8 = 2
	optRenew    uint8 = 8
)
