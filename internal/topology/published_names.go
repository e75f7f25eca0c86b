package topology

// Published names of Go types and fields. Operators see them in the schema and in messages of the YAML decoder, so they do
// not change when the Go names change.

import (
	"errors"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
)

// publishedTypes holds the types whose published name differs from the Go name.
var publishedTypes = map[reflect.Type]string{
	reflect.TypeFor[Topology]():     "Fleet",
	reflect.TypeFor[CacheKind]():    "Kind",
	reflect.TypeFor[RequestClass](): "Vhost",
	reflect.TypeFor[SlowStart]():    "Cold",
}

// publishedFields holds the fields of a Topology whose published name differs from the Go name. The messages of the decoder
// name fields of the outermost struct only.
var publishedFields = map[string]string{
	"Classes":         "Vhosts",
	"SlowStart":       "Cold",
	"ParentSlowStart": "ParentCold",
	"ListDelay":       "News",
}

// publishedTypeName returns the published name of a type, or an empty string if the type is published under its Go name.
func publishedTypeName(t reflect.Type) string { return publishedTypes[t] }

// publishField replaces the Go name of a Topology field in an error of the decoder by the published name. It leaves other
// errors unchanged.
func publishField(err error) {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) || typeError.StructFieldName == nil {
		return
	}
	topologyType := reflect.TypeFor[Topology]()
	field, ok := strings.CutPrefix(*typeError.StructFieldName, topologyType.Name()+".")
	if !ok {
		return
	}
	if published, renamed := publishedFields[field]; renamed {
		field = published
	}
	name := publishedTypeName(topologyType) + "." + field
	typeError.StructFieldName = &name
}
