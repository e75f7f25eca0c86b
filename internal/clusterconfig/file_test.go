package clusterconfig

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"indigochute.example/indigochute/internal/lease"
)

// deployedFile returns the annotated operator file with instances in deploy/.
func deployedFile(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/operator.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// leaseConfig returns the configuration of package lease for the named machine of a file.
func leaseConfig(f *File, name string) lease.Config {
	return lease.Config{
		Name:      name,
		Members:   f.MemberNames(),
		Lease:     f.Lease.Duration(),
		Heartbeat: f.Heartbeat.Duration(),
		Drift:     float64(f.Drift),
		Duties:    f.LeaseDuties(),
	}
}

// The annotated file in deploy/ can be parsed, matches the schema and yields a valid configuration of package lease.
func TestDeployedFile(t *testing.T) {
	raw := deployedFile(t)
	f, err := Parse("operator.yaml", raw, "n1")
	if err != nil {
		t.Fatal(err)
	}
	config := leaseConfig(f, "n1")
	if err := config.Check(); err != nil {
		t.Errorf("configuration of package lease: %v", err)
	}
	if peers := f.PeerAddresses("n1"); len(peers) != 2 {
		t.Errorf("peers of n1: got %v, want 2", peers)
	}
	if got, want := f.Address("n1"), "10.0.0.2:7400"; got != want {
		t.Errorf("address of n1: got %q, want %q", got, want)
	}
	checkSchema(t, raw)
}

// checkSchema fails the test if a file does not match the schema.
func checkSchema(t *testing.T, raw []byte) {
	t.Helper()
	if err := compiledSchema(t).Validate(decodeYAML(t, raw)); err != nil {
		t.Errorf("the file does not match the schema: %v", err)
	}
}

// compiledSchema returns the compiled schema of an operator file.
func compiledSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	text, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	compiler.AddResource("operator", schema)
	compiled, err := compiler.Compile("operator")
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

// decodeYAML decodes a file into values that a schema can validate.
func decodeYAML(t *testing.T, raw []byte) (value any) {
	t.Helper()
	asJSON, err := yaml.YAMLToJSON(raw)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(asJSON, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// replaceOnce replaces the first occurrence of old. It fails the test if there is none.
func replaceOnce(t *testing.T, text, old, new string) string {
	t.Helper()
	changed := strings.Replace(text, old, new, 1)
	if changed == text {
		t.Fatalf("%q is not in the file", old)
	}
	return changed
}

// checkFault parses a file for the named machine. It fails the test unless the error begins with the path and contains the fault.
func checkFault(t *testing.T, path, text, name, fault string) {
	t.Helper()
	_, err := Parse(path, []byte(text), name)
	if err == nil || !strings.Contains(err.Error(), fault) || !strings.HasPrefix(err.Error(), path+":") {
		t.Errorf("got error %v\nwant an error that begins with %s: and contains %q", err, path, fault)
	}
}

// Every fault is reported with its key and the value that was found there.
func TestFaults(t *testing.T) {
	raw := string(deployedFile(t))
	for _, test := range []struct{ old, new, fault string }{
		{old: "lease: 1200ms", new: "leese: 1200ms", fault: "leese: found an unknown key"},
		{old: "lease: 1200ms", new: "lease: 300ms", fault: "beat: found «250ms»"},
		{old: "drift: 1%", new: "drift: 60%", fault: "drift: found «60%»"},
		{old: "name: n1", new: "name: n0", fault: "instances[1].name: found «n0» a second time"},
		{old: "10.0.0.2:7400", new: "10.0.0.1:7400", fault: "instances[1].address: found «10.0.0.1:7400» a second time"},
		{old: "10.0.0.2:7400", new: "10.0.0.2", fault: "instances[1].address: found «10.0.0.2»"},
		{old: "name: n2", new: "name: n9", fault: "instances: found no instance «n2»"},
		{old: "timeout: 450ms", new: "timeout: 450", fault: "duties[0].timeout: found"},
		{old: "timeout: 450ms", new: "timeout: 2s", fault: "duties[0].timeout: found «2s»"},
		{old: "kind: probe", new: "kind: call", fault: "duties[0].address: found «»"},
		{old: "kind: probe", new: "kind: sweep", fault: "duties[0].kind: found «sweep»"},
		{old: "  # vhost: segment", new: "  vhost: segment", fault: "probe: found a vhost or an object alone"},
	} {
		t.Run(test.fault, func(t *testing.T) {
			checkFault(t, "operator.yaml", replaceOnce(t, raw, test.old, test.new), "n2", test.fault)
		})
	}
}

// All faults of a file are reported together, one per line.
func TestAllFaultsAtOnce(t *testing.T) {
	raw := string(deployedFile(t))
	withTwoFaults := replaceOnce(t, replaceOnce(t, raw, "drift: 1%", "drift: 60%"), "name: n1", "name: n0")
	_, err := Parse("operator.yaml", []byte(withTwoFaults), "")
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("got error %v, want two faults on two lines", err)
	}
}
