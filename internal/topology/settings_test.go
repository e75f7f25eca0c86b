package topology

import (
	"reflect"
	"testing"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/discovery"
)

// TestConfigGivesTheSameSettings writes the JSON configuration of a director and reads it as the director does. It has the
// settings with which simulated runs start their directors.
func TestConfigGivesTheSameSettings(t *testing.T) {
	description := exampleTopology(t)
	known := discovery.NewSnapshot(1, nil, []string{"west"}, []string{"cache", "parent", "origin"})
	raw, err := description.Config("n0", "127.0.0.1:1", "127.0.0.1:2", 0, 0, 7, known)
	if err != nil {
		t.Fatal(err)
	}
	read, err := config.Parse(raw, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := description.Settings(0, 0, 7); !reflect.DeepEqual(read.Settings, want) {
		t.Errorf("got  %+v\nwant %+v", read.Settings, want)
	}
	if read.MemoryMB != 192 || read.Sockets != 1024 {
		t.Errorf("%d MB and %d sockets, want the defaults 192 and 1024", read.MemoryMB, read.Sockets)
	}
	if got := read.ClassNames[1]; got != "segment" {
		t.Errorf("the second class is %q, want segment", got)
	}
}
