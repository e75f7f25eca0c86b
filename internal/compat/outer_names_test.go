package compat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// repositoryRoot is the root of the module, seen from this package.
const repositoryRoot = "../.."

// TestOuterNamesAreInSource fails if the source no longer has a name that other programs, stored files or operators depend on. The list
// has one name a line: fields and values of messages, keys of configuration and stored files, commands, flags, environment variables,
// keys and values of JSON output, fields of log lines, and figures of scenarios.
func TestOuterNamesAreInSource(t *testing.T) {
	const minNames = 650 // a truncated list would pass otherwise
	listed := strings.Fields(string(readGolden(t, "outer_names.txt")))
	if len(listed) < minNames {
		t.Fatalf("the list has %d names, want at least %d", len(listed), minNames)
	}
	if !slices.IsSorted(listed) || len(slices.Compact(slices.Clone(listed))) != len(listed) {
		t.Error("the list is not sorted, or has a name twice")
	}
	inSource := namesInSource(t)
	for _, name := range listed {
		if !inSource[name] {
			t.Errorf("%q is not a string constant, key of a struct tag or command in non-test code", name)
		}
	}
}

// namesInSource returns the string constants of the non-test source, the names in its json and yaml struct tags, and the names of its
// commands.
func namesInSource(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains([]string{".git", "bin", "docs", "journal", "testdata"}, entry.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, source, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool { return addNames(names, node) })
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// addNames adds the names that one node of a syntax tree holds, and reports whether the nodes below it may hold more.
func addNames(names map[string]bool, node ast.Node) bool {
	switch n := node.(type) {
	case *ast.ImportSpec:
		return false
	case *ast.Field:
		if n.Tag != nil {
			addTag(names, n.Tag)
		}
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Use" {
			// The usage of a command begins with the name of the command.
			name, _, _ := strings.Cut(stringValue(n.Value), " ")
			names[name] = true
		}
	case *ast.BasicLit:
		names[stringValue(n)] = true
	}
	return true
}

// addTag adds the names in the json and yaml keys of a struct tag.
func addTag(names map[string]bool, literal *ast.BasicLit) {
	tag := reflect.StructTag(stringValue(literal))
	for _, key := range []string{"json", "yaml"} {
		name, _, _ := strings.Cut(tag.Get(key), ",")
		names[name] = true
	}
}

// stringValue returns the value of a string literal, or an empty text for any other expression.
func stringValue(expression ast.Expr) string {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return value
}
