package topology

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// compiledSchema returns the compiled schema of a description.
func compiledSchema(t *testing.T) *jsonschema.Schema {
	t.Helper()
	raw, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("fleet.json", document); err != nil {
		t.Fatal(err)
	}
	schema, err := compiler.Compile("fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	return schema
}

// validate returns an error if YAML text violates a schema.
func validate(t *testing.T, schema *jsonschema.Schema, text []byte) error {
	t.Helper()
	raw, err := yaml.YAMLToJSON(text)
	if err != nil {
		t.Fatal(err)
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		t.Fatal(err)
	}
	return schema.Validate(value)
}

// TestSchemaAgreesWithDecoder checks that the schema and the decoder both accept all examples and both reject wrong values.
func TestSchemaAgreesWithDecoder(t *testing.T) {
	schema := compiledSchema(t)
	files, err := filepath.Glob("../../examples/plan/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Error("got no example files, want at least one")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := validate(t, schema, text); err != nil {
			t.Errorf("%s: the schema rejects the example: %v", file, err)
		}
		if _, err := Parse(file, text); err != nil {
			t.Errorf("the decoder rejects an example: %v", err)
		}
	}
	for _, test := range []struct{ name, from, to string }{
		{name: "not a rate", from: "link: 1.5MB/s ", to: "link: fast "},
		{name: "unknown key", from: "slots: 24 ", to: "slot: 24 "},
		{name: "not a number", from: "cores: 2", to: "cores: two"},
	} {
		text := []byte(replaceEach(t, exampleText(t), map[string]string{test.from: test.to}))
		if validate(t, schema, text) == nil {
			t.Errorf("%s: the schema accepts %q", test.name, test.to)
		}
		if _, err := Parse("wrong.yaml", text); err == nil {
			t.Errorf("%s: the decoder accepts %q", test.name, test.to)
		}
	}
}
