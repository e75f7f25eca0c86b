package main

import (
	"strings"
	"testing"
)

// operatorFile has three control machines, two of them in one region, and directors in two regions.
const operatorFile = `control:
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

// runCheck runs check on an operator file and, if a director is named, on a configuration of that name. It returns the exit code, and
// standard output followed by standard error.
func runCheck(t *testing.T, director, operator string) (code int, printed string) {
	t.Helper()
	folder := t.TempDir()
	args := []string{"check", "--operator", writeTestFile(t, folder, "control.yaml", []byte(operator))}
	if director != "" {
		args = append(args, writeTestFile(t, folder, "config.json", []byte(directorConfig(director))))
	}
	code, stdout, stderr := runCommand(args...)
	return code, stdout + stderr
}

// TestCheckPrintsOperatorFileSummary checks the complete output for an operator file: its machines by region, zone and site, its links, its
// warnings and its duties.
func TestCheckPrintsOperatorFileSummary(t *testing.T) {
	code, printed := runCheck(t, "", operatorFile)
	const want = `3 control machines, a majority is 2; leases of 1.2s renewed every 250ms, clock drift up to 1%
5 directors at 4 sites in 3 zones; 3 regions with directors or control machines
region east: control machines 0, directors 1
  zone e1: 1 (e1a 1)
region north: control machines 2, directors 4
  zone n1: 3 (n1a 2, n1b 1)
  zone n2: 1 (n2a 1)
region south: control machines 1, directors 0
average links per control machine: 3.3, with 1 lost: 5.0
uplinks: at most 16KB/s to each director, dials spread over 800ms
warning: region east has no control machine (directors: 1)
warning: region north has 2 of 3 control machines: if it is lost, no duty runs
duty tell: note of 60 bytes, lifetime 10m0s, keep: last, every 1s, timeout 500ms, missed: catch-up
`
	if code != 0 || printed != want {
		t.Errorf("got exit code %d:\n%s\nwant 0:\n%s", code, printed, want)
	}
}

// TestCheckAcceptsDeployedOperatorFile checks that the operator file in deploy is valid and causes no warnings.
func TestCheckAcceptsDeployedOperatorFile(t *testing.T) {
	code, printed := runCheck(t, "", string(readTestFile(t, "../../deploy/control.yaml")))
	if code != 0 || strings.Contains(printed, "warning") {
		t.Errorf("got exit code %d, want 0 and no warnings:\n%s", code, printed)
	}
	wants := []string{
		"9 control machines, a majority is 5;",
		"average links per control machine: 2.4, with 1 lost: 2.8, with 3 lost: 3.7, with 4 lost: 4.4\n",
	}
	for _, want := range wants {
		if !strings.Contains(printed, want) {
			t.Errorf("the output lacks %q:\n%s", want, printed)
		}
	}
}

// TestCheckConfigurationAgainstOperatorFile checks a configuration together with an operator file, which must list the machine of the
// configuration.
func TestCheckConfigurationAgainstOperatorFile(t *testing.T) {
	even := strings.Replace(operatorFile, "  - {name: c1, address: 10.0.0.2:7400, region: north, zone: n1, site: n1a}\n", "", 1)
	cases := []struct {
		name     string
		director string
		operator string
		code     int
		want     string
	}{
		{"director", "n", operatorFile, 0, "n is a director in region east, zone e1, site e1a\n"},
		{"control machine", "c2", operatorFile, 0, "c2 is a control machine in region south, zone s1, site s1a\n"},
		{"unknown machine", "d9", operatorFile, 1, "control.yaml:5: directors: found no control machine or director «d9»"},
		{"even number of control machines", "", even, 1, "control.yaml:1: control: found 2 machines, expected 3, 5, 7 or 9"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, printed := runCheck(t, test.director, test.operator)
			if code != test.code || !strings.Contains(printed, test.want) {
				t.Errorf("got exit code %d, want %d and %q in the output:\n%s", code, test.code, test.want, printed)
			}
		})
	}
}

// TestLeasesStatusQueriesAllControlMachines checks that leases status queries every control machine in an operator file if none responds.
func TestLeasesStatusQueriesAllControlMachines(t *testing.T) {
	unreachable := strings.NewReplacer(
		"10.0.0.1:7400", "127.0.0.1:1",
		"10.0.0.2:7400", "127.0.0.1:2",
		"10.0.0.3:7400", "127.0.0.1:3",
	)
	path := writeTestFile(t, t.TempDir(), "control.yaml", []byte(unreachable.Replace(operatorFile)))
	code, stdout, stderr := runCommand("leases", "status", "--operator", path)
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		if code != 1 || !strings.Contains(stderr, address+":") {
			t.Errorf("got exit code %d, want 1 and a failed query of %s: %s%s", code, address, stdout, stderr)
		}
	}
}
