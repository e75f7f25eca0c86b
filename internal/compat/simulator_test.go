package compat

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"indigochute.example/indigochute/internal/simadapter"
)

// Codes of the simulator's protocol, with their numbers on the wire.
const (
	simCreate uint8 = iota
	simAnnounce
	simIncoming
	simOpened
	simFinished
	simVanished
	simWakeup
	simProbeDone
	simPeer
	simCrashNow
	simOutdated
	simAt
)

// actionSizes is the number of bytes after the code of each action: overload_reply, respond_error, stop_attempt, after, sound_out,
// fetch_through and instance.
var actionSizes = map[uint8]int{1: 8, 2: 4, 3: 5, 4: 8, 5: 4, 12: 22, 13: 2}

const (
	simSecond   = uint64(1_000_000) // microseconds of the simulator's clock
	simSeed     = uint64(0x8c1f30d27a5be964)
	simInstance = uint16(3) // id of the instance
	simFrame    = uint32(9) // number of a frame, which the reply repeats
)

// records returns the concatenated little-endian bytes of values.
func records(values ...any) []byte {
	var b bytes.Buffer
	for _, v := range values {
		if raw, ok := v.([]byte); ok {
			b.Write(raw)
		} else if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func simBatch(clock uint64, list ...[]byte) []byte {
	body := bytes.Join(list, nil)
	return records(simFrame, uint32(8+len(body)), clock, body)
}

func simMachine(state uint8, size float32, node uint32, started uint64, kind uint8, zone uint16) []byte {
	return records(state, size, node, started, kind, zone, uint16(node%4))
}

func simAnnouncement(scope uint8, machines ...[]byte) []byte {
	return records(simAnnounce, scope, uint32(1), uint32(len(machines)), bytes.Join(machines, nil))
}

func simRequest(id uint32, class uint16, object, deadline uint64) []byte {
	return records(simIncoming, id, uint32(0), float32(2), float32(3), uint8(0), class, float32(0), object, deadline)
}

func simEnd(id uint32, code uint16, took uint32, final, attempt uint8, waited, note uint32) []byte {
	return records(simFinished, id, code, took, final, uint32(8), attempt, waited, note, uint8(1), float32(0.5))
}

// simSession returns a session with each kind of record that the simulator sends and each status with which an attempt may end.
func simSession() []byte {
	at := records(simAt, simInstance)
	create := records(simCreate, simSeed, uint32(len(simulatorSettings)), []byte(simulatorSettings))
	machines := [][]byte{simMachine(1, 12.5, 10, 0, 0, 1), simMachine(1, 25, 11, simSecond/2, 0, 1), simMachine(1, 12.5, 12, 0, 0, 1),
		simMachine(2, 12.5, 13, 0, 0, 1), simMachine(0, 12.5, 14, 0, 0, 1), simMachine(1, 50, 20, 0, 1, 0), simMachine(1, 50, 21, 0, 1, 1),
		simMachine(1, 100, 30, 0, 2, 0)}
	batches := [][]byte{
		simBatch(simSecond),
		simBatch(simSecond, at, create, simAnnouncement(3, machines...)),
	}
	clock, id := 2*simSecond, uint32(40)
	for class := range uint16(3) {
		for note, code := range []uint16{200, 500, 503, 504, 502, 598, 499, 410, 404, 200, 200} {
			id++
			final := uint8(0)
			if code == 200 {
				final = 1
			}
			batches = append(batches,
				simBatch(clock, at, simRequest(id, class, 70+uint64(id%5), clock+4*simSecond)),
				simBatch(clock+150_000, at, simEnd(id, code, 150_000, final, 0, 90_000, uint32(note))),
				simBatch(clock+300_000, at, simEnd(id, 200, 150_000, 1, 1, 0, 1)))
			clock += 400_000
		}
	}
	for id := uint32(191); id < 195; id++ { // rejected without a reason, after which the source gets a health check
		batches = append(batches, simBatch(clock, at, simRequest(id, 0, 500+uint64(id), clock+4*simSecond)),
			simBatch(clock+50_000, at, simEnd(id, 503, 50_000, 0, 0, 0, 0)),
			simBatch(clock+200_000, at, simEnd(id, 200, 150_000, 1, 1, 0, 0)))
		clock += 400_000
	}
	batches = append(batches,
		simBatch(clock, at, simRequest(201, 0, 77, clock+simSecond), simRequest(202, 2, 78, clock+simSecond), records(simOpened, uint32(201), uint8(0), uint32(10), uint32(0))),
		simBatch(clock+100_000, at, records(simVanished, uint32(201))),
		simBatch(clock+100_000, at, records(simOutdated, uint16(3), uint32(1000), uint64(77)), records(simOutdated, uint16(3), uint32(2000), uint64(0))),
		simBatch(clock+200_000, at, records(simProbeDone, uint16(200), uint32(0), uint32(20), uint8(1), float32(1)),
			records(simProbeDone, uint16(502), uint32(0), uint32(21), uint8(0)), records(simPeer, uint16(1), uint16(2), uint16(0))),
		simBatch(clock+500_000, at, records(simWakeup, uint32(0))),
		simBatch(clock+990_000, at, records(simWakeup, uint32(35)), records(simWakeup, uint32(36))),
		simBatch(clock+simSecond, at, simAnnouncement(2, simMachine(2, 12.5, 10, 0, 0, 1))),
		simBatch(clock+simSecond, at, simAnnouncement(4)),
		simBatch(clock+simSecond, at, simRequest(301, 1, 90, clock+5*simSecond)),
		simBatch(clock+simSecond, at, simAnnouncement(1)),
		simBatch(clock+simSecond, at, simRequest(302, 1, 91, clock+5*simSecond)),
		simBatch(clock+2*simSecond, at, records(simCrashNow)),
		simBatch(clock+2*simSecond, at, create, simAnnouncement(3, machines...), simRequest(401, 0, 90, clock+5*simSecond)))
	return bytes.Join(batches, nil)
}

// TestSimulatorSession checks the replies of the package and of the program to a scripted session. Each action must occur.
func TestSimulatorSession(t *testing.T) {
	var session strings.Builder
	for _, frame := range simFrames(t, simSession()) {
		fmt.Fprintf(&session, "%x\n", frame)
	}
	golden(t, "simulator_session.txt", []byte(session.String()))
	in := unhexLines(t, readGolden(t, "simulator_session.txt"))

	var replies bytes.Buffer
	if err := simadapter.Serve(bytes.NewReader(in), &replies); err != nil {
		t.Fatal(err)
	}
	adapter, err := builtSimAdapter()
	if err != nil {
		t.Fatal(err)
	}
	c := exec.CommandContext(t.Context(), adapter)
	c.Stdin = bytes.NewReader(in)
	output, err := c.Output()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(output, replies.Bytes()) {
		t.Errorf("replies of the program and the package differ: %s", firstDifference(output, replies.Bytes()))
	}
	var text strings.Builder
	seen := map[uint8]int{}
	for _, frame := range simFrames(t, replies.Bytes()) {
		fmt.Fprintf(&text, "%x\n", frame)
		for b := frame[8:]; len(b) > 0; {
			size, known := actionSizes[b[0]]
			if !known || len(b) <= size {
				t.Fatalf("reply %x: action %d is unknown or truncated", frame, b[0])
			}
			seen[b[0]]++
			b = b[1+size:]
		}
	}
	golden(t, "simulator_replies.txt", []byte(text.String()))
	for code := range actionSizes {
		if seen[code] == 0 {
			t.Errorf("no reply has action %d, number of replies by action %v", code, seen)
		}
	}
}

// simFrames splits a stream into its frames. Only the simulator's frames have a clock; it is treated as part of their records.
func simFrames(t *testing.T, b []byte) (frames [][]byte) {
	t.Helper()
	for len(b) > 0 {
		n := 8 + int(binary.LittleEndian.Uint32(b[4:]))
		if n > len(b) {
			t.Fatalf("a frame of %d bytes, %d left", n, len(b))
		}
		frames, b = append(frames, b[:n]), b[n:]
	}
	return frames
}

func unhexLines(t *testing.T, text []byte) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}
