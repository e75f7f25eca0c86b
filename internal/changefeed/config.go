package changefeed

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Config is the configuration of the node of one control machine.
type Config struct {
	Name    string   // name of this control machine
	Origins []string // names of all control machines, including Name
	Epoch   uint64   // first epoch, above 0; the node raises it above those that others report for its earlier incarnations
	// LearnPeriod is the time after the first Tick in which the node only collects reports of the epochs of its earlier
	// incarnations. With 0 there is no such period. Events that the node publishes in this time are sent to others only after it.
	// This guards against an epoch from a wall clock that was set back: such an epoch may not be above that of an earlier
	// incarnation.
	LearnPeriod     time.Duration
	CompareInterval time.Duration // interval between reports of positions to the other control machines; 0 means 500 ms
	MaxEntries      int           // maximum number of events in the log; 0 means 65,536
	MaxBytes        int           // maximum size of the log, counted as key, payload and 256 bytes for each event; 0 means 16 MiB
}

// Defaults of a configuration.
const (
	defaultCompareInterval = 500 * time.Millisecond
	defaultEntries         = 65536
	defaultBytes           = 16 << 20
)

// minMaxBytes is the minimum of Config.MaxBytes. It has room for the largest event.
const minMaxBytes = MaxPayloadBytes + MaxKeyBytes + entryOverheadBytes

// DefaultLearnPeriod is the value of Config.LearnPeriod for an epoch that comes from a wall clock. It spans several position reports
// from each of the others, and is longer than a message of the earlier incarnation can be in transit.
const DefaultLearnPeriod = 3 * defaultCompareInterval

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field   string // name of the field of Config
	Problem string // the invalid value and the values that are accepted
}

// Error returns the problem.
func (e *ConfigError) Error() string { return e.Problem }

// configError returns a *ConfigError with a formatted problem.
func configError(field, format string, args ...any) error {
	return &ConfigError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// withDefaults returns the configuration with zero values replaced by the defaults.
func (c Config) withDefaults() Config {
	c.CompareInterval = cmp.Or(c.CompareInterval, defaultCompareInterval)
	c.MaxEntries = cmp.Or(c.MaxEntries, defaultEntries)
	c.MaxBytes = cmp.Or(c.MaxBytes, defaultBytes)
	return c
}

// Check returns a *ConfigError for the first invalid field, or nil if there is none.
func (c *Config) Check() error {
	full := c.withDefaults()
	switch {
	case !slices.Contains(c.Origins, c.Name):
		return configError("Name", "control machine %q is not in the list of control machines %v", c.Name, c.Origins)
	case c.Epoch == 0:
		return configError("Epoch", "epoch is 0, must be above 0")
	case full.LearnPeriod < 0:
		return configError("LearnPeriod", "learn period is %v, must be 0 or more", full.LearnPeriod)
	case full.CompareInterval < 0:
		return configError("CompareInterval", "compare interval is %v, must be above 0", full.CompareInterval)
	case full.MaxEntries < 1:
		return configError("MaxEntries", "maximum number of events is %d, must be at least 1", full.MaxEntries)
	case full.MaxBytes < minMaxBytes:
		return configError("MaxBytes", "maximum log size is %d bytes, must be at least %d", full.MaxBytes, minMaxBytes)
	}
	return checkOrigins(c.Origins)
}

// checkOrigins returns a *ConfigError if there are too many names, or for the first name that is empty, too long or listed twice.
func checkOrigins(names []string) error {
	if len(names) > MaxOrigins {
		return configError("Origins", "%d control machines are listed, must be at most %d", len(names), MaxOrigins)
	}
	seen := map[string]bool{}
	for _, name := range names {
		switch {
		case seen[name]:
			return configError("Origins", "control machine %q is listed twice", name)
		case name == "" || len(name) > MaxNameBytes:
			return configError("Origins", "name of control machine %q must have 1 to %d bytes", name, MaxNameBytes)
		}
		seen[name] = true
	}
	return nil
}
