package topology

import (
	"os"
	"strings"
	"testing"
)

// exampleFile is the smallest description among the examples.
const exampleFile = "../../examples/plan/small.yaml"

// exampleText returns the text of exampleFile.
func exampleText(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// exampleTopology parses exampleFile.
func exampleTopology(t *testing.T) *Topology {
	t.Helper()
	description, err := Parse("small.yaml", []byte(exampleText(t)))
	if err != nil {
		t.Fatal(err)
	}
	return description
}

// replaceEach replaces the first occurrence of each key of replacements by its value. It fails the test if a key does not
// occur in the text.
func replaceEach(t *testing.T, text string, replacements map[string]string) string {
	t.Helper()
	for from, to := range replacements {
		if !strings.Contains(text, from) {
			t.Fatalf("the text to change does not contain %q", from)
		}
		text = strings.Replace(text, from, to, 1)
	}
	return text
}

// checkErrorHas fails the test for each wanted text that an error does not contain.
func checkErrorHas(t *testing.T, err error, wanted ...string) {
	t.Helper()
	for _, want := range wanted {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error\n%v\nwant an error that contains %q", err, want)
		}
	}
}
