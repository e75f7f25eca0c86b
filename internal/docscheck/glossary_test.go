package docscheck

import (
	"os"
	"strings"
	"testing"
)

// glossaryRow is one row of a table of the glossary.
type glossaryRow struct {
	table       string // header of the first column of the row's table
	word        string
	term        string
	identifiers []string // those in backticks in the last column
}

// readGlossary reads the rows of all tables of the glossary.
func readGlossary(t *testing.T) (rows []glossaryRow) {
	t.Helper()
	text, err := os.ReadFile(root + "/docs/glossary.md")
	if err != nil {
		t.Fatal(err)
	}
	table := ""
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "|") {
			table = ""
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if len(cells) != 3 {
			t.Fatalf("%q has %d cells, want 3", line, len(cells))
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case table == "":
			table = cells[0]
		case cells[0] != "---":
			row := glossaryRow{table: table, word: cells[0], term: cells[1]}
			for _, match := range codeSpan.FindAllStringSubmatch(cells[2], -1) {
				row.identifiers = append(row.identifiers, match[1])
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// TestGlossaryIsInOrder fails if the words of a table are not in alphabetical order, or if a word occurs twice or has no term.
func TestGlossaryIsInOrder(t *testing.T) {
	rows := readGlossary(t)
	if len(rows) < 100 {
		t.Fatalf("%d words were read, want at least 100", len(rows))
	}
	previous := glossaryRow{}
	for _, row := range rows {
		if row.term == "" {
			t.Errorf("%s has no term", row.word)
		}
		if row.table == previous.table && sortKey(row.word) <= sortKey(previous.word) {
			t.Errorf("%s is after %s, want alphabetical order and each word once", row.word, previous.word)
		}
		previous = row
	}
}

// sortKey returns the form of a word by which a table is sorted: without backticks, in lower case.
func sortKey(word string) string { return strings.ToLower(strings.ReplaceAll(word, "`", "")) }

// TestGlossaryIdentifiers fails if the glossary's last column names a package, an identifier of a package (package.Name) or a
// member of a type (package.Type.Member) that does not exist in the code.
func TestGlossaryIdentifiers(t *testing.T) {
	source := newChecker(t).source
	for _, row := range readGlossary(t) {
		for _, identifier := range row.identifiers {
			name, member, qualified := strings.Cut(identifier, ".")
			declared, ok := source.declared[name]
			switch {
			case !ok:
				t.Errorf("%s: there is no package %s (%s)", row.word, name, identifier)
			case qualified && !declared[member]:
				t.Errorf("%s: package %s declares no %s", row.word, name, member)
			}
		}
	}
}
