package simadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// settingsText contains the settings of the instances in the form in which the simulator writes them. One key is unknown.
const settingsText = `classes.count=1
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
unknown.key=1
zone=1
`

// frames is the input of a session in the form in which the simulator writes it.
type frames struct{ bytes.Buffer }

// le returns the concatenated values in little-endian byte order.
func le(values ...any) []byte {
	var buffer bytes.Buffer
	for _, value := range values {
		if err := binary.Write(&buffer, binary.LittleEndian, value); err != nil {
			panic(err)
		}
	}
	return buffer.Bytes()
}

// add adds a frame with records at a time of the simulator's clock, in microseconds.
func (f *frames) add(clock uint64, records ...[]byte) {
	body := bytes.Join(records, nil)
	f.Write(le(uint32(9), uint32(8+len(body)), clock))
	f.Write(body)
}

// create returns the record that starts an instance.
func create() []byte {
	return append(le(eventCreate, uint64(5), uint32(len(settingsText))), settingsText...)
}

// endpoint returns an endpoint of an announcement.
func endpoint(state uint8, node uint32, kind uint8, zone uint16) []byte {
	return le(state, float32(1), node, uint64(0), kind, zone, uint16(0))
}

// announce returns the record that announces a complete endpoint list.
func announce(endpoints ...[]byte) []byte {
	return append(le(eventAnnounce, uint8(3), uint32(1), uint32(len(endpoints))), bytes.Join(endpoints, nil)...)
}

// incoming returns the record of a client's request.
func incoming(id uint32, deadline uint64) []byte {
	return le(eventIncoming, id, uint32(0), float32(2), float32(3), uint8(0), uint16(0), float32(0), uint64(77), deadline)
}

// finished returns the record of an attempt that ended after 9 µs, without a load report.
func finished(requestID uint32, status uint16) []byte {
	return le(eventFinished, requestID, status, uint32(9), uint8(1), uint32(8), uint8(0), uint32(0), uint32(0), uint8(0))
}

// at returns the record that selects the instance for the following records.
func at(instanceID uint16) []byte { return le(eventAt, instanceID) }

// serve calls Serve. It returns the action records of each reply, and the error.
func serve(t *testing.T, input []byte) (replies [][]byte, err error) {
	t.Helper()
	var output bytes.Buffer
	err = Serve(bytes.NewReader(input), &output)
	const headBytes = numberBytes + lengthBytes
	for left := output.Bytes(); len(left) > 0; {
		end := headBytes + int(binary.LittleEndian.Uint32(left[numberBytes:]))
		replies = append(replies, left[headBytes:end])
		left = left[end:]
	}
	return replies, err
}

// TestServeStartsAttemptForRequest checks that the reply to a request starts an attempt, and that frames that need no action get empty
// replies.
func TestServeStartsAttemptForRequest(t *testing.T) {
	var input frames
	input.add(1e6)
	input.add(1e6, at(3), create(), announce(endpoint(1, 8, 0, 1), endpoint(1, 2, 1, 0), endpoint(1, 1, 2, 0)), incoming(40, 5e6))
	input.add(2e6, at(3), le(eventFinished, uint32(40), uint16(200), uint32(1000), uint8(1), uint32(8), uint8(0),
		uint32(0), uint32(2), uint8(1), float32(0.5)))
	input.add(3e6, at(3), le(eventVanished, uint32(40)), finished(40, 499))
	replies, err := serve(t, input.Bytes())
	if err != nil || len(replies) != 4 || len(replies[0]) != 0 || len(replies[2]) != 0 || len(replies[3]) != 0 {
		t.Fatalf("got replies %x, error %v, want four replies of which only the second has actions", replies, err)
	}
	want := le(actionFetchThrough, uint32(40), uint32(0), uint8(1), uint32(8), uint32(0), uint32(2), uint8(0))
	if !bytes.HasPrefix(replies[1], le(actionInstance, uint16(3))) || !bytes.Contains(replies[1], want) {
		t.Errorf("got reply %x, want %x in it", replies[1], want)
	}
}

// TestServeCrashAndCreateInOneFrame checks that events after a crash and a new start of an instance, and events that are not used for
// decisions, are not errors.
func TestServeCrashAndCreateInOneFrame(t *testing.T) {
	var input frames
	input.add(1e6, at(3), create(), announce(), incoming(1, 5e6), le(eventCrashNow), create(), announce(endpoint(1, 8, 0, 1)), incoming(2, 5e6))
	input.add(2e6, at(3), le(eventWakeup, uint32(99)), finished(1, 200), le(eventAnnounce, uint8(4), uint32(0), uint32(0)),
		le(eventProbeDone, uint16(200), uint32(0), uint32(8), uint8(1), float32(1)), le(eventPeer, uint16(1), uint16(2), uint16(0)),
		le(eventOpened, uint32(1), uint8(0), uint32(8), uint32(0)), le(eventOutdated, uint16(1), uint32(0), uint64(7)))
	if _, err := serve(t, input.Bytes()); err != nil {
		t.Fatal(err)
	}
}

// TestServeReportsMalformedFrame checks that Serve returns an error with the frame, the offset and the problem for a frame that violates
// the protocol.
func TestServeReportsMalformedFrame(t *testing.T) {
	var good frames
	good.add(1e6, at(3), create(), announce(endpoint(1, 8, 0, 1)))
	bad := func(records ...[]byte) []byte {
		input := frames{}
		input.Write(good.Bytes())
		input.add(2e6, records...)
		return input.Bytes()
	}
	cases := []struct {
		name    string
		in      []byte
		problem string
		frame   int
		offset  int
	}{
		{"truncated header", good.Bytes()[:7], "truncated header", 0, 7},
		{"truncated records", good.Bytes()[:good.Len()-3], "truncated records", 0, good.Len() - 16 - 3},
		{"frame too short", le(uint32(1), uint32(3), uint64(0)), "invalid frame length 3", 0, 4},
		{"frame too long", le(uint32(1), uint32(maxFrameBytes+1), uint64(0)), "invalid frame length 1073741825", 0, 4},
		{"unknown event", bad(at(3), le(uint8(200))), "unknown event code 200", 1, 3},
		{"unknown event first", bad(le(uint8(12))), "unknown event code 12", 1, 0},
		{"no instance selected", bad(le(eventWakeup, uint32(1))), "event code 6 before the first at record", 1, 0},
		{"truncated event", bad(at(3), le(eventVanished, uint16(1))), "vanished needs 4 bytes, but only 2 are left", 1, 4},
		{"too many endpoints", bad(at(3), le(eventAnnounce, uint8(1), uint32(1), uint32(4000000000))),
			"announce has a count of 4000000000, but only 0 bytes are left", 1, 13},
		{"truncated load report", bad(at(3), le(eventProbeDone, uint16(200), uint32(0), uint32(8), uint8(2), float32(1))),
			"load report has a count of 2, but only 4 bytes are left", 1, 15},
		{"unknown state", bad(at(3), announce(endpoint(9, 8, 0, 1))), "endpoint has unknown state 9", 1, 35},
		{"unknown scope", bad(at(3), le(eventAnnounce, uint8(7), uint32(1), uint32(0))), "announce has unknown scope 7", 1, 3},
		{"unknown class", bad(at(3), le(eventIncoming, uint32(1), uint32(0), float32(0), float32(0), uint8(0), uint16(9), float32(0),
			uint64(1), uint64(9e6))), "incoming has unknown class 9", 1, 3},
		{"unknown status", bad(at(3), finished(1, 7)), "finished has an unknown status", 1, 3},
		{"unreadable settings", bad(at(3), append(le(eventCreate, uint64(1), uint32(6)), "zone=x"...)), "create", 1, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := serve(t, test.in)
			checkMalformed(t, err, test.problem, test.frame, test.offset)
		})
	}
	_, err := serve(t, bad(at(3), append(le(eventCreate, uint64(1), uint32(6)), "zone=x"...)))
	if err == nil || !strings.Contains(err.Error(), "is not a number") {
		t.Errorf("got error %v, want its cause in it", err)
	}
}

// checkMalformed checks that an error is a *MalformedError with the given problem, frame and offset, and that its message is one line.
func checkMalformed(t *testing.T, err error, problem string, frame, offset int) {
	t.Helper()
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		t.Fatalf("got error %v, want a *MalformedError", err)
	}
	if malformed.Problem != problem || malformed.Frame != frame || malformed.Offset != offset {
		t.Errorf("got error %v, want frame %d: offset %d: %s", err, frame, offset, problem)
	}
	text := fmt.Sprintf("frame %d: offset %d: %s", frame, offset, problem)
	if !strings.HasPrefix(err.Error(), text) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %q, want one line that starts with %q", err, text)
	}
}

// TestActionBytes checks the encoding of each kind of action, and that durations are rounded up and limited.
func TestActionBytes(t *testing.T) {
	written := &reply{}
	instance := &instance{reply: written, id: 3}
	instance.StartAttempt(0x5d3a91c4, routing.AttemptOrder{Node: 0x1a124a07, Source: 0x2c9011f2, Timeout: 769952 * time.Microsecond, CachePriority: 2,
		MaxAge: 1500 * time.Millisecond, Revalidate: true})
	instance.SetTimer(-time.Second, 7)
	instance.SetTimer(1500*time.Nanosecond, 8)
	instance.Reject(1, time.Duration(math.MaxInt64))
	instance.CheckHealth(7)
	instance.StartAttempt(1, routing.AttemptOrder{Node: 2, Source: 2, CollapseFills: true})
	want := "0d03000cc4913a5da0bf0b0002074a121a60e31600f211902c08" + "040000000007000000" + "040200000008000000" + "0101000000ffffff7f" +
		"0507000000" + "0c0100000000000000" + "00" + "02000000" + "00000000" + "02000000" + "01"
	if got := hex.EncodeToString(written.bytes); got != want {
		t.Errorf("got bytes %s\nwant      %s", got, want)
	}
}

// closedPipe is an output whose writes fail.
type closedPipe struct{}

func (closedPipe) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestServeReturnsOutputError checks that Serve returns the error of a failed write with the number of the frame.
func TestServeReturnsOutputError(t *testing.T) {
	var input frames
	input.add(1e6)
	if err := Serve(&input, closedPipe{}); !errors.Is(err, io.ErrClosedPipe) || !strings.Contains(err.Error(), "frame 0") {
		t.Errorf("got error %v, want io.ErrClosedPipe and frame 0", err)
	}
}

// TestServeDropsEventsWithoutInstance checks that events for an instance that was never created are decoded and dropped.
func TestServeDropsEventsWithoutInstance(t *testing.T) {
	cases := []struct {
		name   string
		record []byte
	}{
		{"announce", announce(endpoint(1, 8, 0, 1))},
		{"incoming", incoming(1, 5e6)},
		{"finished", finished(1, 200)},
		{"vanished", le(eventVanished, uint32(1))},
		{"wakeup", le(eventWakeup, uint32(0))},
		{"probe_done", le(eventProbeDone, uint16(200), uint32(0), uint32(8), uint8(0))},
		{"outdated", le(eventOutdated, uint16(1), uint32(0), uint64(7))},
		{"crash_now", le(eventCrashNow)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var input frames
			input.add(1e6, at(9), test.record, at(3), create())
			replies, err := serve(t, input.Bytes())
			if err != nil || len(replies) != 1 || !bytes.HasPrefix(replies[0], le(actionInstance, uint16(3))) {
				t.Errorf("got replies %x, error %v, want actions of the instance created after the event", replies, err)
			}
		})
	}
}
