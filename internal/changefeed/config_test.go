package changefeed

import (
	"fmt"
	"strings"
	"testing"
)

func TestConfigCheck(t *testing.T) {
	valid := testConfig("a", 1)
	if err := valid.Check(); err != nil {
		t.Errorf("valid configuration: got %v, want no error", err)
	}
	tooMany := []string{"a"}
	for i := range MaxOrigins {
		tooMany = append(tooMany, fmt.Sprint("m", i))
	}
	longName := strings.Repeat("x", MaxNameBytes+1)
	for _, test := range []struct {
		name        string
		modify      func(config *Config)
		wantProblem string
	}{
		{"unknown name", func(config *Config) { config.Name = "d" }, "is not in the list"},
		{"no epoch", func(config *Config) { config.Epoch = 0 }, "epoch is 0,"},
		{"negative interval", func(config *Config) { config.CompareInterval = -1 }, "compare interval is"},
		{"negative learn period", func(config *Config) { config.LearnPeriod = -1 }, "learn period is"},
		{"negative entries", func(config *Config) { config.MaxEntries = -1 }, "events is -1, must be at least 1"},
		{"bytes of one payload", func(config *Config) { config.MaxBytes = MaxPayloadBytes }, "maximum log size is"},
		{"duplicate origin", func(config *Config) { config.Origins = []string{"a", "b", "b"} }, "\"b\" is listed twice"},
		{"empty origin", func(config *Config) { config.Origins = []string{"a", ""} }, `control machine ""`},
		{"long origin", func(config *Config) { config.Origins = []string{"a", longName} }, "1 to 64 bytes"},
		{"too many origins", func(config *Config) { config.Origins = tooMany }, "33 control"},
		{"bytes below the largest event", func(config *Config) { config.MaxBytes = minMaxBytes - 1 }, "at least 65920"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := valid
			test.modify(&config)
			if err := config.Check(); err == nil || !strings.Contains(err.Error(), test.wantProblem) {
				t.Errorf("got %v, want an error with %q", err, test.wantProblem)
			}
		})
	}
}
