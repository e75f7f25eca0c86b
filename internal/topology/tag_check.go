package topology

// Checks of decoded structs against their validate tags.

import (
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// tagValidator checks validate tags. It names fields by their YAML keys.
var tagValidator = newTagValidator()

// newTagValidator creates the validator that tagValidator holds.
func newTagValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlKey)
	return v
}

// mapIndex matches the key of a map entry in a path of the validator, such as [west]. The index of a list item is a number
// and does not match.
var mapIndex = regexp.MustCompile(`\[([^\]0-9][^\]]*)\]`)

// checkTags reports the values that violate the validate tags of target, a pointer to a struct.
func checkTags(target any, report ReportFault) {
	var violations validator.ValidationErrors
	if err := tagValidator.Struct(target); !errors.As(err, &violations) {
		return
	}
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".") // drops the type name of target
		path = mapIndex.ReplaceAllString(path, ".$1")
		report(path, foundValue(violation), expectedByTag(target, violation))
	}
}

// foundValue formats the value that violates a tag for a message.
func foundValue(violation validator.FieldError) string {
	if kind := violation.Kind(); kind == reflect.Slice || kind == reflect.Map {
		return fmt.Sprintf("%d entries", reflect.ValueOf(violation.Value()).Len())
	}
	found := fmt.Sprintf("«%v»", violation.Value())
	if violation.Tag() == "required" && found == "«»" {
		return "nothing"
	}
	return found
}

// expectedByTag describes the values that a tag accepts.
func expectedByTag(target any, violation validator.FieldError) string {
	parameter := violation.Param()
	switch violation.Tag() {
	case "required":
		return "a value"
	case "gt":
		return "more than " + parameter
	case "gte", "min":
		return parameter + " or more"
	case "lte", "max":
		return parameter + " or less"
	case "oneof":
		return "one of " + parameter
	case "gtefield":
		return "no less than " + siblingKey(target, violation.StructNamespace(), parameter)
	}
	return violation.Tag() + " " + parameter
}

// siblingKey returns the YAML key of the field named sibling in the struct that holds the field at a path. The path consists
// of Go names of types and fields, such as Topology.Classes[1].Timeout. If there is no field named sibling, siblingKey
// returns that name.
func siblingKey(target any, path, sibling string) string {
	holder := reflect.TypeOf(target).Elem()
	names := strings.Split(strings.TrimPrefix(path, holder.Name()+"."), ".")
	for _, name := range names[:len(names)-1] {
		name, _, _ = strings.Cut(name, "[")
		field, ok := holder.FieldByName(name)
		if !ok {
			return sibling
		}
		holder = structIn(field.Type)
	}
	field, ok := holder.FieldByName(sibling)
	if !ok {
		return sibling
	}
	return yamlKey(field)
}

// structIn returns the element type of nested pointers, lists and maps.
func structIn(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}
