package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestFilesThatCannotBeRead: a path that cannot be read is an error that names the path and wraps the cause.
func TestFilesThatCannotBeRead(t *testing.T) {
	folder := t.TempDir()
	unreadable := filepath.Join(folder, "config.json")
	if err := os.Symlink("/proc/self/mem", unreadable); err != nil { // its first bytes are not mapped: EIO
		t.Fatal(err)
	}
	cases := []struct {
		name string
		path string
		want error
	}{
		{"EIO", unreadable, syscall.EIO},
		{"folder", folder, syscall.EISDIR},
		{"missing", filepath.Join(folder, "missing.json"), os.ErrNotExist},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			config, err := ParseFile(test.path, "", "")
			if !errors.Is(err, test.want) || config != nil || !strings.Contains(err.Error(), test.path) {
				t.Errorf("configuration %v, error %v, want none and %v", config, err, test.want)
			}
		})
	}
}

// TestTruncatedFiles: a file that ends at any byte before its last, or has zeros from there on, is an error. The complete file is
// read.
func TestTruncatedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for cut := range completeJSON {
		for _, tail := range []string{"", "\x00\x00\x00\x00"} { // zeros: a power failure may leave them after the bytes written
			if err := os.WriteFile(path, []byte(completeJSON[:cut]+tail), 0o600); err != nil {
				t.Fatal(err)
			}
			if config, err := ParseFile(path, "", ""); err == nil || config != nil {
				t.Fatalf("cut at %d of %d, tail %q: accepted", cut, len(completeJSON), tail)
			}
		}
	}
	if err := os.WriteFile(path, []byte(completeJSON), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ParseFile(path, "", ""); err != nil {
		t.Errorf("the complete file: %v", err)
	}
}
