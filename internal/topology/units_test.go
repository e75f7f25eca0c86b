package topology

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestUnitsParseAndFormat parses a value of each unit type, and formats the size and the rate.
func TestUnitsParseAndFormat(t *testing.T) {
	if duration, err := ParseDuration("1m30s"); err != nil || duration.Duration() != 90*time.Second {
		t.Errorf("1m30s: got %v, %v", duration, err)
	}
	if size, err := ParseSize("2.5MB"); err != nil || size != 2.5e6 || size.String() != "2.5MB" {
		t.Errorf("2.5MB: got %v, %v", size, err)
	}
	if rate, err := ParseRate("400KB/s"); err != nil || rate != 4e5 || rate.String() != "400KB/s" {
		t.Errorf("400KB/s: got %v, %v", rate, err)
	}
	if share, err := ParseShare("20%"); err != nil || share != 0.2 {
		t.Errorf("20%%: got %v, %v", share, err)
	}
}

// TestUnitsRejectInvalidText parses texts that are neither a duration, a rate nor a share.
func TestUnitsRejectInvalidText(t *testing.T) {
	for _, text := range []string{"", "300", "-1s", "1e400MB", "8MB", "120%", "NaN", "-3"} {
		if duration, err := ParseDuration(text); err == nil {
			t.Errorf("parsing %q as a duration: got %v, want an error", text, duration)
		}
		if rate, err := ParseRate(text); err == nil {
			t.Errorf("parsing %q as a rate: got %v, want an error", text, rate)
		}
		if share, err := ParseShare(text); err == nil {
			t.Errorf("parsing %q as a share: got %v, want an error", text, share)
		}
	}
}

// unitsFile is the type of a file that has values of all unit types.
type unitsFile struct {
	Base Duration `yaml:"base"`
	List []struct {
		Each Duration `yaml:"each"`
		Of   Size     `yaml:"of"`
		At   Rate     `yaml:"at"`
		Part Share    `yaml:"part"`
	} `yaml:"list"`
}

// TestDecodeUnits decodes units that are plain, quoted, given by an alias and, for shares, numbers. All forms must give the
// same values.
func TestDecodeUnits(t *testing.T) {
	const text = `
base: &base 1m30s
list:
  - {each: 300ms, of: 64KB, at: 2.5MB/s, part: 20%}
  - {each: "300ms", of: '64KB', at: "2.5MB/s", part: "20%"}
  - {each: *base, of: 800 B, at: 1 KB/s, part: 0.2}
  - {part: .2}
  - {part: 2e-1}
  - {part: 1}
`
	var decoded unitsFile
	if err := Decode("x", []byte(text), &decoded, nil); err != nil {
		t.Fatal(err)
	}
	for i, entry := range decoded.List[:2] {
		if entry.Each.Duration() != 300*time.Millisecond || entry.Of != 64e3 || entry.At != 2.5e6 || entry.Part != 0.2 {
			t.Errorf("entry %d: got %+v, want 300ms, 64KB, 2.5MB/s and 20%%", i, entry)
		}
	}
	if entry := decoded.List[2]; entry.Each.Duration() != 90*time.Second || entry.Of != 800 || entry.At != 1e3 || entry.Part != 0.2 {
		t.Errorf("entry 2: got %+v, want 1m30s, 800B, 1KB/s and 20%%", entry)
	}
	if decoded.List[3].Part != 0.2 || decoded.List[4].Part != 0.2 || decoded.List[5].Part != 1 {
		t.Errorf("got shares %+v, want 0.2, 0.2 and 1", decoded.List[3:])
	}
}

// TestDecodeReportsInvalidUnits decodes invalid units. The error must name the line and the key, except for an alias of
// another unit, which only the decoder rejects.
func TestDecodeReportsInvalidUnits(t *testing.T) {
	for _, test := range []struct{ name, text, wantErr string }{
		{name: "no unit", text: "base: 300", wantErr: `x:1: base: found "300", expected a time with its unit`},
		{
			name:    "alias of another unit",
			text:    "base: &b 1s\nlist: [{of: *b}]",
			wantErr: `"1s" where a size with its unit is expected`,
		},
		{name: "list", text: "base: [1s]", wantErr: "x:1: base: found"},
		{
			name:    "words",
			text:    "base: a where b",
			wantErr: `x:1: base: found "a where b", expected a time with its unit, such as 300ms or 2s`,
		},
		{name: "mapping", text: "base: {a: 1s}", wantErr: "x:1: base: found"},
		{name: "share above 1", text: "list: [{part: 1.2}]", wantErr: `x:1: list[0].part: found "1.2"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkErrorHas(t, Decode("x", []byte(test.text), &unitsFile{}, nil), test.wantErr)
		})
	}
}

// TestDecodeMemoryGrowsLinearly compares the memory per entry that is allocated to decode a short and a long file. It must not
// grow with the number of entries, as it would if the decoder walked over the whole file for each unit.
func TestDecodeMemoryGrowsLinearly(t *testing.T) {
	bytesPerEntry := func(entries int) float64 {
		raw := []byte("list:\n" + strings.Repeat("  - {each: 300ms, of: 64KB, at: 2.5MB/s, part: 20%}\n", entries))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if err := Decode("x", raw, &unitsFile{}, nil); err != nil {
			t.Fatal(err)
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / float64(entries)
	}
	few, many := bytesPerEntry(40), bytesPerEntry(400)
	if many > 2*few {
		t.Errorf("%.0f bytes allocated for each of 400 entries, want at most twice the %.0f for each of 40", many, few)
	}
}
