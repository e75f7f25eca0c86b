package docscheck

import (
	"fmt"
	"path"
	"regexp"
	"slices"
	"strings"
)

// checker checks that the paths, identifiers, commands, flags, tests and messages that pages name exist. It records those that do not exist
// as findings.
type checker struct {
	source   *source
	program  *program
	findings []string // faults of the pages, each with the page and the line
	position string   // page and line that are checked at present
}

// report records a fault at the current position.
func (c *checker) report(format string, values ...any) {
	c.findings = append(c.findings, c.position+": "+fmt.Sprintf(format, values...))
}

// Forms in which pages name things.
var (
	codeSpan       = regexp.MustCompile("`([^`]+)`")
	loggedText     = regexp.MustCompile("(?:Log|Error|Ending|Field): ?(`[^`]*`)?")
	testName       = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z][A-Za-z0-9_]*`)
	pageName       = regexp.MustCompile(`(?:^|[\s(|,;"])((?:docs/)?[A-Za-z][A-Za-z-]*\.md)\b`)
	repositoryPath = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)*/?$`)
	qualifiedName  = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*(?:\.[A-Za-z]\w*)?)(?:\(.*\))?$`)
	memberName     = regexp.MustCompile(`^[A-Z]\w*\.[A-Za-z]\w*$`)
	plainWord      = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
	longFlag       = regexp.MustCompile(`^--[a-z][a-z-]*`)
	shortFlag      = regexp.MustCompile(`^-[a-z]+$`)
	variable       = regexp.MustCompile(`^[A-Z_]+=`)
)

// Things that pages may name although this repository does not have them.
var (
	outsidePages    = []string{"PROTOCOL.md", "STANDING.md"}    // pages of the operators
	outsidePrograms = []string{"go", "hunt", "lbreal", "lbsim"} // programs of the toolchain and of the operators
	outputFolders   = []string{"out", "logs"}                   // folders that examples write to
	goTestFlags     = []string{"-run", "-bench", "-count", "-v", "-race", "-p", "-tags", "-benchtime", "-short", "-timeout"}
	shortFlags      = []string{"-h", "-v"} // the program's flags in their short form
)

const (
	builtFolder   = "bin/" // folder to which the build in the README writes the programs of commandFolder
	commandFolder = "cmd/"
)

// checkPage checks one page. An indented line is an example; a backslash at its end continues it on the next line.
func (c *checker) checkPage(name, text string) {
	lines := strings.Split(text, "\n")
	for i := 0; i < len(lines); i++ {
		c.position = fmt.Sprintf("%s:%d", name, i+1)
		line := lines[i]
		if !strings.HasPrefix(line, "    ") {
			c.checkLine(line)
			continue
		}
		for strings.HasSuffix(line, `\`) && i+1 < len(lines) {
			i++
			line = strings.TrimSuffix(line, `\`) + lines[i]
		}
		c.checkExample(line)
	}
}

// checkLine checks a line of text or of a table.
func (c *checker) checkLine(line string) {
	for _, match := range loggedText.FindAllStringSubmatch(line, -1) {
		c.checkLogged(strings.Trim(match[1], "`"))
	}
	rest := loggedText.ReplaceAllString(line, "")
	for _, match := range codeSpan.FindAllStringSubmatch(rest, -1) {
		c.checkSpan(match[1])
	}
	rest = codeSpan.ReplaceAllString(rest, "")
	for _, name := range testName.FindAllString(rest, -1) {
		c.checkTest(name)
	}
	for _, match := range pageName.FindAllStringSubmatch(rest, -1) {
		c.checkPageName(match[1])
	}
}

// checkLogged checks a message or another text that a page quotes from a log. Where the source inserts a value, any text is accepted. Pages
// write a word in capitals there.
func (c *checker) checkLogged(message string) {
	if message == "" {
		c.report(`after "Log:", "Error:", "Ending:" or "Field:" a text in backticks is expected`)
		return
	}
	if !c.source.hasMessage(message) {
		c.report("no string of non-test code reads %q", message)
	}
}

// checkSpan checks the text between two backticks.
func (c *checker) checkSpan(text string) {
	words := strings.Fields(text)
	for len(words) > 0 && variable.MatchString(words[0]) {
		words = words[1:]
	}
	if len(words) == 0 {
		return
	}
	first := words[0]
	switch {
	case first == "go" && len(words) > 1 && words[1] == "test":
		c.checkGoTest(words[2:])
	case isProgram(first):
		c.checkCall(words[1:], false)
	case len(words) > 1 && plainWord.MatchString(first) && c.program.isCommand(first):
		c.checkCall(words, true)
	case len(words) == 2 && (first == "bench" || first == "play"):
		c.checkShortForm(first, words[1])
	case len(words) == 1:
		c.checkWord(first)
	case looksLikeCall(words):
		c.report("%q is not a command of the program", text)
	case longFlag.MatchString(first):
		c.checkLoneFlag(first)
	case first == "bash" || strings.HasPrefix(first, "./"):
		script := words[len(words)-1]
		c.checkWord(strings.TrimPrefix(script, "./"))
	default:
		for _, name := range testName.FindAllString(text, -1) {
			c.checkTest(name)
		}
	}
}

// looksLikeCall reports whether words look like a call of the program in the short form: they begin with a word and contain a long flag.
// Calls of programs outside of the repository do not count.
func looksLikeCall(words []string) bool {
	first := words[0]
	return slices.ContainsFunc(words, longFlag.MatchString) && !strings.HasPrefix(first, "-") &&
		!slices.Contains(outsidePrograms, path.Base(first))
}

// checkWord checks a single word between backticks.
func (c *checker) checkWord(word string) {
	switch {
	case isTestName(word):
		if prefix, isPrefix := strings.CutSuffix(word, "..."); !isPrefix {
			c.checkTest(word)
		} else if !c.source.hasTestPrefix(prefix) {
			c.report("no test's name begins with %s", prefix)
		}
	case longFlag.MatchString(word):
		c.checkLoneFlag(word)
	case shortFlag.MatchString(word):
		c.checkTestFlag(word, nil)
	case qualifiedName.MatchString(word):
		c.checkQualified(word)
	case memberName.MatchString(word) && !strings.HasSuffix(word, ".md"):
		if !c.source.hasMember(word) {
			c.report("no package declares %s", word)
		}
	case repositoryPath.MatchString(word):
		c.checkPath(word)
	}
}

// isTestName reports whether a word is the name of a test, or the beginning of one with three dots after it.
func isTestName(word string) bool {
	name := testName.FindString(word)
	return name != "" && name == strings.TrimSuffix(word, "...")
}

// checkPath checks a word that has the form of a path: one with a slash, or the name of a Go file or of a page.
func (c *checker) checkPath(name string) {
	top, _, slash := strings.Cut(name, "/")
	switch {
	case top == ".." || slices.Contains(outputFolders, top):
	case strings.HasPrefix(name, builtFolder):
		c.checkPath(commandFolder + strings.TrimPrefix(name, builtFolder))
	case slash:
		if !c.source.paths[strings.TrimSuffix(name, "/")] {
			c.report("there is no %s", name)
		}
	case strings.HasSuffix(name, ".md"):
		c.checkPageName(name)
	case strings.HasSuffix(name, ".go"):
		if !c.source.baseNames[name] {
			c.report("no file is called %s", name)
		}
	}
}

// checkPageName checks the name of a page. The folder docs/ may be left out.
func (c *checker) checkPageName(name string) {
	if !slices.Contains(outsidePages, name) && !c.source.paths[name] && !c.source.paths["docs/"+name] {
		c.report("there is no page %s", name)
	}
}

// checkQualified checks an identifier with its package, or a member with a variable of one letter. The variable may be of any type.
func (c *checker) checkQualified(name string) {
	match := qualifiedName.FindStringSubmatch(name)
	qualifier, identifier := match[1], match[2]
	if isVariable := len(qualifier) == 1; isVariable {
		if member, _, _ := strings.Cut(identifier, "."); !c.source.hasMemberOfAny(member) {
			c.report("no type has a field or method %s (%s)", member, name)
		}
		return
	}
	declared, ok := c.source.declared[qualifier]
	switch {
	case !ok && !isStandardPackage(qualifier):
		c.report("there is no package %s (%s)", qualifier, name)
	case ok && !declared[identifier]:
		c.report("package %s declares no %s", qualifier, identifier)
	}
}

// checkTest checks the name of a test, benchmark or fuzz target.
func (c *checker) checkTest(name string) {
	if !c.source.hasTest(name) {
		c.report("there is no %s", name)
	}
}

// checkShortForm checks the short forms of the capacity page: "bench X" means the benchmarks whose names begin with BenchmarkX, and
// "play X" means the test X.
func (c *checker) checkShortForm(form, name string) {
	if name == "X" {
		return
	}
	if form == "play" {
		c.checkTest(name)
		return
	}
	top, _, _ := strings.Cut(name, "/")
	if !c.source.hasTestPrefix("Benchmark" + top) {
		c.report("no benchmark's name begins with Benchmark%s", top)
	}
}

// checkExample checks the calls of the program and of go test in an indented line.
func (c *checker) checkExample(line string) {
	for _, call := range strings.Split(line, ";") {
		call, _, _ = strings.Cut(call, " #")
		c.checkExampleCall(shellWords(call))
	}
}

// checkExampleCall checks one call of an example if it calls the program or go test.
func (c *checker) checkExampleCall(words []string) {
	for i, word := range words {
		switch {
		case isProgram(word):
			c.checkCall(words[i+1:], false)
			return
		case word == "test" && i > 0 && words[i-1] == "go":
			c.checkGoTest(words[i+1:])
			return
		case !mayPrecedeProgram(word):
			return
		}
	}
}

// mayPrecedeProgram reports whether a word of an example may precede the name of a program.
func mayPrecedeProgram(word string) bool {
	return variable.MatchString(word) || word == "do" || word == "go" || word == "bash"
}

// isProgram reports whether a word names the program.
func isProgram(word string) bool {
	return word == programName || word == builtFolder+programName || word == commandFolder+programName
}

// shellWord matches a word of a command line. A quoted text is one word.
var shellWord = regexp.MustCompile(`'[^']*'|"[^"]*"|\S+`)

// shellWords splits a command line.
func shellWords(line string) []string { return shellWord.FindAllString(line, -1) }

// checkCall checks the arguments of a call of the program: commands, their arguments and flags. The short form of a call leaves out the
// program. In that form, plain words that do not begin with a command are text, not a call.
func (c *checker) checkCall(words []string, short bool) {
	names := leadingPlainWords(words)
	command, err := c.program.command(names)
	if err != nil {
		c.report("%v", err)
		return
	}
	commandText := programName + " " + strings.Join(command.words, " ")
	arguments := names[len(command.words):]
	isText := short && len(words) == len(names) && len(command.words) == 0
	if len(arguments) > 0 && !command.accepts(arguments[0]) && !isText {
		c.report("%s has no %q", commandText, arguments[0])
	}
	for _, word := range words {
		if flag := longFlag.FindString(word); flag != "" && !command.hasFlag(flag) {
			c.report("%s has no flag %s", commandText, flag)
		}
	}
	for i, word := range words {
		if word == "--run" && i+1 < len(words) && !matchesAny(c.source.allTests(), words[i+1]) {
			c.report("no benchmark matches %s", words[i+1])
		}
	}
}

// leadingPlainWords returns the words before the first one that cannot be a command.
func leadingPlainWords(words []string) []string {
	end := slices.IndexFunc(words, func(word string) bool { return !plainWord.MatchString(word) })
	if end < 0 {
		return words
	}
	return words[:end]
}

// checkLoneFlag checks a flag that a page names without a command.
func (c *checker) checkLoneFlag(word string) {
	flag := longFlag.FindString(word)
	for _, command := range c.program.all() {
		if command.hasFlag(flag) {
			return
		}
	}
	c.report("no command has a flag %s", flag)
}

// goTestPlaceholders are the patterns of tests by which pages mean any test or no test.
var goTestPlaceholders = []string{"X", "XXX", "^$", "."}

// checkGoTest checks the arguments of go test: its packages, the tests that it runs, and the flags of the packages' tests.
func (c *checker) checkGoTest(words []string) {
	directories := c.checkGoTestDirectories(words)
	var tests []string
	for _, directory := range directories {
		tests = append(tests, c.source.tests[directory]...)
	}
	for i, word := range words {
		switch {
		case (word == "-run" || word == "-bench") && i+1 < len(words):
			pattern := strings.Trim(words[i+1], "'")
			if !slices.Contains(goTestPlaceholders, pattern) && !matchesAny(tests, pattern) {
				c.report("%s has no test that matches %s", strings.Join(directories, ", "), pattern)
			}
		case shortFlag.MatchString(word) && !slices.Contains(goTestFlags, word):
			c.checkTestFlag(word, directories)
		}
	}
}

// checkGoTestDirectories checks and returns the directories among the arguments of go test.
func (c *checker) checkGoTestDirectories(words []string) (directories []string) {
	for _, word := range words {
		directory, ok := strings.CutPrefix(word, "./")
		if !ok || directory == "..." {
			continue
		}
		if !c.source.paths[directory] {
			c.report("there is no %s", directory)
		}
		directories = append(directories, directory)
	}
	return directories
}

// matchesAny reports whether a pattern of go test matches one of the tests. It considers only the part of the pattern for top-level tests.
func matchesAny(tests []string, pattern string) bool {
	top, _, _ := strings.Cut(pattern, "/")
	expression, err := regexp.Compile(top)
	return err == nil && slices.ContainsFunc(tests, expression.MatchString)
}

// checkTestFlag checks a flag of the tests in some directories. Without directories, any tests may define it.
func (c *checker) checkTestFlag(word string, directories []string) {
	if slices.Contains(shortFlags, word) || slices.Contains(goTestFlags, word) {
		return
	}
	name := strings.TrimPrefix(word, "-")
	for directory, flags := range c.source.testFlags {
		isSearched := len(directories) == 0 || slices.Contains(directories, directory)
		if isSearched && slices.Contains(flags, name) {
			return
		}
	}
	c.report("no test defines the flag %s", word)
}
