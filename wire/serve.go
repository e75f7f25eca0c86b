package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"indigochute.example/indigochute/config"
	"indigochute.example/indigochute/control"
)

// host is all the instances of one process; they share nothing but the reply being written.
type host struct {
	instances map[uint16]*instance
	out       []byte
	writer    *instance // whose actions are being written
}

// instance is one director's side of the wire; it implements control.Front.
type instance struct {
	host *host
	who  uint16
	born uint64 // clock of its start, in microseconds
	dir  *control.Director
}

const biggestFrame = 1 << 30

// Serve answers batches until the input ends. A malformed frame ends it with an error
// that names the frame and the offset within its records.
func Serve(in io.Reader, out io.Writer) error {
	src, dst := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	h := &host{instances: map[uint16]*instance{}}
	var head [16]byte
	var body []byte
	for frame := 0; ; frame++ {
		if n, err := io.ReadFull(src, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame %d: offset %d: header cut off: %w", frame, n, err)
		}
		size := binary.LittleEndian.Uint32(head[4:])
		if size < 8 || size > biggestFrame {
			return fmt.Errorf("frame %d: offset 4: impossible length %d", frame, size)
		}
		if need := int(size) - 8; cap(body) < need {
			body = make([]byte, need)
		} else {
			body = body[:need]
		}
		if n, err := io.ReadFull(src, body); err != nil {
			return fmt.Errorf("frame %d: offset %d: records cut off: %w", frame, n, err)
		}
		h.out = append(h.out[:0], head[:4]...)
		h.out = append(h.out, 0, 0, 0, 0)
		if err := h.batch(body, binary.LittleEndian.Uint64(head[8:])); err != nil {
			return fmt.Errorf("frame %d: %w", frame, err)
		}
		binary.LittleEndian.PutUint32(h.out[4:], uint32(len(h.out)-8))
		if _, err := dst.Write(h.out); err != nil {
			return err
		}
		if err := dst.Flush(); err != nil {
			return err
		}
	}
}

// batch turns each record straight into a call on its instance's director.
func (h *host) batch(body []byte, clock uint64) error {
	r := &reader{b: body}
	h.writer = nil
	var who uint16
	named := false
	var in *instance
	for r.at < len(body) && r.err == nil {
		start := r.at
		code := r.u8("code")
		if !named && code != evAt && code <= evAt {
			return fmt.Errorf("offset %d: record %d before any at", start, code)
		}
		var now time.Duration
		if in != nil {
			now = in.since(clock)
		}
		switch code {
		case evAt:
			who, named = r.u16("at"), true
			in = h.instances[who]
		case evCreate:
			seed := r.u64("create")
			info := r.take(r.count(r.u32("create"), 1, "info"), "info")
			if r.err != nil {
				break
			}
			set, err := config.Text(string(info))
			if err != nil {
				return fmt.Errorf("offset %d: create: %w", start, err)
			}
			set.Seed = seed
			in = &instance{host: h, who: who, born: clock}
			in.dir = control.Start(set, in)
			h.instances[who] = in
		case evAnnounce:
			scope := r.u8("announce")
			r.u32("announce")
			n := r.count(r.u32("announce"), 22, "announce")
			list := make([]control.Listed, 0, n)
			for range n {
				list = append(list, r.listed(in))
			}
			if r.err == nil && scope > 4 {
				return fmt.Errorf("offset %d: announce of unknown scope %d", start, scope)
			}
			if in != nil && r.err == nil && scope != 4 {
				in.dir.List(now, list, scope != 2)
			}
		case evIncoming:
			var a control.Ask
			a.ID = r.u32("incoming")
			r.u32("incoming")
			a.Part, a.Group = uint32(r.f32("incoming")), uint32(r.f32("incoming"))
			r.u8("incoming")
			a.Vhost, a.KB = int(r.u16("incoming")), r.f32("incoming")
			a.Obj = r.u64("incoming")
			dropDead := r.u64("incoming")
			if in == nil || r.err != nil {
				break
			}
			if a.Vhost >= in.dir.Vhosts() {
				return fmt.Errorf("offset %d: incoming of unknown class %d", start, a.Vhost)
			}
			a.Deadline = in.since(dropDead)
			in.dir.Req(now, a)
		case evOpened:
			r.take(13, "opened") // no streamed vhost is served yet
		case evFinished:
			id, o := r.finished()
			if r.err == nil && o.Ending > control.Miss {
				return fmt.Errorf("offset %d: finished with unknown ending", start)
			}
			if in != nil && r.err == nil {
				in.dir.Outcome(now, id, o)
			}
		case evVanished:
			if id := r.u32("vanished"); in != nil && r.err == nil {
				in.dir.Left(now, id)
			}
		case evWakeup:
			if token := r.u32("wakeup"); in != nil && r.err == nil {
				in.dir.Timer(now, token)
			}
		case evProbeDone:
			o := ending(r.u16("probe_done"))
			r.u32("probe_done")
			node := r.u32("probe_done")
			if r.pressure(); in != nil && r.err == nil {
				in.dir.Probed(now, node, o)
			}
		case evPeer: // nor talks to peers
			r.take(2, "peer")
			r.take(r.count(uint32(r.u16("peer")), 1, "peer"), "peer")
		case evCrashNow:
			delete(h.instances, who)
			in = nil
		case evOutdated:
			group := r.u16("outdated")
			age := r.u32("outdated")
			obj := r.u64("outdated")
			if in != nil && r.err == nil {
				in.dir.Purge(now, uint32(group), obj, micros(age))
			}
		default:
			return fmt.Errorf("offset %d: unknown code %d", start, code)
		}
	}
	return r.err
}

func (r *reader) listed(in *instance) (l control.Listed) {
	l.State = control.State(r.u8("entry")) // 0 gone, 1 ready, 2 draining on both sides
	l.Size = r.f32("entry")
	l.Node = r.u32("entry")
	boot := r.u64("entry")
	l.Kind, l.Zone, l.Cell = int(r.u8("entry")), int(r.u16("entry")), int(r.u16("entry"))
	if l.State > control.Draining {
		r.err = fmt.Errorf("offset %d: entry of unknown state %d", r.at, l.State)
	}
	if in != nil && boot != 0 {
		l.Booted, l.Boot = true, in.since(boot)
	}
	return l
}

func (r *reader) finished() (id uint32, o control.Outcome) {
	id = r.u32("finished")
	o.Ending = ending(r.u16("finished"))
	o.Took = micros(r.u32("finished"))
	o.Final = r.u8("finished") != 0
	r.u32("finished")
	o.Dispatch = int(r.u8("finished"))
	o.Waited = micros(r.u32("finished"))
	if note := r.u32("finished"); note <= uint32(control.OriginFailed) {
		o.Fill = control.Fill(note) // numbered alike
	}
	r.pressure() // no decision goes by load reports yet
	return id, o
}

// pressure reads past a load report.
func (r *reader) pressure() {
	r.take(4*r.count(uint32(r.u8("pressure")), 4, "pressure"), "pressure")
}

func ending(code uint16) control.Ending {
	switch code {
	case 200:
		return control.Done
	case 500:
		return control.Failed
	case 503:
		return control.Full
	case 504:
		return control.TimedOut
	case 502:
		return control.NoConnect
	case 598:
		return control.Reset
	case 499:
		return control.Cancelled
	case 410:
		return control.Moot
	case 404:
		return control.Miss
	}
	return control.Miss + 1
}

func micros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }

// since turns a clock time into the time since the instance's start; it may be negative.
func (in *instance) since(clock uint64) time.Duration {
	return time.Duration(int64(clock-in.born)) * time.Microsecond
}

// wireMicros rounds up to whole microseconds and keeps within the field.
func wireMicros(d time.Duration) uint32 {
	us := d / time.Microsecond
	if d%time.Microsecond > 0 {
		us++
	}
	return uint32(min(max(us, 0), math.MaxInt32))
}

func (in *instance) act(code uint8) {
	h := in.host
	if h.writer != in {
		h.writer = in
		h.out = append(h.out, acInstance)
		h.out = binary.LittleEndian.AppendUint16(h.out, in.who)
	}
	h.out = append(h.out, code)
}

func (in *instance) put32(v uint32) { in.host.out = binary.LittleEndian.AppendUint32(in.host.out, v) }
func (in *instance) put8(v uint8)   { in.host.out = append(in.host.out, v) }

func (in *instance) Dispatch(req uint32, o control.Order) {
	in.act(acFetchThrough)
	in.put32(req)
	in.put32(wireMicros(o.Timeout))
	in.put8(o.Rank)
	in.put32(o.Node)
	in.put32(wireMicros(o.Age))
	in.put32(o.Source)
	var opts uint8
	if o.Join {
		opts |= optJoin
	}
	if o.HeldOnly {
		opts |= optHeldOnly
	}
	if o.Renew {
		opts |= optRenew
	}
	in.put8(opts)
}

func (in *instance) Cancel(req uint32, dispatch int) {
	in.act(acStopAttempt)
	in.put32(req)
	in.put8(uint8(dispatch))
}

func (in *instance) Deny(req uint32, comeBack time.Duration) {
	in.act(acOverloadReply)
	in.put32(req)
	in.put32(wireMicros(comeBack))
}

func (in *instance) Abort(req uint32) {
	in.act(acRespondError)
	in.put32(req)
}

func (in *instance) Probe(node uint32) {
	in.act(acSoundOut)
	in.put32(node)
}

func (in *instance) After(wait time.Duration, token uint32) {
	in.act(acAfter)
	in.put32(wireMicros(wait))
	in.put32(token)
}
