package main

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// renamedCommands lists the renamed commands with their current and former names.
var renamedCommands = []struct{ name, oldName string }{
	{"emulate", "stand"},
	{"scenario", "rehearse"},
	{"scaling", "slopes"},
	{"leases", "duties"},
	{"leases status", "duties status"},
}

// TestOldCommandNamesAreHiddenAndDeprecated checks that a command can be called by its former name too, but is not listed under it. The
// help of the former name states the current name. Both names have the same flags with the same defaults.
func TestOldCommandNamesAreHiddenAndDeprecated(t *testing.T) {
	_, listed, _ := runCommand("--help")
	for _, renamed := range renamedCommands {
		t.Run(renamed.name, func(t *testing.T) {
			flags := func(path string) string {
				command, rest, err := newRootCommand().Find(strings.Fields(path))
				if err != nil || len(rest) > 0 || command.Deprecated != "" {
					t.Fatalf("%s: got error %v, remaining arguments %q, deprecation %q, want none", path, err, rest, command.Deprecated)
				}
				return flagUsages(command)
			}
			if current, old := flags(renamed.name), flags(renamed.oldName); current != old {
				t.Errorf("got different flags of %s:\n%s\nand %s:\n%s", renamed.name, current, renamed.oldName, old)
			}
			code, help, stderr := runCommand(append(strings.Fields(renamed.oldName), "--help")...)
			mark := `Deprecated: use "indigochute ` + renamed.name + `"`
			if code != 0 || stderr != "" || !strings.HasPrefix(help, mark) {
				t.Errorf("help of %s: got exit code %d, want 0 and a deprecation notice: %s\n%s", renamed.oldName, code, stderr, help)
			}
			if _, help, _ := runCommand(append(strings.Fields(renamed.name), "--help")...); strings.Contains(help, "Deprecated") {
				t.Errorf("the help of %s has a deprecation notice", renamed.name)
			}
			first, _, nested := strings.Cut(renamed.oldName, " ")
			if !nested && regexp.MustCompile(`(?m)^  `+first+` `).MatchString(listed) {
				t.Errorf("%s is in the list of commands", first)
			}
			if first, _, _ = strings.Cut(renamed.name, " "); !regexp.MustCompile(`(?m)^  ` + first + ` `).MatchString(listed) {
				t.Errorf("%s is not in the list of commands", first)
			}
		})
	}
}

// flagUsages returns a line for each flag of a command, with its default.
func flagUsages(command *cobra.Command) string {
	var list []string
	command.Flags().VisitAll(func(flag *pflag.Flag) {
		list = append(list, flag.Name+" "+flag.Shorthand+" "+flag.DefValue+" "+flag.Usage)
	})
	return strings.Join(list, "\n")
}

// TestOldCommandNamesPrintSameOutput checks that both names give the same exit code, standard output and error text, byte for byte.
func TestOldCommandNamesPrintSameOutput(t *testing.T) {
	fakeCheckout(t, printing(benchmarkOutput()+"PASS\n"))
	cases := []struct {
		name, oldName, args string
		code                int
	}{
		{"scenario", "rehearse", "list", 0},
		{"scenario", "rehearse", "dance", 1},
		{"scenario", "rehearse", "", 2},
		{"scenario", "rehearse", "scale --directors 4", 1},
		{"emulate", "stand", "missing.yaml", 1},
		{"emulate", "stand", "", 2},
		{"emulate", "stand", "--rate fast", 2},
		{"scaling", "slopes", "", 0},
		{"scaling", "slopes", "--json", 0},
		{"scaling", "slopes", "--count 0", 2},
		{"leases", "duties", "", 2},
		{"leases", "duties", "status", 2},
		{"leases", "duties", "status --at 127.0.0.1:1", 1},
		{"leases", "duties", "status --operator missing.yaml", 1},
	}
	for _, test := range cases {
		t.Run(test.name+" "+test.args, func(t *testing.T) {
			args := strings.Fields(test.args)
			code, stdout, stderr := runCommand(append([]string{test.name}, args...)...)
			oldCode, oldStdout, oldStderr := runCommand(append([]string{test.oldName}, args...)...)
			if code != test.code || oldCode != code || oldStdout != stdout {
				t.Errorf("got exit codes %d and %d, want %d; got outputs\n%s\n%s", code, oldCode, test.code, stdout, oldStdout)
			}
			failure, _, _ := strings.Cut(stderr, "Usage:\n") // the usage text differs, because it contains the name
			oldFailure, _, _ := strings.Cut(oldStderr, "Usage:\n")
			if failure != oldFailure {
				t.Errorf("got standard error %q and %q, want the same", failure, oldFailure)
			}
		})
	}
}

// TestOldEmulateNamePrintsSameLines checks that a run prints the same lines under both names, except for the measured figures.
func TestOldEmulateNamePrintsSameLines(t *testing.T) {
	figures := regexp.MustCompile(`[0-9.]+(µs|ms|s)?\b`)
	spaces := regexp.MustCompile(` +`)
	lines := func(name string) string {
		file := filepath.Join(t.TempDir(), "rows.capture")
		code, stdout, stderr := runCommand(name, smallFleet, "--rate", "10", "--for", "1s", "--capture", file)
		if code != 0 {
			t.Fatalf("%s: got exit code %d, want 0: %s", name, code, stderr)
		}
		text := strings.ReplaceAll(stdout, file, "FILE")
		return spaces.ReplaceAllString(figures.ReplaceAllString(text, "N"), " ")
	}
	if current, old := lines("emulate"), lines("stand"); current != old || !strings.Contains(current, "capture written to FILE") {
		t.Errorf("got different lines from emulate:\n%s\nand stand:\n%s", current, old)
	}
}
