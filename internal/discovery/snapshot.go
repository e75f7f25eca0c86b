package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
)

// Snapshot is the JSON form of the events in a configuration. In this file the fields of each type are in the alphabetical order of
// their keys, since configurations have always been written in that order.
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

// snapshotPurge is the JSON form of a purge of an object or, if Object is empty, of a group.
type snapshotPurge struct {
	Object    string `json:"name"` // hexadecimal
	Group     uint32 `json:"set"`
	StampUnix int64  `json:"stamp"` // Unix milliseconds
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
	StartedUnix float64 `json:"born_ms"` // Unix milliseconds; a fraction is dropped
	Kind        string  `json:"class"`   // name of the tier
	Address     string  `json:"dial"`    // IP address and port
	State       string  `json:"health"`
	ID          string  `json:"host"`  // as FormatID writes it
	Capacity    float64 `json:"share"` // relative capacity, from 0 to maxCapacity
	Zone        string  `json:"site"`  // name of the zone
}

// FieldError is the error for an invalid value in the events of a configuration.
type FieldError struct {
	Path string // keys and indexes, joined by dots
	Err  error  // why the value is invalid
}

// Error states the path and the reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason, for errors.Is and errors.As.
func (e *FieldError) Unwrap() error { return e.Err }

// errorAt returns the *FieldError for an error in the value at a path. If the error already is a *FieldError, its path is relative to
// that value, and errorAt joins the two paths.
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

// ParseKnown parses the events in a configuration, and returns them with the number of the newest event. zones and kinds are the names in
// the configuration's settings; Endpoint.Zone and Endpoint.Kind are indexes into these lists. Errors are of type *FieldError.
func ParseKnown(raw json.RawMessage, zones, kinds []string) (last uint64, events []Event, err error) {
	var snapshot Snapshot
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		return 0, nil, &FieldError{Path: "known", Err: err}
	}
	if snapshot.Number == nil {
		return 0, nil, &FieldError{Path: "known.pos", Err: errors.New("missing, expected a number")}
	}
	for i := range snapshot.Entries {
		event, err := snapshot.Entries[i].event(zones, kinds)
		if err != nil {
			return 0, nil, errorAt(fmt.Sprintf("known.entries.%d", i), err)
		}
		if i == 0 && snapshot.Entries[i].Endpoints != nil {
			event.Complete = true // the first event cannot be a change, since there is no earlier list
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

// endpoints converts the JSON form of a list of endpoints. It returns nil for an empty list.
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
		return endpoint, fieldError("share", "%g is out of range for a relative capacity", endpoint.Capacity)
	}
	if endpoint.Zone = slices.Index(zones, s.Zone); endpoint.Zone < 0 {
		return endpoint, fieldError("site", "%q is not one of the settings' zones", s.Zone)
	}
	if endpoint.Kind = slices.Index(kinds, s.Kind); endpoint.Kind < 0 {
		return endpoint, fieldError("class", "%q is not one of the settings' models", s.Kind)
	}
	var known bool
	if endpoint.State, known = stateOfName(s.State); !known {
		return endpoint, fieldError("health", "unknown state %q, expected SERVING, DRAINING or DELETED", s.State)
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
		return nil, fieldError("name", "%q is not an object id in hexadecimal", s.Object)
	}
	purge.Object = object
	return purge, nil
}

// NewSnapshot returns the JSON form of a configuration's events with a single event, which is a full snapshot of endpoints with the given
// number. zones and kinds are as in Known.
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
