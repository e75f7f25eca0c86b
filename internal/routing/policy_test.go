package routing

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestPolicyListMatchesDecisionFiles compares the policy list in deploy/balancer.toml with the files of this package. A file
// whose header states what it decides must be listed once, no other file may be listed, and request.go, the path of a request,
// must come first.
func TestPolicyListMatchesDecisionFiles(t *testing.T) {
	settings, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(settings)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no policy list")
	}
	var listed []string
	for _, quoted := range strings.Split(string(line[1]), ", ") {
		listed = append(listed, strings.Trim(quoted, `"`))
	}
	if listed[0] != "internal/routing/request.go" {
		t.Errorf("policy list begins with %s, want internal/routing/request.go", listed[0])
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var deciding []string
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(file, "_test.go") && strings.Contains(string(source), "\n// It decides ") {
			deciding = append(deciding, "internal/routing/"+file)
		}
	}
	slices.Sort(listed)
	if !slices.Equal(listed, deciding) {
		t.Errorf("policy list: got\n%s\nwant the files that decide:\n%s", strings.Join(listed, "\n"), strings.Join(deciding, "\n"))
	}
}
