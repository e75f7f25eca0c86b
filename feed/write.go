package feed

import (
	"encoding/binary"
	"fmt"

	"indigochute.example/indigochute/control"
)

// The other side of the protocol, for stand-ins of the journal service.

// AppendEvent writes one event as a frame.
func AppendEvent(b []byte, e *Event) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, e.Number)
	switch {
	case e.Machines != nil:
		kind := byte(2)
		if e.Whole {
			kind = 1
		}
		b = append(b, kind)
		for _, m := range e.Machines {
			b = binary.BigEndian.AppendUint32(b, m.ID)
			b = append(b, m.Addr.Addr().AsSlice()...)
			b = binary.BigEndian.AppendUint16(b, m.Addr.Port())
			b = append(b, states[m.State], byte(m.Zone), byte(m.Kind))
			b = binary.BigEndian.AppendUint16(b, uint16(m.Cell))
			b = binary.BigEndian.AppendUint32(b, uint32(m.Size*1000))
			b = binary.BigEndian.AppendUint64(b, uint64(m.BornUnix))
		}
	case e.Purge != nil && e.Purge.Obj != 0:
		b = append(b, 3)
		b = binary.BigEndian.AppendUint64(b, e.Purge.Obj)
		b = binary.BigEndian.AppendUint64(b, uint64(e.Purge.AtUnix))
	case e.Purge != nil:
		b = append(b, 4)
		b = binary.BigEndian.AppendUint16(b, uint16(e.Purge.Group))
		b = binary.BigEndian.AppendUint64(b, uint64(e.Purge.AtUnix))
	default:
		b = append(b, 0)
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

var (
	states = map[control.State]byte{control.Ready: 0, control.Draining: 1, control.Gone: 2}
	health = map[control.State]string{control.Ready: "SERVING", control.Draining: "DRAINING", control.Gone: "DELETED"}
)

// KnownJSON is a whole list of machines as the configuration holds it, the one event so far. Zones and kinds are the
// names that the settings list.
func KnownJSON(number uint64, machines []Machine, zones, kinds []string) map[string]any {
	var hosts []map[string]any
	for _, m := range machines {
		hosts = append(hosts, map[string]any{"host": FormatID(m.ID), "dial": m.Addr.String(), "site": zones[m.Zone], "class": kinds[m.Kind],
			"block": m.Cell, "health": health[m.State], "share": m.Size, "born_ms": m.BornUnix})
	}
	return map[string]any{"pos": number, "entries": []any{map[string]any{"pos": number,
		"hosts": map[string]any{"seq": number, "whole": true, "hosts": hosts}}}}
}

// ReadHello reads what a connection starts with: the last number held.
func ReadHello(b []byte) (uint64, error) {
	if len(b) != 8 {
		return 0, fmt.Errorf("feed: a hello of %d bytes", len(b))
	}
	return binary.BigEndian.Uint64(b), nil
}
