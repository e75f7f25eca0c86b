package lease

import (
	"fmt"
	"slices"
	"time"
)

// Duty is one periodic job. Only the instance that holds the lease of the job runs it.
type Duty struct {
	Name    string
	Period  time.Duration // from the start of one run to the start of the next
	Jitter  time.Duration // a random time from 0 to below Jitter is added to each period
	Timeout time.Duration // maximum duration of one run; at most the period
	CatchUp bool          // an instance that gets the lease begins a missed run at once; if false, missed runs are skipped
}

// Config is the configuration of one instance. Only Name, Seed and StartUnixMilli differ between the instances of an
// installation. While Lease and Heartbeat are being lengthened by restarts in turn, they may differ as well.
type Config struct {
	Name      string        // name of this instance
	Members   []string      // names of all instances, this one included
	Lease     time.Duration // duration of leadership, and the maximum duration of the lease of a job
	Heartbeat time.Duration // interval between renewals; at most a third of Lease
	Drift     float64       // every clock runs at 1-Drift to 1+Drift of real time; from 0 to below 0.5
	Duties    []Duty
	// Seed is a random number that differs at each start of the process. The sequence numbers of requests start from a hash of
	// it. Otherwise a late response to a request of an earlier incarnation could match a request of this one. The wall clock is
	// unsuitable for this, as it may have been set back.
	Seed uint64
	// StartUnixMilli is the wall clock at the start, in Unix milliseconds. Terms start from it. The wall clock may have been
	// stepped. Therefore the instance requests the highest known term from the others in its quiet period, before it votes or
	// campaigns. This fails if all instances that know the highest term restart at once, or if none of them can be reached in
	// the quiet period. Fencing tokens still rise then, unless the wall clocks were set back by more than the quiet period.
	StartUnixMilli uint64
}

// Bounds of an installation.
const (
	MaxInstances = 64
	MaxDuties    = 20000
	MaxNameBytes = 64 // of the name of an instance or a job
)

const (
	driftLimit          = 0.5 // exclusive upper bound of Config.Drift
	minRenewalsPerLease = 3   // a lease survives the loss of two renewals in a row
)

// ConfigError reports an invalid setting of a Config or a Duty.
type ConfigError struct {
	Setting string // name of the field of Config or Duty
	Problem string // the invalid value and the values that are accepted
}

// Error returns the problem.
func (e *ConfigError) Error() string { return e.Problem }

// configError returns a *ConfigError with a formatted problem.
func configError(setting, format string, values ...any) error {
	return &ConfigError{Setting: setting, Problem: fmt.Sprintf(format, values...)}
}

// Check returns a *ConfigError for the first invalid setting, or nil if there is none.
func (config *Config) Check() error {
	switch {
	case !slices.Contains(config.Members, config.Name):
		return configError("Name", "instance %q is not among the members %v", config.Name, config.Members)
	case len(config.Members) > MaxInstances:
		return configError("Members", "%d instances exceed the limit of %d", len(config.Members), MaxInstances)
	case config.Lease <= 0 || config.Heartbeat <= 0 || config.Heartbeat > config.Lease/minRenewalsPerLease:
		return configError("Lease", "lease %v, heartbeat %v: both must be above 0, and the heartbeat at most a third of the lease",
			config.Lease, config.Heartbeat)
	case config.Drift < 0 || config.Drift >= driftLimit:
		return configError("Drift", "drift %g: must be at least 0 and below %g", config.Drift, driftLimit)
	}
	seen := map[string]bool{}
	for _, name := range config.Members {
		switch {
		case seen[name]:
			return configError("Members", "two instances are named %q", name)
		case !isValidName(name):
			return configError("Members", "instance name %q: must have 1 to %d bytes", name, MaxNameBytes)
		}
		seen[name] = true
	}
	return CheckDuties(config.Duties)
}

// CheckDuties returns a *ConfigError for the first invalid setting in a list of jobs, or nil if there is none.
func CheckDuties(list []Duty) error {
	if len(list) > MaxDuties {
		return configError("Duties", "%d duties exceed the limit of %d", len(list), MaxDuties)
	}
	seen := map[string]bool{}
	for _, duty := range list {
		switch {
		case seen[duty.Name]:
			return configError("Name", "two duties are named %q", duty.Name)
		case !isValidName(duty.Name):
			return configError("Name", "duty name %q: must have 1 to %d bytes", duty.Name, MaxNameBytes)
		case duty.Timeout <= 0 || duty.Period < duty.Timeout:
			return configError("Timeout", "duty %s: period %v, timeout %v: the timeout must be above 0 and at most the period",
				duty.Name, duty.Period, duty.Timeout)
		case duty.Jitter < 0:
			return configError("Jitter", "duty %s: jitter %v: must not be negative", duty.Name, duty.Jitter)
		}
		seen[duty.Name] = true
	}
	return nil
}

// isValidName reports whether name is valid for an instance or a job.
func isValidName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// longestSpan returns how long an instance must wait by its own clock to be certain that span has passed by the clock of any
// other instance. The two clocks may drift in opposite directions.
func (config *Config) longestSpan(span time.Duration) time.Duration {
	return time.Duration(float64(span)*(1+config.Drift)/(1-config.Drift)) + 1 // rounded up
}

// shortestSpan returns how long, by its own clock, an instance may use a lease that lasts for span by the clock of another
// instance. The two clocks may drift in opposite directions.
func (config *Config) shortestSpan(span time.Duration) time.Duration {
	return time.Duration(float64(span) * (1 - config.Drift) / (1 + config.Drift))
}
