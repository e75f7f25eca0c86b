package topology

// JSON Schemas of operator files, generated from their Go types.

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

// unitSchemas holds the schemas of the unit types of this package, for all operator files that have values of these types.
var unitSchemas = map[reflect.Type]*jsonschema.Schema{
	reflect.TypeFor[Duration](): {Type: "string", Pattern: `^([0-9.]+(ns|us|µs|ms|s|m|h))+$`, Examples: []any{"300ms"}},
	reflect.TypeFor[Size]():     {Type: "string", Pattern: `^[0-9.]+ ?(GB|MB|KB|B)$`, Examples: []any{"64KB"}},
	reflect.TypeFor[Rate]():     {Type: "string", Pattern: `^[0-9.]+ ?(GB|MB|KB|B)/s$`, Examples: []any{"400KB/s"}},
	reflect.TypeFor[Share](): {OneOf: []*jsonschema.Schema{
		{Type: "string", Pattern: `^[0-9.]+ ?%$`},
		{Type: "number", Minimum: "0", Maximum: "1"},
	}},
}

// Schema returns the JSON Schema of a description.
func Schema() ([]byte, error) { return SchemaOf(&Topology{}, "A fleet for indigochute") }

// SchemaOf returns the JSON Schema of an operator file. The parameter target is a pointer to a value of the file's type.
func SchemaOf(target any, title string) ([]byte, error) {
	reflector := jsonschema.Reflector{
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
		Mapper:                     unitSchema,
		Namer:                      publishedTypeName,
	}
	schema := reflector.Reflect(target)
	schema.ID, schema.Title = "", title
	return json.MarshalIndent(schema, "", "  ")
}

// unitSchema returns a copy of the schema of a unit type, or nil for other types. It returns a copy because the reflector
// writes the description of a key into the schema.
func unitSchema(t reflect.Type) *jsonschema.Schema {
	schema, ok := unitSchemas[t]
	if !ok {
		return nil
	}
	clone := *schema
	return &clone
}
