package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// newTable returns a table with the given column headers. Its Render method prints it to out.
func newTable(out io.Writer, header ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.SetStyle(table.StyleLight)
	writer.AppendHeader(header)
	return writer
}

// printResult prints the result of a command: as JSON if asJSON is set, otherwise by calling printText.
func printResult(out io.Writer, asJSON bool, value any, printText func(out io.Writer)) error {
	if asJSON {
		return printJSON(out, value)
	}
	printText(out)
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}

// percent formats a share from 0 to 1.
func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

// times formats a factor with three significant digits.
func times(factor float64) string { return fmt.Sprintf("%.3g", factor) }
