package main

import (
	"path/filepath"
	"strings"
	"testing"
)

func TestExitCodes(t *testing.T) {
	folder := t.TempDir()
	empty := writeTestFile(t, folder, "config.json", []byte(`{}`))
	missing := filepath.Join(folder, "missing.json")
	t.Setenv("ROUTER_CONFIG", "")
	cases := []struct {
		name string
		args string
		code int
		want string // part of the output
	}{
		{"no command", "", 2, "sage"},
		{"help", "--help", 0, "sage"},
		{"unknown command", "dance", 2, "sage"},
		{"too many arguments", "serve twice", 2, "sage"},
		{"unknown flag", "--loud", 2, "loud"},
		{"version", "version", 0, "indigochute"},
		{"serve without a configuration", "serve", 1, "ROUTER_CONFIG"},
		{"check without a file", "check", 2, "sage"},
		{"check of an empty configuration", "check " + empty, 1, "name: missing"},
		{"check of a missing file", "check " + missing, 1, "no such file"},
		{"hollow without a file", "hollow", 2, "sage"},
		{"hollow of a missing file", "hollow " + missing, 1, "no such file"},
		{"too many real directors", "hollow talk --real 99", 2, "--real must be from 0 to 40"},
		{"size too small", "hollow talk --sizes 1", 2, "--sizes must be from 2 to 580"},
		{"size too large", "hollow talk --sizes 581", 2, "--sizes"},
		{"unknown kind", "hollow talk --kinds gossip", 2, "gossip"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(strings.Fields(test.args)...)
			if code != test.code || !strings.Contains(stdout+stderr, test.want) {
				t.Errorf("%q: got exit code %d, want %d and %q in the output: %s%s", test.args, code, test.code, test.want, stdout, stderr)
			}
		})
	}
}
