package compat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/peer"
)

const (
	programPath    = "../../cmd/indigochute"
	simAdapterPath = "../../cmd/simadapter"
	inputs         = "testdata/in"
	commandTimeout = 2 * time.Minute // for one command, on a busy machine
)

var buildDir string // folder of the programs under test

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "compat")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	buildDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// build returns a function that builds a program at its first call and returns the path of the executable.
func build(path string) func() (string, error) {
	return sync.OnceValues(func() (string, error) {
		out := filepath.Join(buildDir, filepath.Base(path))
		if output, err := exec.Command("go", "build", "-o", out, path).CombinedOutput(); err != nil {
			return "", fmt.Errorf("go build %s: %w: %s", path, err, output)
		}
		return out, nil
	})
}

var (
	builtProgram    = build(programPath)
	builtSimAdapter = build(simAdapterPath)
)

// command runs the program in a directory and returns its exit code and its output.
func command(t *testing.T, dir string, args ...string) (exit int, stdout, stderr string) {
	t.Helper()
	program, err := builtProgram()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), commandTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, program, args...)
	var out, errs bytes.Buffer
	c.Dir, c.Stdout, c.Stderr = dir, &out, &errs
	err = c.Run()
	var exited *exec.ExitError
	if err != nil && !errors.As(err, &exited) {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), out.String(), errs.String()
}

// TestCommands checks the exit code and the standard output of commands on files. If a command fails with exit code 1, it also checks the
// standard error. After an invalid command line (exit code 2) the usage text is not compared.
func TestCommands(t *testing.T) {
	const deploy = "../../../../deploy/"
	for _, c := range []struct{ name, args string }{
		{"check_config", "check config.json"},
		{"check_config_faulty", "check config_faulty.json"},
		{"check_config_missing", "check missing.json"},
		{"check_operator_all", "check --operator operator_all.yaml"},
		{"check_operator_faulty", "check --operator operator_faulty.yaml"},
		{"check_operator_unknown_key", "check --operator operator_unknown_key.yaml"},
		{"check_both", "check config.json --operator operator_all.yaml"},
		{"check_both_unnamed", "check config_old.json --operator operator_all.yaml"},
		{"check_deploy_operator", "check --operator " + deploy + "operator.yaml"},
		{"check_deploy_control", "check --operator " + deploy + "control.yaml"},
		{"check_nothing", "check"},
		{"schema_fleet", "schema fleet"},
		{"schema_operator", "schema operator"},
		{"schema_unknown", "schema unheard"},
		{"migrate_dry_run", "migrate config_old.json --joins --dry-run"},
		{"migrate_new_already", "migrate config.json --joins --dry-run"},
		{"migrate_wrong_call", "migrate config_old.json"},
		{"status_wrong_call", "duties status"},
		{"status_wrong_call", "leases status"},
		{"unknown_command", "unheard"},
	} {
		t.Run(c.name, func(t *testing.T) {
			exit, stdout, stderr := command(t, inputs, strings.Fields(c.args)...)
			text := fmt.Sprintf("exit %d\n-- standard output\n%s", exit, stdout)
			if exit == 1 {
				text += "-- standard error\n" + stderr
			}
			golden(t, "command_"+c.name+".txt", []byte(text))
		})
	}
}

// TestMigrateFiles checks the files that migrate writes, first to the new format and then back.
func TestMigrateFiles(t *testing.T) {
	dir := t.TempDir()
	old := readGolden(t, "in/config_old.json")
	if err := os.WriteFile(filepath.Join(dir, "old.json"), old, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct{ name, args string }{
		{"new", "migrate old.json --joins --weights nominal --notes hit --probes --out new.json"},
		{"back", "migrate new.json --back --out back.json"},
	} {
		if exit, _, stderr := command(t, dir, strings.Fields(step.args)...); exit != 0 {
			t.Fatalf("%s: exit %d, want 0: %s", step.args, exit, stderr)
		}
		b, err := os.ReadFile(filepath.Join(dir, step.name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		golden(t, "migrate_"+step.name+".json", b)
	}
}

const planRows = 700 // rows of a stored capture that are used, so that plan takes only seconds

// TestPlanJSON checks the output of plan for the first rows of a stored capture.
func TestPlanJSON(t *testing.T) {
	c, err := capture.Read("../../examples/plan/small.capture")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := capture.Write(&b, c.Header, c.Rows[:planRows]); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "begin.capture")
	if err := os.WriteFile(file, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	exit, stdout, stderr := command(t, "../../examples/plan", "plan", "small.yaml", "--load", file, "--json")
	golden(t, "plan.json", []byte(stdout))
	if exit > 1 || exit == 1 && stdout == "" {
		t.Errorf("exit %d, want 0, or 1 with an output: %s", exit, stderr)
	}
}

// TestStatusJSON checks the output of the status command for two instances that respond and one that does not.
func TestStatusJSON(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	statusOf := func(name, role string, others map[string]string) []byte {
		full, status := &cluster.Status{}, map[string]any{}
		(&filler{}).fill(reflect.ValueOf(full).Elem())
		if err := json.Unmarshal(encodeJSON(t, full), &status); err != nil {
			t.Fatal(err)
		}
		status["others"] = others
		lease := status["duty"].(map[string]any)
		lease["instance"], lease["role"] = name, role
		b, err := json.Marshal(status)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	serveStatus := func(payload []byte) string {
		server, err := peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{"status": func([]byte) ([]byte, error) { return payload, nil }})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
		return server.Addr()
	}
	second := serveStatus(statusOf("n1", "member", map[string]string{}))
	first := serveStatus(statusOf("n0", "keeper", map[string]string{"n1": second, "n2": closed.Addr().String()}))
	for _, name := range []string{"duties", "leases"} { // the former and the present name of the command
		exit, stdout, stderr := command(t, ".", name, "status", "--at", first, "--json")
		if exit != 0 {
			t.Errorf("%s: exit %d, want 0: %s", name, exit, stderr)
		}
		stdout = strings.NewReplacer(second, "SECOND", closed.Addr().String(), "CLOSED").Replace(stdout)
		golden(t, "status.json", []byte(stdout))
		if exit, _, _ := command(t, ".", name, "status", "--at", closed.Addr().String(), "--json"); exit != 1 {
			t.Errorf("%s: exit %d for an address without a listener, want 1", name, exit)
		}
	}
}
