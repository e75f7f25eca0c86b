package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// module is the path of the project's module. A checkout is recognized by the go.mod with this path.
const module = "indigochute.example/indigochute"

// outputWait is how long to wait for the output pipe of a killed go test to close. A process that has left the process group can hold the
// pipe open.
const outputWait = 5 * time.Second

// moduleLine is the line of go.mod that names the module.
var moduleLine = regexp.MustCompile(`(?m)^module ` + regexp.QuoteMeta(module) + `$`)

// run runs the benchmarks of the checkout at root and returns the standard output of go test, also with an error. It copies the standard
// output and standard error of go test to progress. When it returns, all processes that it started have ended. It returns at the latest
// outputWait after ctx is done, and then returns the cause of ctx as the error.
func (b *benchmarkRun) run(ctx context.Context, root string, progress io.Writer) (string, error) {
	if err := checkCheckout(root); err != nil {
		return "", err
	}
	tool, err := exec.LookPath("go")
	if err != nil {
		return "", fmt.Errorf("the benchmarks are built from source, which needs a go command: %w", err)
	}
	var stdout bytes.Buffer
	process := exec.CommandContext(ctx, tool, "test", "-run", "^$", "-bench", b.pattern, "-benchtime", b.benchtime,
		"-count", strconv.Itoa(b.count), "-p", "1", "-vet", "off", "-timeout", scalingTimeout.String(), "./...")
	process.Dir = root
	progress = &lockedWriter{out: progress}
	process.Stdout, process.Stderr = io.MultiWriter(&stdout, progress), progress
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a separate process group, so that the test binaries are killed too
	process.Cancel = func() error { return syscall.Kill(-process.Process.Pid, syscall.SIGKILL) }
	process.WaitDelay = outputWait
	err = process.Run()
	if ctx.Err() != nil {
		return stdout.String(), context.Cause(ctx)
	}
	if err != nil {
		return stdout.String(), fmt.Errorf("go test: %w", err)
	}
	return stdout.String(), nil
}

// checkCheckout returns an error for a directory that is not the root of a checkout of the project.
func checkCheckout(root string) error {
	goMod, err := os.ReadFile(path.Join(root, "go.mod"))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err != nil || !moduleLine.Match(goMod) {
		return fmt.Errorf("not the root of a checkout: the working directory must have the go.mod of module %s", module)
	}
	return nil
}

// lockedWriter is a writer that several goroutines can use. os/exec copies standard output and standard error in separate goroutines.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write writes the text. Concurrent calls run one after another.
func (w *lockedWriter) Write(text []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(text)
}
