package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// TestMigrateCommand checks that the command writes complete files, only to the path of --out, and never changes the file that it reads.
// The cases share a folder, and some read files that earlier cases have written.
func TestMigrateCommand(t *testing.T) {
	folder := t.TempDir()
	oldShape := directorConfig("n")
	for name, content := range map[string]string{"old": oldShape, "half": oldShape[:90], "taken": "mine"} {
		writeTestFile(t, folder, name, []byte(content))
	}
	cases := []struct {
		name string
		args string // file names are relative to the folder
		code int
		want string // part of the output
	}{
		{"dry run", "old --joins --dry-run", 0, "nothing was written"},
		{"no target", "old", 2, "--out"},
		{"target and dry run", "old --out a --dry-run", 2, "--out"},
		{"unknown weights", "old --weights live --dry-run", 2, "--weights"},
		{"back with a shape", "old --back --joins --dry-run", 2, "--joins"},
		{"missing source", "gone --dry-run", 1, "no such file"},
		{"half a source", "half --out x", 1, "half: not JSON"},
		{"back from the old shape", "old --back --out x", 1, "before_migration"},
		{"existing target", "old --out taken", 1, "already exists"},
		{"source as target", "old --out old --force", 1, "never changed"},
		{"to the new shape", "old --joins --weights nominal --out new", 0, "wrote"},
		{"new shape already", "new --out x", 1, "already has the new shape"},
		{"back", "new --back --out again", 0, "wrote"},
		{"existing target with force", "old --out taken --force", 0, "wrote"},
		{"target in a missing folder", "old --out nowhere/new", 1, "nowhere"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(append([]string{"migrate"}, argsInFolder(folder, test.args)...)...)
			if code != test.code || !strings.Contains(stdout+stderr, test.want) {
				t.Errorf("%q: got exit code %d, want %d and %q in the output: %s%s", test.args, code, test.code, test.want, stdout, stderr)
			}
			if test.code == 1 && strings.Count(stderr, "\n") != 1 {
				t.Errorf("%q: got more than one line of errors: %s", test.args, stderr)
			}
		})
	}
	for _, name := range []string{"new", "again", "taken"} {
		if code, stdout, stderr := runCommand("check", filepath.Join(folder, name)); code != 0 {
			t.Errorf("check %s fails: %s%s", name, stdout, stderr)
		}
	}
	if content := string(readTestFile(t, filepath.Join(folder, "old"))); content != oldShape {
		t.Errorf("the old file was changed: %s", content)
	}
	const wantFiles = 5 // old, half, taken, new, again
	if files, _ := filepath.Glob(filepath.Join(folder, "*")); len(files) != wantFiles {
		t.Errorf("got files %v, want %d of them", files, wantFiles)
	}
}

// argsInFolder splits arguments and replaces file names with paths in a folder. File names are the first argument and the one after --out.
func argsInFolder(folder, text string) []string {
	args := strings.Fields(text)
	for position, arg := range args {
		if !strings.HasPrefix(arg, "--") && (position == 0 || args[position-1] == "--out") {
			args[position] = filepath.Join(folder, arg)
		}
	}
	return args
}
