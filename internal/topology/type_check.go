package topology

// Checks of a YAML tree against the Go type into which it will be decoded.

import (
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// maxExcerpt is the maximum number of bytes that a message quotes of a value of the wrong type.
const maxExcerpt = 40

// typeChecker reports the differences between a YAML tree and the type into which it will be decoded.
type typeChecker struct{ report ReportFault }

// checkTypes reports unknown keys, duplicate keys and values of the wrong type.
func checkTypes(root ast.Node, expectedType reflect.Type, report ReportFault) {
	typeChecker{report}.check(root, expectedType, "")
}

// check compares the node at a path with the type that its value should have.
func (c typeChecker) check(node ast.Node, expectedType reflect.Type, path string) {
	for expectedType.Kind() == reflect.Pointer {
		expectedType = expectedType.Elem()
	}
	if anchor, ok := node.(*ast.AnchorNode); ok {
		node = anchor.Value
	}
	switch node.(type) {
	case *ast.AliasNode: // the decoder checks the value of the alias
		return
	case *ast.NullNode:
		c.report(path, "nothing", "a value, or the key omitted")
		return
	}
	if value, ok := reflect.New(expectedType).Interface().(unit); ok {
		c.checkUnit(node, value, path)
		return
	}
	switch expectedType.Kind() {
	case reflect.Struct:
		c.checkStruct(node, expectedType, path)
	case reflect.Map:
		c.checkMap(node, expectedType, path)
	case reflect.Slice:
		c.checkList(node, expectedType, path)
	default:
		c.checkScalar(node, expectedType.Kind(), path)
	}
}

// checkUnit reports a value that is not written with the unit that its type requires.
func (c typeChecker) checkUnit(node ast.Node, value unit, path string) {
	var parseErr *unitError
	if errors.As(value.read(unquoted(node.String())), &parseErr) {
		c.report(path, strconv.Quote(parseErr.text), parseErr.expected+", such as "+parseErr.examples)
	}
}

// checkStruct compares a mapping with a struct, key by key.
func (c typeChecker) checkStruct(node ast.Node, expectedType reflect.Type, path string) {
	entries, ok := entriesOf(node)
	if !ok {
		c.reportValue(node, path, "keys and values")
		return
	}
	fieldTypes := map[string]reflect.Type{}
	var keys []string
	for i := range expectedType.NumField() {
		field := expectedType.Field(i)
		key := yamlKey(field)
		fieldTypes[key] = field.Type
		keys = append(keys, key)
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		key := keyOf(entry)
		fieldType, known := fieldTypes[key]
		switch {
		case !known:
			c.report(keyPath(path, key), "an unknown key", "one of "+strings.Join(keys, ", "))
		case seen[key]:
			c.report(keyPath(path, key), "a duplicate key", "the key only once")
		default:
			c.check(entry.Value, fieldType, keyPath(path, key))
		}
		seen[key] = true
	}
}

// checkMap compares the values of a mapping with the element type of a map.
func (c typeChecker) checkMap(node ast.Node, expectedType reflect.Type, path string) {
	entries, ok := entriesOf(node)
	if !ok {
		c.reportValue(node, path, "keys and values")
		return
	}
	for _, entry := range entries {
		c.check(entry.Value, expectedType.Elem(), keyPath(path, keyOf(entry)))
	}
}

// checkList compares the items of a list with the element type of a slice.
func (c typeChecker) checkList(node ast.Node, expectedType reflect.Type, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		c.reportValue(node, path, "a list")
		return
	}
	for i, value := range list.Values {
		c.check(value, expectedType.Elem(), itemPath(path, i))
	}
}

// checkScalar compares a scalar with a basic type.
func (c typeChecker) checkScalar(node ast.Node, expectedKind reflect.Kind, path string) {
	text := unquoted(node.String())
	switch expectedKind {
	case reflect.Int:
		if _, err := strconv.Atoi(text); err != nil {
			c.reportValue(node, path, "a whole number")
		}
	case reflect.Float64:
		if _, err := strconv.ParseFloat(text, 64); err != nil {
			c.reportValue(node, path, "a number")
		}
	case reflect.Bool:
		if _, err := strconv.ParseBool(text); err != nil {
			c.reportValue(node, path, "true or false")
		}
	case reflect.String:
		if _, ok := node.(ast.ScalarNode); !ok {
			c.reportValue(node, path, "a string")
		}
	}
}

// reportValue reports a value of the wrong type.
func (c typeChecker) reportValue(node ast.Node, path, expected string) {
	c.report(path, "«"+excerpt(node)+"»", expected)
}

// entriesOf returns the entries of a mapping. It returns false if the node is not a mapping. The parser may represent a
// mapping with a single entry as a MappingValueNode.
func entriesOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch node := node.(type) {
	case *ast.MappingNode:
		return node.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{node}, true
	}
	return nil, false
}

// excerpt returns the first line of the text of a node, cut to maxExcerpt bytes.
func excerpt(node ast.Node) string {
	firstLine, _, more := strings.Cut(strings.TrimSpace(node.String()), "\n")
	if len(firstLine) > maxExcerpt || more {
		return firstLine[:min(len(firstLine), maxExcerpt)] + "..."
	}
	return firstLine
}

// yamlKey returns the YAML key of a struct field.
func yamlKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return key
}
