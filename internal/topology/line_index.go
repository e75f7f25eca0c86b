package topology

// Line numbers of keys, for the messages of faults.

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// lineIndex maps the path of each key and list item of a file to its line number, which counts from 1.
type lineIndex map[string]int

// add indexes a node and all nodes below it.
func (l lineIndex) add(node ast.Node, path string) {
	switch node := node.(type) {
	case *ast.MappingNode:
		for _, value := range node.Values {
			l.add(value, path)
		}
	case *ast.MappingValueNode:
		key := keyPath(path, keyOf(node))
		l[key] = node.Key.GetToken().Position.Line
		l.add(node.Value, key)
	case *ast.SequenceNode:
		for i, value := range node.Values {
			item := itemPath(path, i)
			l[item] = value.GetToken().Position.Line
			l.add(value, item)
		}
	}
}

// lineOf returns the line of a key. If the file lacks the key, it returns the line of the nearest enclosing key, or line 1.
func (l lineIndex) lineOf(key string) int {
	for key != "" {
		if line := l[key]; line > 0 {
			return line
		}
		endOfParent := max(0, strings.LastIndexAny(key, ".["))
		key = key[:endOfParent]
	}
	return 1
}

// keyPath returns the path of a key in the mapping at a path.
func keyPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// itemPath returns the path of an item of the list at a path.
func itemPath(path string, item int) string { return fmt.Sprintf("%s[%d]", path, item) }

// keyOf returns the key of an entry of a mapping.
func keyOf(entry *ast.MappingValueNode) string { return unquoted(entry.Key.String()) }

// unquoted returns the text of a scalar without the white space and quotes around it.
func unquoted(scalar string) string { return strings.Trim(strings.TrimSpace(scalar), `"'`) }
