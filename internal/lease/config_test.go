package lease

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestConfigCheck(t *testing.T) {
	valid := Config{
		Name:      "a",
		Members:   []string{"a", "b", "c"},
		Lease:     time.Second,
		Heartbeat: 200 * time.Millisecond,
		Duties:    []Duty{{Name: "x", Period: time.Second, Timeout: time.Second}},
	}
	if err := valid.Check(); err != nil {
		t.Errorf("valid configuration: got %v, want no error", err)
	}
	for _, test := range []struct {
		name        string
		invalidate  func(config *Config)
		wantSetting string
		wantProblem string
	}{
		{
			name:        "unknown name",
			invalidate:  func(config *Config) { config.Name = "z" },
			wantSetting: "Name",
			wantProblem: "not among",
		},
		{
			name:        "an instance twice",
			invalidate:  func(config *Config) { config.Members = []string{"a", "b", "b"} },
			wantSetting: "Members",
			wantProblem: "two instances",
		},
		{
			name:        "a job twice",
			invalidate:  func(config *Config) { config.Duties = append(config.Duties, config.Duties[0]) },
			wantSetting: "Name",
			wantProblem: "two duties",
		},
		{
			name: "timeout longer than period",
			invalidate: func(config *Config) {
				config.Duties = []Duty{{Name: "x", Period: time.Second, Timeout: 2 * time.Second}}
			},
			wantSetting: "Timeout",
			wantProblem: "at most the period",
		},
		{
			name:        "heartbeat interval as long as the lease",
			invalidate:  func(config *Config) { config.Heartbeat = time.Second },
			wantSetting: "Lease",
			wantProblem: "at most a third",
		},
		{
			name:        "drift of nine tenths",
			invalidate:  func(config *Config) { config.Drift = 0.9 },
			wantSetting: "Drift",
			wantProblem: "drift 0.9",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := valid
			test.invalidate(&config)
			err := config.Check()
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Setting != test.wantSetting || !strings.Contains(err.Error(), test.wantProblem) {
				t.Errorf("got %v, want an error of %s with %q", err, test.wantSetting, test.wantProblem)
			}
		})
	}
}
