package main

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExitCodes(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(empty, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("ROUTER_CONFIG", "")
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"", 2, "usage"}, {"--help", 0, "usage"}, {"dance", 2, "usage"}, {"serve twice", 2, "usage"}, {"--loud", 2, "loud"},
		{"version", 0, "indigochute"}, {"serve", 1, "ROUTER_CONFIG"}, {"check", 2, "usage"},
		{"check " + empty, 1, "name: missing"}, {"check " + empty + ".not", 1, "no such file"},
	} {
		var out, errs bytes.Buffer
		if code := run(strings.Fields(c.args), &out, &errs); code != c.code || !strings.Contains(out.String()+errs.String(), c.says) {
			t.Errorf("%q: exit %d, %s%s", c.args, code, &out, &errs)
		}
	}
}

// A reader of the log that hangs must not hold up what is written to it.
func TestLogNeverBlocks(t *testing.T) {
	out, in := io.Pipe()
	l := newLossy(in)
	for range 3 * linesKept {
		l.Write([]byte("line\n"))
	}
	read := bufio.NewScanner(out)
	for read.Scan() && read.Text() == "line" {
	}
	if !strings.HasSuffix(read.Text(), "log lines lost") {
		t.Errorf("%q", read.Text())
	}
}
