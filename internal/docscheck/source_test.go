package docscheck

import (
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the path of the repository, relative to this package.
const root = "../.."

// source holds the paths of the repository, and the names and messages in its Go files.
type source struct {
	paths     map[string]bool            // files and directories, with slashes, relative to the root
	baseNames map[string]bool            // names of files, without directories
	declared  map[string]map[string]bool // top-level identifiers and Type.Member, by the name of the package
	tests     map[string][]string        // names of tests, benchmarks and fuzz targets, by directory
	testFlags map[string][]string        // flags that test files define, by directory
	messages  []*regexp.Regexp           // patterns of the string expressions in non-test files
}

// readSource reads the paths of the repository and parses its Go files.
func readSource(t *testing.T) *source {
	t.Helper()
	s := &source{
		paths:     map[string]bool{},
		baseNames: map[string]bool{},
		declared:  map[string]map[string]bool{},
		tests:     map[string][]string{},
		testFlags: map[string][]string{},
	}
	patterns := map[string]bool{}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		return s.addEntry(name, filepath.ToSlash(relative), entry, patterns)
	})
	if err != nil {
		t.Fatal(err)
	}
	for pattern := range patterns {
		s.messages = append(s.messages, regexp.MustCompile(pattern))
	}
	return s
}

// addEntry adds a file or a directory, except .git. It adds the patterns of a Go file's messages to patterns.
func (s *source) addEntry(name, relative string, entry fs.DirEntry, patterns map[string]bool) error {
	if relative == ".git" {
		if entry.IsDir() {
			return fs.SkipDir
		}
		return nil // in a worktree .git is a file
	}
	s.paths[relative] = true
	if entry.IsDir() {
		return nil
	}
	s.baseNames[path.Base(relative)] = true
	if path.Ext(relative) != ".go" {
		return nil
	}
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		return err
	}
	if strings.HasSuffix(relative, "_test.go") {
		s.addTests(path.Dir(relative), file)
		return nil
	}
	s.addDeclarations(file)
	addMessages(patterns, file)
	return nil
}

// addTests adds the tests of one test file, and the flags that it defines.
func (s *source) addTests(directory string, file *ast.File) {
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && function.Recv == nil && testName.FindString(function.Name.Name) == function.Name.Name {
			s.tests[directory] = append(s.tests[directory], function.Name.Name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if name, ok := definedFlag(node); ok {
			s.testFlags[directory] = append(s.testFlags[directory], name)
		}
		return true
	})
}

// definedFlag returns the name of the flag that a node defines. The node must be a call of a function of package flag. The name is the
// first argument, as in flag.Int, or the second, as in flag.IntVar.
func definedFlag(node ast.Node) (name string, ok bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isIdentifier(selector.X, "flag") {
		return "", false
	}
	for _, argument := range call.Args[:min(2, len(call.Args))] {
		if name, ok := stringLiteral(argument); ok {
			return name, true
		}
	}
	return "", false
}

// addDeclarations adds what one file declares at the top level, and the members of its types.
func (s *source) addDeclarations(file *ast.File) {
	names := s.declared[file.Name.Name]
	if names == nil {
		names = map[string]bool{}
		s.declared[file.Name.Name] = names
	}
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			name := declaration.Name.Name
			if declaration.Recv != nil {
				name = receiverType(declaration.Recv.List[0].Type) + "." + name
			}
			names[name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				addSpec(names, spec)
			}
		}
	}
}

// addSpec adds the names that a declaration of constants, variables or a type declares.
func addSpec(names map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[name.Name] = true
		}
	case *ast.TypeSpec:
		names[spec.Name.Name] = true
		for _, member := range membersOf(spec.Type) {
			for _, name := range member.Names {
				names[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// membersOf returns the fields of a struct type or the methods of an interface type. Other types have none.
func membersOf(typeExpression ast.Expr) []*ast.Field {
	switch typeExpression := typeExpression.(type) {
	case *ast.StructType:
		return typeExpression.Fields.List
	case *ast.InterfaceType:
		return typeExpression.Methods.List
	}
	return nil
}

// receiverType returns the name of a receiver's type, without a pointer and type parameters.
func receiverType(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiverType(expression.X)
	case *ast.IndexExpr:
		return receiverType(expression.X)
	case *ast.IndexListExpr:
		return receiverType(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}

// addMessages adds a pattern for each string expression of a file that may be a message: a literal, or a sum of literals and other values.
// In the pattern, formatting verbs and other values are replaced by anyText.
func addMessages(patterns map[string]bool, file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		if _, ok := node.(*ast.ImportSpec); ok {
			return false
		}
		if field, ok := node.(*ast.Field); ok && field.Tag != nil {
			return false
		}
		expression, ok := node.(ast.Expr)
		if !ok {
			return true
		}
		pattern, letters := messagePattern(expression)
		hasValues := strings.Contains(pattern, anyText)
		if letters >= minFixedLetters || letters > 0 && !hasValues {
			patterns["^"+pattern+"$"] = true
		}
		_, isSum := expression.(*ast.BinaryExpr)
		return !isSum || letters == 0 // the parts of a sum are not separate messages
	})
}

const (
	// anyText replaces a value in the pattern of a message.
	anyText = ".+"
	// minFixedLetters is the smallest number of fixed letters in a message with values. It excludes patterns such as that of "%s: no %s",
	// which would match many messages.
	minFixedLetters = 10
)

var (
	formattingVerb = regexp.MustCompile(`%[-+# 0]*[0-9]*(?:\.[0-9]+)?[a-zA-Z]`)
	letter         = regexp.MustCompile(`[A-Za-z]`)
)

// messagePattern returns a pattern of the values of an expression, and how many of their letters are fixed.
func messagePattern(expression ast.Expr) (pattern string, letters int) {
	if text, ok := stringLiteral(expression); ok {
		parts := formattingVerb.Split(text, -1)
		for i, part := range parts {
			letters += len(letter.FindAllString(part, -1))
			parts[i] = regexp.QuoteMeta(part)
		}
		return strings.Join(parts, anyText), letters
	}
	sum, ok := expression.(*ast.BinaryExpr)
	if !ok || sum.Op != token.ADD {
		return anyText, 0
	}
	left, leftLetters := messagePattern(sum.X)
	right, rightLetters := messagePattern(sum.Y)
	return left + right, leftLetters + rightLetters
}

// stringLiteral returns the value of a string literal.
func stringLiteral(expression ast.Expr) (text string, ok bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// isIdentifier reports whether an expression is an identifier with the given name.
func isIdentifier(expression ast.Expr, name string) bool {
	identifier, ok := expression.(*ast.Ident)
	return ok && identifier.Name == name
}

// hasMessage reports whether a string expression of non-test code can have a text as its value.
func (s *source) hasMessage(text string) bool {
	return slices.ContainsFunc(s.messages, func(pattern *regexp.Regexp) bool { return pattern.MatchString(text) })
}

// allTests returns the names of all tests, benchmarks and fuzz targets.
func (s *source) allTests() (all []string) {
	for _, names := range s.tests {
		all = append(all, names...)
	}
	return all
}

// hasTest reports whether a test, benchmark or fuzz target with a name exists.
func (s *source) hasTest(name string) bool {
	for _, names := range s.tests {
		if slices.Contains(names, name) {
			return true
		}
	}
	return false
}

// hasTestPrefix reports whether a test, benchmark or fuzz target whose name begins with a prefix exists.
func (s *source) hasTestPrefix(prefix string) bool {
	for _, names := range s.tests {
		if slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, prefix) }) {
			return true
		}
	}
	return false
}

// hasMember reports whether any package declares an identifier, or Type.Member.
func (s *source) hasMember(name string) bool {
	for _, names := range s.declared {
		if names[name] {
			return true
		}
	}
	return false
}

// hasMemberOfAny reports whether any type of any package has a field or method with a name.
func (s *source) hasMemberOfAny(member string) bool {
	for _, names := range s.declared {
		for name := range names {
			if strings.HasSuffix(name, "."+member) {
				return true
			}
		}
	}
	return false
}

// isStandardPackage reports whether the standard library has a package with a name at its top level.
func isStandardPackage(name string) bool {
	_, err := os.Stat(filepath.Join(build.Default.GOROOT, "src", name))
	return err == nil
}
