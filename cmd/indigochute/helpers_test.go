package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// argsVariable is the environment variable that makes the test binary run as the program itself. Its value is the arguments.
const argsVariable = "INDIGOCHUTE_ARGS"

// TestMain runs the program instead of the tests if argsVariable is set. Tests that need a process of the program start it this way.
func TestMain(m *testing.M) {
	if args := os.Getenv(argsVariable); args != "" {
		os.Exit(run(strings.Fields(args), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// runCommand runs a command line in this process. It returns the exit code and both outputs.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// writeTestFile writes a file in a folder and returns its path.
func writeTestFile(t *testing.T, folder, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, content, 0o640); err != nil {
		t.Fatal(err)
	}
	return path
}

// readTestFile returns the content of a file.
func readTestFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// directorConfig returns a complete configuration of a director. It has the old shape and no endpoints.
func directorConfig(name string) string {
	return `{"name":"` + name + `","listen":"127.0.0.1:1","seed":"0000000000000007","journal":"127.0.0.1:2",
		"limits":{"cores":1,"memory_mb":64,"sockets":64},"known":{"pos":1,"entries":[]},
		"settings":{"classes":[{"name":"clip","aim":400000,"deadline":6000000,"idempotency":"read_like"}],"instances":1,"zone":0,
		"zones":["here"],"models":["box"],"limits":{"sendCap":4},"rules":{"fallMultiple":3,"tipAfter":3000000,"rampTime":9000000}}}`
}
