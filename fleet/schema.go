package fleet

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

// Schema is the JSON Schema of a description, made from the types.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{FieldNameTag: "yaml", DoNotReference: false, RequiredFromJSONSchemaTags: true}
	patterns := map[reflect.Type]*jsonschema.Schema{
		reflect.TypeFor[Span]():  {Type: "string", Pattern: `^([0-9.]+(ns|us|µs|ms|s|m|h))+$`, Examples: []any{"300ms"}},
		reflect.TypeFor[Size]():  {Type: "string", Pattern: `^[0-9.]+ ?(GB|MB|KB|B)$`, Examples: []any{"64KB"}},
		reflect.TypeFor[Rate]():  {Type: "string", Pattern: `^[0-9.]+ ?(GB|MB|KB|B)/s$`, Examples: []any{"400KB/s"}},
		reflect.TypeFor[Share](): {OneOf: []*jsonschema.Schema{{Type: "string", Pattern: `^[0-9.]+ ?%$`}, {Type: "number", Minimum: "0", Maximum: "1"}}},
	}
	r.Mapper = func(t reflect.Type) *jsonschema.Schema { return patterns[t] }
	s := r.Reflect(&Fleet{})
	s.ID, s.Title = "", "A fleet for indigochute"
	return json.MarshalIndent(s, "", "  ")
}
