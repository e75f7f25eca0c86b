package testcluster

// This file builds the program for tests that start it.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// RunWithProgram builds the program of this module, sets path to it, calls run, and deletes the program. It returns the exit
// code of run, or 1 if the program cannot be built. It needs the go command and a working directory within the module.
func RunWithProgram(path *string, run func() int) (exitCode int) {
	dir, err := os.MkdirTemp("", "program")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	*path = filepath.Join(dir, "indigochute")
	build := exec.Command("go", "build", "-o", *path, "indigochute.example/indigochute/cmd/indigochute")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v: %s\n", err, output)
		return 1
	}
	return run()
}
