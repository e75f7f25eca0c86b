// Package feed reads the journal service's events, as frames and as the JSON that the configuration holds.
// It holds no decisions and no sockets. Names of that protocol end here.
package feed

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"

	"indigochute.example/indigochute/control"
)

const (
	mostFrame  = 4 << 20
	recordSize = 27
	mostSize   = (1<<32 - 1) / 1000.0 // that a record can hold, in thousandths
	headSize   = 9                    // number and kind
)

// Machine is one of the list.
type Machine struct {
	ID       uint32
	Addr     netip.AddrPort
	State    control.State
	Zone     int
	Kind     int
	Cell     int
	Size     float64 // what the list says of it, where it does
	BornUnix int64   // millisecond of a late start; 0: long ago
}

// Event is one numbered event. Of Machines and Purge one is set, or neither where there is nothing new.
type Event struct {
	Number   uint64
	Machines []Machine
	Whole    bool // Machines is the whole list
	Purge    *Purge
}

// Purge names an object or, where that is 0, a group.
type Purge struct {
	Obj    uint64
	Group  uint32
	AtUnix int64
}

// AppendHello writes what a connection starts with: the last number held.
func AppendHello(b []byte, last uint64) []byte { return binary.BigEndian.AppendUint64(b, last) }

// Read takes one frame off a stream.
func Read(in io.Reader) (e Event, err error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return e, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < headSize || size > mostFrame {
		return e, fmt.Errorf("feed: impossible length %d", size)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(in, b); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return e, err
	}
	return parse(b)
}

func parse(b []byte) (e Event, err error) {
	e.Number = binary.BigEndian.Uint64(b)
	kind, b := b[8], b[headSize:]
	switch kind {
	case 0:
		if len(b) > 0 {
			return e, fmt.Errorf("feed: event %d: nothing new in %d bytes", e.Number, len(b))
		}
	case 1, 2:
		if len(b)%recordSize != 0 {
			return e, fmt.Errorf("feed: event %d: %d bytes are no records", e.Number, len(b))
		}
		e.Whole = kind == 1
		e.Machines = make([]Machine, 0, len(b)/recordSize)
		for ; len(b) > 0; b = b[recordSize:] {
			m := Machine{
				ID:       binary.BigEndian.Uint32(b),
				Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])),
				Zone:     int(b[11]),
				Kind:     int(b[12]),
				Cell:     int(binary.BigEndian.Uint16(b[13:])),
				Size:     float64(binary.BigEndian.Uint32(b[15:])) / 1000,
				BornUnix: int64(binary.BigEndian.Uint64(b[19:])),
			}
			switch b[10] {
			case 0:
				m.State = control.Ready
			case 1:
				m.State = control.Draining
			case 2:
				m.State = control.Gone
			default:
				return e, fmt.Errorf("feed: event %d: unknown state %d", e.Number, b[10])
			}
			e.Machines = append(e.Machines, m)
		}
	case 3:
		if len(b) != 16 {
			return e, fmt.Errorf("feed: event %d: a purge of %d bytes", e.Number, len(b))
		}
		e.Purge = &Purge{Obj: binary.BigEndian.Uint64(b), AtUnix: int64(binary.BigEndian.Uint64(b[8:]))}
	case 4:
		if len(b) != 10 {
			return e, fmt.Errorf("feed: event %d: a purge of %d bytes", e.Number, len(b))
		}
		e.Purge = &Purge{Group: uint32(binary.BigEndian.Uint16(b)), AtUnix: int64(binary.BigEndian.Uint64(b[2:]))}
	default:
		return e, fmt.Errorf("feed: event %d: unknown kind %d", e.Number, kind)
	}
	return e, nil
}

// Known reads the events that the configuration holds. Zones and kinds are named there.
func Known(raw json.RawMessage, zones, kinds []string) (last uint64, events []Event, err error) {
	var known struct {
		Pos     *uint64 `json:"pos"`
		Entries []struct {
			Pos   uint64 `json:"pos"`
			Hosts *struct {
				Whole bool `json:"whole"`
				Hosts []struct {
					Host   string  `json:"host"`
					Dial   string  `json:"dial"`
					Site   string  `json:"site"`
					Class  string  `json:"class"`
					Block  int     `json:"block"`
					Health string  `json:"health"`
					Share  float64 `json:"share"`
					Born   float64 `json:"born_ms"`
				} `json:"hosts"`
			} `json:"hosts"`
			Expire *struct {
				Name  string `json:"name"`
				Set   uint32 `json:"set"`
				Stamp int64  `json:"stamp"`
			} `json:"expire"`
		} `json:"entries"`
	}
	if err := json.Unmarshal(raw, &known); err != nil {
		return 0, nil, fmt.Errorf("known: %w", err)
	}
	if known.Pos == nil {
		return 0, nil, fmt.Errorf("known.pos: missing, a number is expected")
	}
	for i, entry := range known.Entries {
		e := Event{Number: entry.Pos}
		if entry.Hosts != nil {
			e.Whole = entry.Hosts.Whole || i == 0
			for j, h := range entry.Hosts.Hosts {
				m := Machine{Cell: h.Block, Size: h.Share, BornUnix: int64(h.Born)}
				at := fmt.Sprintf("known.entries.%d.hosts.hosts.%d.", i, j)
				if m.ID, err = ParseID(h.Host); err != nil {
					return 0, nil, fmt.Errorf("%shost: %w", at, err)
				}
				if m.Addr, err = netip.ParseAddrPort(h.Dial); err != nil {
					return 0, nil, fmt.Errorf("%sdial: %w", at, err)
				}
				if m.Size < 0 || m.Size > mostSize {
					return 0, nil, fmt.Errorf("%sshare: %g is no size", at, m.Size)
				}
				var ok bool
				if m.Zone, ok = position(zones, h.Site); !ok {
					return 0, nil, fmt.Errorf("%ssite: %q is none of the settings' zones", at, h.Site)
				}
				if m.Kind, ok = position(kinds, h.Class); !ok {
					return 0, nil, fmt.Errorf("%sclass: %q is none of the settings' models", at, h.Class)
				}
				switch h.Health {
				case "SERVING":
					m.State = control.Ready
				case "DRAINING":
					m.State = control.Draining
				case "DELETED":
					m.State = control.Gone
				default:
					return 0, nil, fmt.Errorf("%shealth: unknown %q", at, h.Health)
				}
				e.Machines = append(e.Machines, m)
			}
		}
		if entry.Expire != nil {
			p := &Purge{Group: entry.Expire.Set, AtUnix: entry.Expire.Stamp}
			if entry.Expire.Name != "" {
				if p.Obj, err = strconv.ParseUint(entry.Expire.Name, 16, 64); err != nil {
					return 0, nil, fmt.Errorf("known.entries.%d.expire.name: %q is no object", i, entry.Expire.Name)
				}
			}
			e.Purge = p
		}
		events = append(events, e)
	}
	return *known.Pos, events, nil
}

func position(list []string, name string) (int, bool) {
	for i, s := range list {
		if s == name {
			return i, true
		}
	}
	return 0, false
}

// ParseID reads a machine's id as it is written in text.
func ParseID(s string) (uint32, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	id, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("%q is no id", s)
	}
	return uint32(id), nil
}

// FormatID writes it.
func FormatID(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// Gap says that events are missing.
type Gap struct {
	Last, Next uint64
	Empty      bool // an empty frame tells so
}

func (g Gap) Error() string {
	if g.Empty {
		return fmt.Sprintf("feed: the newest event is %d, the last that came %d", g.Next, g.Last)
	}
	return fmt.Sprintf("feed: event %d after %d", g.Next, g.Last)
}
