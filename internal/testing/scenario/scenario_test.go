package scenario

import (
	"strings"
	"testing"
)

// The error for an unknown scenario lists the available ones. Each available scenario has a name, a description and a function.
func TestRunUnknownScenario(t *testing.T) {
	if _, err := Run("dance", 1); err == nil || !strings.Contains(err.Error(), "plan") {
		t.Errorf("Run of an unknown scenario returns %v, want an error that lists the scenarios", err)
	}
	for _, s := range All() {
		if s.Name == "" || s.Description == "" || s.Run == nil {
			t.Errorf("scenario %+v is incomplete", s)
		}
	}
}
