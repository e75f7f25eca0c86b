package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExitCodes(t *testing.T) {
	folder := t.TempDir()
	empty := filepath.Join(folder, "config.json")
	missing := filepath.Join(folder, "missing.json")
	if err := os.WriteFile(empty, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
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
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(strings.Fields(test.args), &stdout, &stderr)
			if printed := stdout.String() + stderr.String(); code != test.code || !strings.Contains(printed, test.want) {
				t.Errorf("%q: got exit code %d, want %d and %q in the output: %s", test.args, code, test.code, test.want, printed)
			}
		})
	}
}
