package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/clusterconfig"
)

// countingNode is a clusterNode that counts its reloads.
type countingNode struct{ reloads int }

func (n *countingNode) Reload(*clusterconfig.File) error { n.reloads++; return nil }
func (n *countingNode) Leave()                           {}
func (n *countingNode) Close()                           {}

// TestReloadRejectsUnreadableOperatorFile checks that an operator file that cannot be read or parsed is not applied, and that the log says
// why.
func TestReloadRejectsUnreadableOperatorFile(t *testing.T) {
	complete := readTestFile(t, "../../deploy/control.yaml")
	path := filepath.Join(t.TempDir(), "operator.yaml")
	write := func(content []byte) func() error {
		return func() error { return os.WriteFile(path, content, 0o600) }
	}
	cases := []struct {
		name    string
		prepare func() error // creates the file, folder or link at path, where nothing exists
		want    string       // part of the log
		reloads int
	}{
		{"EIO", func() error { return os.Symlink("/proc/self/mem", path) }, "input/output error", 0},
		{"folder", func() error { return os.Mkdir(path, 0o700) }, "is a directory", 0},
		{"missing", func() error { return nil }, "no such file", 0},
		{"empty", write(nil), "operator.yaml", 0},
		{"zeros", write(make([]byte, 4096)), "operator.yaml", 0},
		{"complete", write(complete), "", 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if err := os.RemoveAll(path); err != nil {
				t.Fatal(err)
			}
			if err := test.prepare(); err != nil {
				t.Fatal(err)
			}
			var logged bytes.Buffer
			log := logrus.New()
			log.SetOutput(&logged)
			node := &countingNode{}
			member := &clusterMember{clusterNode: node, path: path, log: logrus.NewEntry(log)}
			member.Reload()
			rejected := strings.Contains(logged.String(), "operator file not reloaded; the previous configuration stays in force")
			if node.reloads != test.reloads || !strings.Contains(logged.String(), test.want) || rejected != (test.reloads == 0) {
				t.Errorf("got %d reloads, want %d; got log %q, want %q in it", node.reloads, test.reloads, logged.String(), test.want)
			}
		})
	}
}
