package clusterconfig

// The keys of an operator file that apply only to an installation with control machines, and their bounds.

import (
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// MaxDirectors is the maximum number of directors in a file.
const MaxDirectors = 1024

// Bounds and defaults of Uplink. Rates are in bytes a second.
const (
	minUplinkRate       = topology.Rate(4e3)
	maxUplinkRate       = topology.Rate(1e6)
	defaultUplinkRate   = topology.Rate(16e3)
	minUplinkSpread     = topology.Duration(100 * time.Millisecond)
	maxUplinkSpread     = topology.Duration(time.Minute)
	defaultUplinkSpread = topology.Duration(800 * time.Millisecond)
)

// Bounds and defaults of event jobs.
const (
	minEventBytes        = 24 // the payload begins with the time, the number of the run and the fencing token, eight bytes each
	maxEventBytes        = 60000
	maxEventLifetime     = topology.Duration(24 * time.Hour)
	defaultEventLifetime = topology.Duration(10 * time.Minute)
)

// ControlEntry is one control machine. A replacement machine may take over its name at another address.
type ControlEntry struct {
	Name    string `yaml:"name" validate:"required" jsonschema:"required,description=the name in its configuration"`
	Address string `yaml:"address" validate:"required" jsonschema:"required,description=where it listens for the other control machines and for directors"`
	Region  string `yaml:"region" validate:"required" jsonschema:"required,description=where it stands"`
	Zone    string `yaml:"zone" validate:"required" jsonschema:"required,description=of one region"`
	Site    string `yaml:"site" validate:"required" jsonschema:"required,description=of one zone"`
}

// DirectorEntry is one director that follows the control machines.
type DirectorEntry struct {
	Name    string `yaml:"name" validate:"required" jsonschema:"required,description=the director's name in its configuration"`
	Address string `yaml:"address" jsonschema:"description=where it listens to be asked for its status; empty: nowhere"`
	Region  string `yaml:"region" validate:"required" jsonschema:"required,description=where it stands"`
	Zone    string `yaml:"zone" validate:"required" jsonschema:"required,description=of one region"`
	Site    string `yaml:"site" validate:"required" jsonschema:"required,description=of one zone"`
}

// Uplink has the settings of the links between directors and control machines.
type Uplink struct {
	Rate   topology.Rate     `yaml:"rate" jsonschema:"description=bytes a second that a control machine writes to one director at most; 4KB/s to 1MB/s; default 16KB/s"`
	Spread topology.Duration `yaml:"spread" jsonschema:"description=over which directors spread their dials when a control machine is lost; 100ms to 60s; default 800ms"`
}
