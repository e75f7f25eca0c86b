// Package config reads and checks configuration and applies the defaults, for directors and for the simulator's adapter. No other
// package does so.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// Environment variables.
const (
	envFile   = "ROUTER_CONFIG" // path of the configuration file
	envName   = "ROUTER_NAME"   // overrides the file's name
	envListen = "ROUTER_LISTEN" // overrides the file's listen
)

// Config is the checked configuration of one director.
type Config struct {
	Name          string
	FileIdentity  string // name and listen as in the file, without overrides
	Listen        netip.AddrPort
	DiscoveryAddr netip.AddrPort    // address of the discovery service
	Cores         float64           // processor cores that the director may use
	MemoryMB      int               // memory that the director may use
	Sockets       int               // most sockets that may be open
	LastEvent     uint64            // number of the last event in Known
	Known         []discovery.Event // the snapshot of discovery that the director starts with
	ClassNames    []string          // names, in the order of Settings.Classes
	Zones         []string          // names; Settings.Zone is the index of the director's own zone

	DialTimeout     time.Duration // for connecting to a node
	IdleTimeout     time.Duration // time after which nodes close an idle connection
	MaxStreams      int           // most requests in flight on one connection
	MaxOpenRequests int           // most clients' requests in flight
	DrainGrace      time.Duration // time after a drain event in which the node may still get new requests; 0: not stated
	PurgeGrace      time.Duration // time after a purge event in which older copies may still be served; 0: not stated
	TransferRate    float64       // peak rate of one response, in bytes per second; 0: not stated

	Settings routing.Settings
}

// Defaults for settings that a file may leave out.
const (
	defaultDialTimeout     = 400 * time.Millisecond
	defaultIdleTimeout     = 30 * time.Second
	defaultMaxStreams      = 32
	defaultMaxOpenRequests = 20000
)

// maxAttempts is the largest value of limits.sendCap, the most attempts of one request.
const maxAttempts = 64

// FromEnv reads the file that ROUTER_CONFIG names. ROUTER_NAME and ROUTER_LISTEN, where set, override the file's values.
func FromEnv() (*Config, error) {
	path := os.Getenv(envFile)
	if path == "" {
		return nil, errors.New(envFile + ": missing, the path of the configuration file is expected")
	}
	return ParseFile(path, os.Getenv(envName), os.Getenv(envListen))
}

// ParseFile reads a configuration file. Name and listen override the file's values, unless empty. The error for a file that cannot be
// read is an *fs.PathError; Parse documents the others.
func ParseFile(path, name, listen string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw, name, listen)
}

// sections are the parts of a configuration that are parsed separately.
type sections struct {
	Settings json.RawMessage `json:"settings"`
	Known    json.RawMessage `json:"known"`
}

// Parse reads a configuration from its JSON. Name and listen override the file's values, unless empty. The error for a faulty value
// begins with its key. It is a *KeyError for the director's own values and for the settings, and a *discovery.FieldError for the known
// events.
func Parse(raw []byte, name, listen string) (*Config, error) {
	var parts sections
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	top, err := flatten(raw)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	c, seed := newConfig(top, name, listen)
	if len(parts.Settings) == 0 {
		top.fail("settings", "missing, an object is expected")
	}
	if len(parts.Known) == 0 {
		top.fail("known", "missing, the journal service's events are expected")
	}
	if top.err != nil {
		return nil, top.err
	}
	if err := c.parseSettings(parts.Settings, seed); err != nil {
		return nil, err
	}
	if err := c.parseKnown(parts); err != nil {
		return nil, err
	}
	return c, nil
}

// newConfig reads the values outside the settings and the known events, and the seed. The first fault is in top.err.
func newConfig(top *values, name, listen string) (c *Config, seed uint64) {
	fileIdentity := top.text("name") + " at " + top.text("listen")
	if name != "" {
		top.byPath["name"] = name
	}
	if listen != "" {
		top.byPath["listen"] = listen
	}
	c = &Config{
		Name:          top.required("name", "the director's name"),
		FileIdentity:  fileIdentity,
		Listen:        top.address("listen"),
		DiscoveryAddr: top.address("journal"),
		Cores:         top.positive("limits.cores"),
		MemoryMB:      int(top.positive("limits.memory_mb")),
		Sockets:       int(top.positive("limits.sockets")),
	}
	if top.has("flow_bytes_per_s") {
		c.TransferRate = top.positive("flow_bytes_per_s")
	}
	seed, err := strconv.ParseUint(top.required("seed", "16 hex digits"), 16, 64)
	if err != nil {
		top.fail("seed", "%q is not 16 hex digits", top.text("seed"))
	}
	return c, seed
}

// parseSettings reads the settings. It returns a *KeyError for the first that is faulty or that a director needs and is missing.
func (c *Config) parseSettings(raw json.RawMessage, seed uint64) error {
	settings, err := flatten(raw)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	settings.prefix = "settings."
	checkRequired(settings)
	for index := range settings.classes() {
		c.ClassNames = append(c.ClassNames, settings.text(classPath(index)+"name"))
	}
	c.DialTimeout = positiveOr(settings.duration("limits.dialTimeout"), defaultDialTimeout)
	c.IdleTimeout = positiveOr(settings.duration("limits.connIdle"), defaultIdleTimeout)
	c.MaxStreams = positiveOr(settings.integer("limits.maxStreams"), defaultMaxStreams)
	c.MaxOpenRequests = positiveOr(settings.integer("limits.maxOpen"), defaultMaxOpenRequests)
	c.DrainGrace = max(0, settings.duration("rules.drainGrace"))
	c.PurgeGrace = max(0, settings.duration("domain.heedWithin"))
	c.Settings = newSettings(settings)
	c.Settings.Seed = seed
	return settings.err
}

// positiveOr returns the value where it is above 0, otherwise the default.
func positiveOr[T int | time.Duration](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

// checkRequired checks that the settings that a director needs are present. The simulator may leave them out, so newSettings does
// not check this.
func checkRequired(settings *values) {
	settings.positive("classes.count")
	if settings.classes() == 0 {
		settings.fail("classes.count", "one class is expected at least")
	}
	for index := range settings.classes() {
		checkClass(settings, classPath(index))
	}
	for _, key := range []string{"rules.fallMultiple", "rules.tipAfter", "rules.rampTime", "limits.sendCap", "instances"} {
		settings.positive(key)
	}
	if attempts := settings.integer("limits.sendCap"); attempts > maxAttempts {
		settings.fail("limits.sendCap", "%d is over %d", attempts, maxAttempts)
	}
	settings.required("zone", "the director's place in zones")
	settings.required("zones", "a list of names")
	settings.required("models", "a list of names")
}

// checkClass checks that the values that a class needs are present. Path is its classPath.
func checkClass(settings *values, path string) {
	settings.required(path+"name", "the vhost's name")
	settings.positive(path + "aim")
	settings.positive(path + "deadline")
	switch effect := settings.required(path+"idempotency", "what a repeat does"); effect {
	case idempotent, idempotentWithKey, nonIdempotent:
	default:
		settings.fail(path+"idempotency", "unknown %q", effect)
	}
}

// parseKnown reads the names of the zones and the snapshot of discovery. It reads the names of zones and tiers from the JSON, not
// from the flat table, which has replaced the commas in them.
func (c *Config) parseKnown(parts sections) error {
	var names struct {
		Zones  []string
		Models []string // names of the tiers
	}
	if err := json.Unmarshal(parts.Settings, &names); err != nil {
		return fmt.Errorf("settings.zones, settings.models: %w", err)
	}
	c.Zones = names.Zones
	var err error
	c.LastEvent, c.Known, err = discovery.ParseKnown(parts.Known, names.Zones, names.Models)
	return err
}
