package compat

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files with the output of the current build")

// golden compares bytes with a golden file under testdata.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := readGolden(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs: %s", path, firstDifference(got, want))
	}
}

// readGolden returns the content of a golden file under testdata.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// firstDifference describes the first difference of two byte strings: its offset, and the bytes around it.
func firstDifference(got, want []byte) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	near := func(b []byte) []byte { return b[max(0, at-20):min(len(b), at+40)] }
	return fmt.Sprintf("first difference at byte %d: got %d bytes, want %d; got %q, want %q there", at, len(got), len(want), near(got),
		near(want))
}

// encoding is one value and its encoded bytes. The function parse reads such bytes. It returns the value, and the bytes of that value when
// it is encoded again. It is nil for encodings that the project only writes.
type encoding struct {
	name  string
	value any
	bytes []byte
	parse func(raw []byte) (value any, reencoded []byte, err error)
}

// goldenEncodings compares encodings with a golden file. Each line of the file has a name and bytes in hexadecimal. Each value must be
// encoded as the golden bytes. The golden bytes must be read as the value, and encoding that value again must return the same bytes.
func goldenEncodings(t *testing.T, file string, encodings []encoding) {
	t.Helper()
	var text bytes.Buffer
	for _, e := range encodings {
		fmt.Fprintf(&text, "%s %x\n", e.name, e.bytes)
	}
	golden(t, file, text.Bytes())
	lines := strings.Split(strings.TrimSpace(string(readGolden(t, file))), "\n")
	if len(lines) != len(encodings) {
		t.Fatalf("%s: %d lines, want %d", file, len(lines), len(encodings))
	}
	for i, e := range encodings {
		t.Run(e.name, func(t *testing.T) {
			name, digits, _ := strings.Cut(lines[i], " ")
			raw, err := hex.DecodeString(digits)
			if err != nil || name != e.name {
				t.Fatalf("%s: line %d is named %q, error %v, want the name of the encoding and hexadecimal digits", file, i+1, name, err)
			}
			if !bytes.Equal(e.bytes, raw) {
				t.Errorf("encoded: %s", firstDifference(e.bytes, raw))
			}
			if e.parse == nil {
				return
			}
			value, reencoded, err := e.parse(raw)
			if err != nil {
				t.Fatalf("the golden bytes cannot be read: %v", err)
			}
			if !reflect.DeepEqual(value, e.value) {
				t.Errorf("the golden bytes are read as\n%+v, want\n%+v", value, e.value)
			}
			if !bytes.Equal(reencoded, raw) {
				t.Errorf("the golden bytes, read and encoded again: %s", firstDifference(reencoded, raw))
			}
		})
	}
}
