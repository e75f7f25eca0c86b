package topology

import (
	"path/filepath"
	"strings"
	"testing"
)

// TestParseReportsAllFaults parses files with many faults. Parse must report all of them at once, each with its line, its key,
// the value found and the value expected. Violated tags and wrong names are reported only if all types are correct.
func TestParseReportsAllFaults(t *testing.T) {
	text := replaceEach(t, exampleText(t), map[string]string{
		"link: 1.5MB/s ":    "link: 1.5MB ",
		"cores: 2":          "cores: two",
		"slots: 24 ":        "slot: 24 ",
		"effect: uniqued":   "effect: once",
		"number: {west: 4}": "number: {north: 4}",
		"aim: 600ms":        "aim: 600",
		"floor: 20%":        "floor: 120%",
		"zone: west":        "zone: south",
	})
	_, err := Parse("f.yaml", []byte(text))
	checkErrorHas(t, err,
		`f.yaml:7: zones[0].link: found "1.5MB", expected bytes a second`,
		"f.yaml:12: kinds[0].cores: found «two», expected a whole number",
		"f.yaml:15: kinds[0].slot: found an unknown key, expected one of",
		`vhosts[1].aim: found "600", expected a time`,
		`parentCold.floor: found "120%", expected a share`)

	text = replaceEach(t, exampleText(t), map[string]string{
		"effect: uniqued":   "effect: once",
		"number: {west: 4}": "number: {north: 4}",
		"zone: west":        "zone: south",
		"timeout: 3s":       "timeout: 3ms",
		"name: segment":     "name: page",
		"least: 2KB":        "least: 20KB",
	})
	_, err = Parse("f.yaml", []byte(text))
	checkErrorHas(t, err,
		"vhosts[2].effect: found «once», expected one of replayable uniqued",
		"kinds[0].number.north: found an unknown zone",
		"parents[0].zone: found «south»",
		"vhosts[1].timeout: found «3ms», expected no less than aim",
		"vhosts[0].sizes.most: found «16KB», expected no less than least",
		"vhosts[1].name: found «page» a second time",
		"zones[0]: found zone west with directors but without caches")
}

// TestDecoderErrorsUsePublishedNames parses values that the check of types accepts but the decoder rejects. The error must
// name the field by its published name and not by its Go name.
func TestDecoderErrorsUsePublishedNames(t *testing.T) {
	anchored := replaceEach(t, exampleText(t), map[string]string{
		"flow: 200KB/s":       "flow: &rate 200KB/s",
		"demand: {share: 80%": "demand: &demand {share: 80%",
	})
	for _, test := range []struct{ name, from, to, wantErr string }{
		{
			name: "request class", from: "write: true", to: "write: 1",
			wantErr: "f.yaml:48: cannot unmarshal uint64 into Go struct field Fleet.Vhosts of type bool",
		},
		{
			name: "slow start", from: "15%, ramp: 8s, multiple: 3", to: "15%, multiple: *rate",
			wantErr: "cannot unmarshal string into Go struct field Fleet.Cold of type float64",
		},
		{
			name: "slow start of parents", from: "20%, ramp: 8s, multiple: 3", to: "20%, multiple: *rate",
			wantErr: "cannot unmarshal string into Go struct field Fleet.ParentCold of type float64",
		},
		{
			name: "list delay", from: "clients: ", to: "news: *demand\nclients: ",
			wantErr: "cannot unmarshal map[string]interface {} into Go struct field Fleet.News of type string",
		},
		{
			name: "directors", from: "name: small", to: "name: small\ndirectors: {cancel: 1}",
			wantErr: "f.yaml:4: cannot unmarshal uint64 into Go struct field Fleet.Directors of type bool",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.yaml", []byte(replaceEach(t, anchored, map[string]string{test.from: test.to})))
			checkErrorHas(t, err, test.wantErr)
		})
	}
}

// TestParseRejectsInvalidFiles parses texts that are not a description, and reads a file that does not exist. Each must fail,
// and an error of Parse must name the file.
func TestParseRejectsInvalidFiles(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{name: "empty", text: ""},
		{name: "open bracket", text: "["},
		{name: "duplicate key", text: "name: x\nname: y"},
		{name: "list", text: "- a\n- b"},
		{name: "alias of itself", text: "a: &a [*a]"},
		{name: "two documents", text: "name: x\n---\nname: y"},
		{name: "number for a list", text: "zones: 3"},
		{name: "deep nesting", text: strings.Repeat("a: {", 3000)},
		{name: "null values", text: "name:\nzones:\n"},
		{name: "binary", text: "\x00\x01"},
	} {
		t.Run(test.name, func(t *testing.T) {
			description, err := Parse("bad.yaml", []byte(test.text))
			if err == nil {
				t.Fatalf("got %+v, want an error", description)
			}
			checkErrorHas(t, err, "bad.yaml")
		})
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none.yaml")); err == nil {
		t.Error("reading a file that does not exist: got no error, want one")
	}
}
