package topology

import (
	"reflect"
	"testing"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/discovery"
)

// TestConfigMatchesSettings writes the JSON configuration of a director and parses it as the director does. The result must
// equal the settings with which simulated runs start their directors.
func TestConfigMatchesSettings(t *testing.T) {
	description := exampleTopology(t)
	known := discovery.NewSnapshot(1, nil, []string{"west"}, []string{"cache", "parent", "origin"})
	raw, err := description.Config("n0", "127.0.0.1:1", "127.0.0.1:2", 0, 0, 7, known)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.Parse(raw, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := description.Settings(0, 0, 7); !reflect.DeepEqual(parsed.Settings, want) {
		t.Errorf("got  %+v\nwant %+v", parsed.Settings, want)
	}
	if parsed.MemoryMB != 192 || parsed.Sockets != 1024 {
		t.Errorf("got %d MB and %d sockets, want the defaults 192 and 1024", parsed.MemoryMB, parsed.Sockets)
	}
	if got := parsed.ClassNames[1]; got != "segment" {
		t.Errorf("second class: got %q, want segment", got)
	}
}
