// Package report renders the answer of a capacity plan as an HTML page with charts. The page is self-contained: it loads no other
// resources.
package report

import (
	_ "embed" // for the template of the page
	"fmt"
	"html/template"
	"io"
	"math"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/topology"
)

// Input contains the data that a page shows.
type Input struct {
	Fleet  *topology.Topology
	Demand *capacity.Demand
	Goal   *capacity.Goal
	Answer *capacity.Answer
	Notes  []string // sentences that say what was excluded from the captures; may be empty
}

// pageText is the template of the page.
//
//go:embed page.html
var pageText string

// page is the parsed template. Its functions format numbers for the page.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.1f%%", percent*share) },
	"times":   func(factor float64) string { return fmt.Sprintf("%.3g", factor) },
	"whole":   func(number float64) string { return fmt.Sprintf("%.0f", math.Round(number)) },
}).Parse(pageText))

// Write writes the page. It returns an error if a chart cannot be drawn or a write fails.
func Write(out io.Writer, in Input) error {
	charts, err := Charts(in)
	if err != nil {
		return err
	}
	return page.Execute(out, struct {
		Input
		Charts []Chart
	}{in, charts})
}
