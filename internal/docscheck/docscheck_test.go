package docscheck

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// uncheckedPages are the pages that may name things that do not exist. The glossary lists withdrawn words; its identifiers are checked by
// TestGlossaryIdentifiers.
var uncheckedPages = map[string]bool{"docs/glossary.md": true}

// TestNamesInPagesExist fails if the README or a page in docs/ names something that the repository does not have.
func TestNamesInPagesExist(t *testing.T) {
	pages, err := filepath.Glob(root + "/docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	pages = append(pages, root+"/README.md")
	if len(pages) < 2 {
		t.Fatal("no pages were found")
	}
	pageChecker := newChecker(t)
	for _, page := range pages {
		name := filepath.ToSlash(strings.TrimPrefix(page, root+string(filepath.Separator)))
		if uncheckedPages[name] {
			continue
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		pageChecker.checkPage(name, string(text))
	}
	for _, finding := range pageChecker.findings {
		t.Error(finding)
	}
}

// The source and the program, which are read once and shared by all checkers.
var (
	readOnce sync.Once
	shared   checker
)

// newChecker returns a checker without findings.
func newChecker(t *testing.T) *checker {
	t.Helper()
	readOnce.Do(func() {
		shared = checker{source: readSource(t), program: buildProgram(t)}
	})
	if shared.source == nil || shared.program == nil {
		t.Fatal("the repository could not be read")
	}
	return &checker{source: shared.source, program: shared.program}
}

// TestMain creates the folder for the program that the tests build, and removes it after the tests.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "docscheck")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	status := m.Run()
	os.RemoveAll(folder)
	os.Exit(status)
}

// TestOnCallQuotesLogLines fails if the on-call page no longer quotes log lines in the form that the checker recognizes.
func TestOnCallQuotesLogLines(t *testing.T) {
	text, err := os.ReadFile(root + "/docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	const minQuotes = 20
	if quotes := len(loggedText.FindAllString(string(text), -1)); quotes < minQuotes {
		t.Errorf("docs/oncall.md quotes %d log lines, want at least %d", quotes, minQuotes)
	}
}

// TestCheckerReportsMissingNames checks that the checker reports names that do not exist, and accepts names that do.
func TestCheckerReportsMissingNames(t *testing.T) {
	cases := []struct {
		name string
		text string // a page
		want string // part of the findings; empty: there must be none
	}{
		{"a directory that is not there", "see `nowhere/`", "there is no nowhere/"},
		{"a directory below one that is there", "see `internal/nowhere`", "there is no internal/nowhere"},
		{"a file that is not there", "see `cmd/indigochute/nothing.go`", "there is no cmd/indigochute/nothing.go"},
		{"a file named without its directory", "see `nothing_of_the_kind.go`", "no file is called"},
		{"a built program without a source", "start `bin/nothing`", "there is no cmd/nothing"},
		{"a page that is not there", "more in nowhere.md.", "there is no page nowhere.md"},
		{"a package that is not there", "`nopackage.Thing` decides", "there is no package nopackage"},
		{"an identifier that is not there", "`docscheck.Thing` decides", "package docscheck declares no Thing"},
		{"a member that is not there", "`Thing.Member` decides", "no package declares Thing.Member"},
		{"a member of a page's variable", "`r.NoSuchMember()` tells", "no type has a field or method NoSuchMember"},
		{"a command that is not there", "call `indigochute nothing`", "has no \"nothing\""},
		{"a command in an example", "    bin/indigochute nothing x.yaml", "has no \"nothing\""},
		{"a command behind a variable", "    A=b indigochute nothing", "has no \"nothing\""},
		{"an argument that a command does not take", "call `indigochute schema nothing`", "has no \"nothing\""},
		{"a command with a flag it lacks", "call `indigochute serve --nothing`", "has no flag --nothing"},
		{"a flag on a continued line", "    indigochute serve \\\n      --nothing", "has no flag --nothing"},
		{"a short form with a flag it lacks", "call `serve --nothing`", "has no flag --nothing"},
		{"a short form of no command", "call `nothing --json`", "is not a command"},
		{"a flag of no command", "with `--nothing`", "no command has a flag --nothing"},
		{"a test that is not there", "| crossing | TestOfNothingAtAll |", "there is no TestOfNothingAtAll"},
		{"a test in backticks", "`TestOfNothingAtAll`", "there is no TestOfNothingAtAll"},
		{"benchmarks by their beginning", "`BenchmarkOfNothing...`", "no test's name begins with BenchmarkOfNothing"},
		{"a go test of no package", "`go test ./nowhere`", "there is no nowhere"},
		{"a go test of no test", "`go test ./internal/docscheck -run OfNothing`", "has no test that matches OfNothing"},
		{"a go test with a flag of no test", "`go test ./internal/docscheck -nothing`", "no test defines the flag -nothing"},
		{"a log line that is not written", "Log: `nothing of this kind is logged`", "no string of non-test code reads"},
		{"a log line in part", "Log: `operator file read`", "no string of non-test code reads"},
		{"a log line without backticks", "Log: nothing", "is expected"},
		{"an error that is not written", "Error: `nothing N of this kind`", "no string of non-test code reads"},

		{"a directory", "see `internal/docscheck/`", ""},
		{"a file", "see `cmd/indigochute/main.go`, `main.go`", ""},
		{"a page", "more in oncall.md and `docs/oncall.md`", ""},
		{"a page of others", "PROTOCOL.md has the fields", ""},
		{"an identifier of the standard library", "`errors.Is`", ""},
		{"commands", "`indigochute serve`, `indigochute completion bash`, `indigochute schema fleet`, `schema operator`", ""},
		{"a command with its flag", "`indigochute check FILE --operator x.yaml`, `--log-format json`", ""},
		{"a test", "TestCheckerReportsMissingNames", ""},
		{"a go test", "`go test ./internal/docscheck -run CheckerReportsMissingNames -v`", ""},
		{"a field of a message", "`peer.subscribers`, `known`, `true`", ""},
		{"a log line", "Log: `serving`", ""},
		{"a log line with a value", "Log: `connection to ADDRESS`, Field: `error`", ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			pageChecker := newChecker(t)
			pageChecker.checkPage("page.md", test.text)
			got := strings.Join(pageChecker.findings, "\n")
			if test.want == "" && got != "" {
				t.Errorf("reported for %q: %s, want nothing", test.text, got)
			}
			if !strings.Contains(got, test.want) {
				t.Errorf("reported for %q: %q, want %q", test.text, got, test.want)
			}
		})
	}
}
