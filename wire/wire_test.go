package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/control"
)

const info = `classes.count=1
classes.0.aim=400000
classes.0.aimStretch=2.0
classes.0.deadline=4000000
classes.0.idempotency=read_like
classes.0.value=2.0
domain.hubOf=0,0
domain.midKind=1
domain.sourceKind=2
domain.zoneBalancers=0,1
limits.cancel=true
limits.sendCap=4
rules.rampTime=9000000
unheard.of=1
zone=1
`

type frames struct{ bytes.Buffer }

func le(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func (f *frames) add(clock uint64, records ...[]byte) {
	body := bytes.Join(records, nil)
	f.Write(le(uint32(9), uint32(8+len(body)), clock))
	f.Write(body)
}

func create() []byte {
	return append(le(evCreate, uint64(5), uint32(len(info))), info...)
}

func entry(state uint8, node uint32, kind uint8, zone uint16) []byte {
	return le(state, float32(1), node, uint64(0), kind, zone, uint16(0))
}

func list(entries ...[]byte) []byte {
	return append(le(evAnnounce, uint8(3), uint32(1), uint32(len(entries))), bytes.Join(entries, nil)...)
}

func ask(id uint32, deadline uint64) []byte {
	return le(evIncoming, id, uint32(0), float32(2), float32(3), uint8(0), uint16(0), float32(0), uint64(77), deadline)
}

func at(who uint16) []byte { return le(evAt, who) }

// serve returns the records of each reply, or the error.
func serve(t *testing.T, in []byte) ([][]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(in), &out)
	var replies [][]byte
	for b := out.Bytes(); len(b) > 0; {
		n := int(binary.LittleEndian.Uint32(b[4:]))
		replies = append(replies, b[8:8+n])
		b = b[8+n:]
	}
	return replies, err
}

func TestReqIsDispatchedAndAnswered(t *testing.T) {
	var f frames
	f.add(1e6)
	f.add(1e6, at(3), create(), list(entry(1, 8, 0, 1), entry(1, 2, 1, 0), entry(1, 1, 2, 0)), ask(40, 5e6))
	f.add(2e6, at(3), le(evFinished, uint32(40), uint16(200), uint32(1000), uint8(1), uint32(8), uint8(0),
		uint32(0), uint32(2), uint8(1), float32(0.5)))
	f.add(3e6, at(3), le(evVanished, uint32(40)), le(evFinished, uint32(40), uint16(499), uint32(9), uint8(1),
		uint32(8), uint8(0), uint32(0), uint32(0), uint8(0)))
	replies, err := serve(t, f.Bytes())
	if err != nil || len(replies) != 4 || len(replies[0]) != 0 || len(replies[2]) != 0 || len(replies[3]) != 0 {
		t.Fatalf("replies %x, error %v", replies, err)
	}
	want := le(acFetchThrough, uint32(40), uint32(0), uint8(1), uint32(8), uint32(0), uint32(2), uint8(0))
	if !bytes.HasPrefix(replies[1], le(acInstance, uint16(3))) || !bytes.Contains(replies[1], want) {
		t.Errorf("reply %x lacks %x", replies[1], want)
	}
}

func TestCrashAndCreateInOneBatch(t *testing.T) {
	var f frames
	f.add(1e6, at(3), create(), list(), ask(1, 5e6), le(evCrashNow), create(), list(entry(1, 8, 0, 1)), ask(2, 5e6))
	f.add(2e6, at(3), le(evWakeup, uint32(99)), le(evFinished, uint32(1), uint16(200), uint32(9), uint8(1), uint32(8),
		uint8(0), uint32(0), uint32(0), uint8(0)), le(evAnnounce, uint8(4), uint32(0), uint32(0)),
		le(evProbeDone, uint16(200), uint32(0), uint32(8), uint8(1), float32(1)), le(evPeer, uint16(1), uint16(2), uint16(0)),
		le(evOpened, uint32(1), uint8(0), uint32(8), uint32(0)), le(evOutdated, uint16(1), uint32(0), uint64(7)))
	if _, err := serve(t, f.Bytes()); err != nil {
		t.Fatal(err)
	}
}

func TestMalformedFramesEndWithFrameAndOffset(t *testing.T) {
	var good frames
	good.add(1e6, at(3), create(), list(entry(1, 8, 0, 1)))
	bad := func(records ...[]byte) []byte {
		f := frames{}
		f.Write(good.Bytes())
		f.add(2e6, records...)
		return f.Bytes()
	}
	cases := map[string][]byte{
		"header cut off":      good.Bytes()[:7],
		"records cut off":     good.Bytes()[:good.Len()-3],
		"impossible length":   le(uint32(1), uint32(3), uint64(0)),
		"unknown code":        bad(at(3), le(uint8(200))),
		"before any at":       bad(le(evWakeup, uint32(1))),
		"bytes, 2 left":       bad(at(3), le(evVanished, uint16(1))),
		"counts 4000000000":   bad(at(3), le(evAnnounce, uint8(1), uint32(1), uint32(4000000000))),
		"unknown state 9":     bad(at(3), list(entry(9, 8, 0, 1))),
		"unknown scope":       bad(at(3), le(evAnnounce, uint8(7), uint32(1), uint32(0))),
		"unknown class":       bad(at(3), le(evIncoming, uint32(1), uint32(0), float32(0), float32(0), uint8(0), uint16(9), float32(0), uint64(1), uint64(9e6))),
		"with unknown ending": bad(at(3), le(evFinished, uint32(1), uint16(7), uint32(9), uint8(1), uint32(8), uint8(0), uint32(0), uint32(0), uint8(0))),
		"is no number":        bad(at(3), append(le(evCreate, uint64(1), uint32(6)), "zone=x"...)),
	}
	for want, in := range cases {
		_, err := serve(t, in)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "frame ") ||
			!strings.Contains(err.Error(), "offset ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", want, err)
		}
	}
}

func TestOrderOnTheWire(t *testing.T) {
	h := &host{}
	in := &instance{host: h, who: 3}
	in.Dispatch(0x5d3a91c4, control.Order{Node: 0x1a124a07, Source: 0x2c9011f2, Timeout: 769952 * time.Microsecond, Rank: 2,
		Age: 1500 * time.Millisecond, Renew: true})
	in.After(-time.Second, 7)
	in.After(1500*time.Nanosecond, 8)
	in.Deny(1, time.Duration(math.MaxInt64))
	in.Probe(7)
	in.Dispatch(1, control.Order{Node: 2, Source: 2, Join: true})
	want := "0d03000cc4913a5da0bf0b0002074a121a60e31600f211902c08" + "040000000007000000" + "040200000008000000" + "0101000000ffffff7f" +
		"0507000000" + "0c0100000000000000" + "00" + "02000000" + "00000000" + "02000000" + "01"
	if got := hex.EncodeToString(h.out); got != want {
		t.Errorf("wrote %s\nwant  %s", got, want)
	}
}
