package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const checked = `control:
  - {name: c0, address: 10.0.0.1:7400, region: north, zone: n1, site: n1a}
  - {name: c1, address: 10.0.0.2:7400, region: north, zone: n1, site: n1a}
  - {name: c2, address: 10.0.0.3:7400, region: south, zone: s1, site: s1a}
directors:
  - {name: d0, region: north, zone: n1, site: n1b}
  - {name: d1, region: north, zone: n1, site: n1a}
  - {name: d2, region: north, zone: n1, site: n1a}
  - {name: d3, region: north, zone: n2, site: n2a}
  - {name: n, region: east, zone: e1, site: e1a}
duties:
  - {name: tell, kind: note, period: 1s, bytes: 60, keep: last}
`

// checking runs the command on an operator file, and on the configuration of a director where one is named.
func checking(t *testing.T, director, file string) (code int, says string) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	args := []string{"check", "--operator", write("control.yaml", file)}
	if director != "" {
		args = append(args, write("config.json", `{"name":"`+director+`","listen":"127.0.0.1:1","seed":"0000000000000007","journal":"127.0.0.1:2",
			"limits":{"cores":1,"memory_mb":64,"sockets":64},"known":{"pos":1,"entries":[]},
			"settings":{"classes":[{"name":"clip","aim":400000,"deadline":6000000,"idempotency":"read_like"}],"instances":1,"zone":0,
			"zones":["here"],"models":["box"],"limits":{"sendCap":4},"rules":{"fallMultiple":3,"tipAfter":3000000,"rampTime":9000000}}}`))
	}
	var out, errs bytes.Buffer
	code = run(args, &out, &errs)
	return code, out.String() + errs.String()
}

func TestCheckControl(t *testing.T) {
	code, says := checking(t, "", checked)
	const all = `3 control machines, a majority is 2; leases of 1.2s renewed each 250ms, clocks within 1%
5 directors at 4 sites of 3 zones, 3 regions with them or control machines
region east: control machines 0, directors 1
  zone e1: 1 (e1a 1)
region north: control machines 2, directors 4
  zone n1: 3 (n1a 2, n1b 1)
  zone n2: 1 (n2a 1)
region south: control machines 1, directors 0
links that a control machine bears on average: 3.3, with 1 lost 5.0
uplinks: 16KB/s to a director at most, dials spread over 800ms
warning: region east has no control machine of its own (directors: 1)
warning: region north has 2 of 3 control machines: without it no duty runs
duty tell: note of 60 bytes, life 10m0s, keep: last, each 1s, done within 500ms, missed: catch-up
`
	if code != 0 || says != all {
		t.Errorf("exit %d:\n%s", code, says)
	}
	raw, err := os.ReadFile("../../deploy/control.yaml")
	if err != nil {
		t.Fatal(err)
	}
	code, says = checking(t, "", string(raw))
	if code != 0 || strings.Contains(says, "warning") || !strings.Contains(says, "9 control machines, a majority is 5;") ||
		!strings.Contains(says, "average: 2.4, with 1 lost 2.8, with 3 lost 3.7, with 4 lost 4.4\n") {
		t.Errorf("exit %d:\n%s", code, says)
	}
}

// A configuration beside the file must be that of a machine which the file names.
func TestCheckControlAndConfiguration(t *testing.T) {
	for director, expected := range map[string]string{
		"n":  "n is a director at region east, zone e1, site e1a\n",
		"c2": "c2 is a control machine at region south, zone s1, site s1a\n",
	} {
		if code, says := checking(t, director, checked); code != 0 || !strings.Contains(says, expected) {
			t.Errorf("%s: exit %d:\n%s", director, code, says)
		}
	}
	code, says := checking(t, "d9", checked)
	if code != 1 || !strings.Contains(says, "control.yaml:5: directors: found no control machine or director «d9»") {
		t.Errorf("exit %d:\n%s", code, says)
	}
	even := strings.Replace(checked, "  - {name: c1, address: 10.0.0.2:7400, region: north, zone: n1, site: n1a}\n", "", 1)
	code, says = checking(t, "", even)
	if code != 1 || !strings.Contains(says, "control.yaml:1: control: found 2 machines, expected 3, 5, 7 or 9") {
		t.Errorf("exit %d:\n%s", code, says)
	}
}

// A file of control machines has somebody to be asked.
func TestStatusByControlFile(t *testing.T) {
	file := strings.NewReplacer("10.0.0.1:7400", "127.0.0.1:1", "10.0.0.2:7400", "127.0.0.1:2", "10.0.0.3:7400",
		"127.0.0.1:3").Replace(checked)
	path := filepath.Join(t.TempDir(), "control.yaml")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	code := run([]string{"duties", "status", "--operator", path}, &out, &errs)
	for _, at := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		if code != 1 || !strings.Contains(errs.String(), at+":") {
			t.Errorf("exit %d, %s is not asked: %s%s", code, at, &out, &errs)
		}
	}
}
