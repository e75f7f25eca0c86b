package topology

// Faults found in operator files, and their messages.

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is one fault in an operator file.
type Fault struct {
	File     string
	Line     int    // from 1; 0: the fault is in the file as a whole
	Key      string // path of the key, such as kinds[2].number; empty: none
	Found    string // what the file has at the key; empty: Expects is the complete message
	Expected string // what is accepted in its place
}

// Error formats the fault as "file:line: key: found x, expected y". It leaves out the parts that are unknown.
func (f Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		location += ": " + f.Key
	}
	if f.Found == "" {
		return location + ": " + f.Expected
	}
	return fmt.Sprintf("%s: found %s, expected %s", location, f.Found, f.Expected)
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

// ReportFault records a fault in a file: the path of the key, such as kinds[2].number, what was found there, and what is
// expected. Later faults of the same key are ignored.
type ReportFault = func(key, found, expected string)

// faultList collects the faults of one file.
type faultList struct {
	file   string
	lines  lineIndex
	faults Faults
	keys   map[string]bool // keys with a fault
}

// report adds a fault, unless the key has one already. It is a ReportFault.
func (l *faultList) report(key, found, expected string) {
	if l.keys[key] {
		return
	}
	l.keys[key] = true
	l.faults = append(l.faults, Fault{File: l.file, Line: l.lines.lineOf(key), Key: key, Found: found, Expected: expected})
}
