package topology

// Faults of an operator file, as messages for operators.

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is one fault in a file.
type Fault struct {
	File     string
	Line     int    // from 1; 0: the fault is in the file as a whole
	Key      string // path of the key, such as kinds[2].number; empty: none
	Found    string // what the file has; empty: Expects is the complete message
	Expected string // what is expected
}

// Error returns the file, the line, the key, what was found and what is expected, as far as they are known.
func (f Fault) Error() string {
	where := f.File
	if f.Line > 0 {
		where += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		where += ": " + f.Key
	}
	if f.Found == "" {
		return where + ": " + f.Expected
	}
	return fmt.Sprintf("%s: found %s, expected %s", where, f.Found, f.Expected)
}

// Faults are all faults of a file, in the order of lines.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// ReportFault reports one fault in a file: the path of the key, such as kinds[2].number, what was found there, and what is
// expected. Only the first fault of a key is kept.
type ReportFault = func(key, found, expects string)

// faultList collects the faults of one file.
type faultList struct {
	file   string
	lines  lineIndex
	faults Faults
	keys   map[string]bool // keys with a fault
}

// report adds a fault. It is a ReportFault.
func (l *faultList) report(key, found, expects string) {
	if l.keys[key] {
		return
	}
	l.keys[key] = true
	l.faults = append(l.faults, Fault{File: l.file, Line: l.lines.lineOf(key), Key: key, Found: found, Expected: expects})
}
