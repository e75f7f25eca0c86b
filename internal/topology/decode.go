package topology

// Reading of operator files: a file becomes a value, or the list of all its faults.

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes is the maximum size of a file. A larger file is a mistake, and its parsing would take much memory and time.
const maxFileBytes = 16 << 20

// Read reads a description from a file. The error is of type Faults if the file can be read but has faults.
func Read(path string) (*Topology, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw)
}

// Parse reads a description from the contents of a file and sets defaults. The error is of type Faults and names the file.
func Parse(file string, raw []byte) (*Topology, error) {
	t := &Topology{}
	if err := Decode(file, raw, t, t.check); err != nil {
		return nil, err
	}
	t.setDefaults()
	return t, nil
}

// Decode reads strict YAML into target, a pointer to a struct with yaml and validate tags. The function check, which may be
// nil, reports faults that tags cannot express. The error is of type Faults, in the order of lines. All operator files are
// read by Decode.
func Decode(file string, raw []byte, target any, check func(report ReportFault)) error {
	root, fault := parseDocument(file, raw)
	if fault != nil {
		return Faults{*fault}
	}
	list := faultList{file: file, lines: lineIndex{}, keys: map[string]bool{}}
	list.lines.add(root, "")
	// Types are checked before decoding, because the decoder stops at the first fault.
	checkTypes(root, reflect.TypeOf(target).Elem(), list.report)
	if len(list.faults) == 0 {
		if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(target); err != nil {
			publishField(err)
			return Faults{yamlFault(file, err)}
		}
		checkTags(target, list.report)
		if check != nil {
			check(list.report)
		}
	}
	if len(list.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(list.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return list.faults
}

// parseDocument returns the root of the only document in a file.
func parseDocument(file string, raw []byte) (ast.Node, *Fault) {
	if len(raw) > maxFileBytes {
		return nil, &Fault{File: file, Expected: fmt.Sprintf("at most %d MB expected", maxFileBytes>>20)}
	}
	tree, err := parser.ParseBytes(raw, 0)
	if err != nil {
		fault := yamlFault(file, err)
		return nil, &fault
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return nil, &Fault{File: file, Found: fmt.Sprintf("%d documents, or an empty one", len(tree.Docs)), Expected: "one document"}
	}
	return tree.Docs[0].Body, nil
}

// yamlPosition matches the beginning of an error of the YAML library: [line:column].
var yamlPosition = regexp.MustCompile(`^\[(\d+):\d+\] *`)

// yamlFault returns an error of the YAML library as a fault, with its first line only.
func yamlFault(file string, err error) Fault {
	firstLine, _, _ := strings.Cut(err.Error(), "\n")
	position := yamlPosition.FindStringSubmatch(firstLine)
	if position == nil {
		return Fault{File: file, Expected: firstLine}
	}
	line, _ := strconv.Atoi(position[1])
	return Fault{File: file, Line: line, Expected: strings.TrimPrefix(firstLine, position[0])}
}
