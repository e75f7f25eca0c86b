package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
)

// Snapshot is the JSON form of the events that a configuration holds. In this file the fields of each type are in the
// alphabetical order of their keys, since configurations have always been written in that order.
type Snapshot struct {
	Entries []snapshotEvent `json:"entries"`
	Number  *uint64         `json:"pos"` // of the newest event
}

// snapshotEvent is the JSON form of one event.
type snapshotEvent struct {
	Purge     *snapshotPurge     `json:"expire,omitempty"`
	Endpoints *snapshotEndpoints `json:"hosts,omitempty"`
	Number    uint64             `json:"pos"`
}

// snapshotPurge is the JSON form of a purge: of an object or, where Object is empty, of a group.
type snapshotPurge struct {
	Object    string `json:"name"` // hexadecimal
	Group     uint32 `json:"set"`
	StampUnix int64  `json:"stamp"` // Unix millisecond
}

// snapshotEndpoints is the JSON form of a list of endpoints.
type snapshotEndpoints struct {
	Endpoints []snapshotEndpoint `json:"hosts"`
	Sequence  sequence           `json:"seq"`
	Complete  bool               `json:"whole"` // the list is the full snapshot
}

// sequence is a number for the discovery service's own use. Directors write it and ignore it when they read it.
type sequence uint64

// UnmarshalJSON accepts and ignores any value.
func (*sequence) UnmarshalJSON([]byte) error { return nil }

// snapshotEndpoint is the JSON form of one endpoint.
type snapshotEndpoint struct {
	Cell        int     `json:"block"`
	StartedUnix float64 `json:"born_ms"` // Unix millisecond; a fraction is dropped
	Kind        string  `json:"class"`   // name of the tier
	Address     string  `json:"dial"`    // IP address and port
	State       string  `json:"health"`
	ID          string  `json:"host"`  // as FormatID writes it
	Capacity    float64 `json:"share"` // relative capacity, from 0 to maxCapacity
	Zone        string  `json:"site"`  // name of the zone
}

// FieldError is the error for a value of a configuration's events that cannot be used.
type FieldError struct {
	Path string // keys and indices, joined by dots
	Err  error  // why the value cannot be used
}

// Error names the path and the reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason, for errors.Is and errors.As.
func (e *FieldError) Unwrap() error { return e.Err }

// errorAt returns the *FieldError for an error in the value at a path. Where the error already is a *FieldError, its path is
// relative to that value, and the two paths are joined.
func errorAt(path string, err error) error {
	var field *FieldError
	if errors.As(err, &field) {
		path += "." + field.Path
		err = field.Err
	}
	return &FieldError{Path: path, Err: err}
}

// fieldError returns a *FieldError with a formatted reason.
func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Err: fmt.Errorf(format, args...)}
}

// ParseKnown reads the events that a configuration holds, and the number of the newest. Zones and kinds are the names that its settings
// list; Endpoint.Zone and Endpoint.Kind are indices in these lists. Errors are *FieldError.
func ParseKnown(raw json.RawMessage, zones, kinds []string) (last uint64, events []Event, err error) {
	var snapshot Snapshot
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		return 0, nil, &FieldError{Path: "known", Err: err}
	}
	if snapshot.Number == nil {
		return 0, nil, &FieldError{Path: "known.pos", Err: errors.New("missing, a number is expected")}
	}
	for i := range snapshot.Entries {
		event, err := snapshot.Entries[i].event(zones, kinds)
		if err != nil {
			return 0, nil, errorAt(fmt.Sprintf("known.entries.%d", i), err)
		}
		if i == 0 && snapshot.Entries[i].Endpoints != nil {
			event.Complete = true // there is no earlier list that the first could change
		}
		events = append(events, event)
	}
	return *snapshot.Number, events, nil
}

// event converts the JSON form of an event.
func (s *snapshotEvent) event(zones, kinds []string) (event Event, err error) {
	event.Number = s.Number
	if s.Endpoints != nil {
		event.Complete = s.Endpoints.Complete
		if event.Endpoints, err = s.Endpoints.endpoints(zones, kinds); err != nil {
			return event, errorAt("hosts", err)
		}
	}
	if s.Purge != nil {
		if event.Purge, err = s.Purge.purge(); err != nil {
			return event, errorAt("expire", err)
		}
	}
	return event, nil
}

// endpoints converts the JSON form of a list of endpoints; nil where it is empty.
func (s *snapshotEndpoints) endpoints(zones, kinds []string) (endpoints []Endpoint, err error) {
	for i := range s.Endpoints {
		endpoint, err := s.Endpoints[i].endpoint(zones, kinds)
		if err != nil {
			return nil, errorAt(fmt.Sprintf("hosts.%d", i), err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

// endpoint converts the JSON form of an endpoint.
func (s *snapshotEndpoint) endpoint(zones, kinds []string) (endpoint Endpoint, err error) {
	endpoint.Cell = s.Cell
	endpoint.Capacity = s.Capacity
	endpoint.StartedUnix = int64(s.StartedUnix)
	if endpoint.ID, err = ParseID(s.ID); err != nil {
		return endpoint, &FieldError{Path: "host", Err: err}
	}
	if endpoint.Addr, err = netip.ParseAddrPort(s.Address); err != nil {
		return endpoint, &FieldError{Path: "dial", Err: err}
	}
	if endpoint.Capacity < 0 || endpoint.Capacity > maxCapacity {
		return endpoint, fieldError("share", "%g is no size", endpoint.Capacity)
	}
	if endpoint.Zone = slices.Index(zones, s.Zone); endpoint.Zone < 0 {
		return endpoint, fieldError("site", "%q is none of the settings' zones", s.Zone)
	}
	if endpoint.Kind = slices.Index(kinds, s.Kind); endpoint.Kind < 0 {
		return endpoint, fieldError("class", "%q is none of the settings' models", s.Kind)
	}
	var known bool
	if endpoint.State, known = stateOfName(s.State); !known {
		return endpoint, fieldError("health", "unknown %q", s.State)
	}
	return endpoint, nil
}

// purge converts the JSON form of a purge.
func (s *snapshotPurge) purge() (*Purge, error) {
	purge := &Purge{Group: s.Group, StampUnix: s.StampUnix}
	if s.Object == "" {
		return purge, nil
	}
	object, err := strconv.ParseUint(s.Object, 16, 64)
	if err != nil {
		return nil, fieldError("name", "%q is no object", s.Object)
	}
	purge.Object = object
	return purge, nil
}

// NewSnapshot returns the JSON form of a configuration's events where the only one is a full snapshot of endpoints, with this
// number. Zones and kinds are as for Known.
func NewSnapshot(number uint64, endpoints []Endpoint, zones, kinds []string) *Snapshot {
	list := &snapshotEndpoints{Sequence: sequence(number), Complete: true}
	for _, endpoint := range endpoints {
		list.Endpoints = append(list.Endpoints, snapshotEndpoint{
			Cell:        endpoint.Cell,
			StartedUnix: float64(endpoint.StartedUnix),
			Kind:        kinds[endpoint.Kind],
			Address:     endpoint.Addr.String(),
			State:       encodingOf(endpoint.State).name,
			ID:          FormatID(endpoint.ID),
			Capacity:    endpoint.Capacity,
			Zone:        zones[endpoint.Zone],
		})
	}
	return &Snapshot{Number: &number, Entries: []snapshotEvent{{Number: number, Endpoints: list}}}
}
