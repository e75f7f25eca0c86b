package report

// This file contains the drawing of charts: colors, sizes, lines, dots and PNG images.

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Colors of charts.
var (
	blue   = color.NRGBA{0x2a, 0x62, 0x9a, 0xff}
	red    = color.NRGBA{0xb8, 0x3a, 0x2c, 0xff}
	grey   = color.NRGBA{0x88, 0x88, 0x88, 0xff}
	green  = color.NRGBA{0x3c, 0x8d, 0x4f, 0xff}
	purple = color.NRGBA{0x8a, 0x5a, 0xa8, 0xff}
	ochre  = color.NRGBA{0xb8, 0x86, 0x0b, 0xff}
	colors = []color.Color{blue, red, green, purple, ochre} // for the lines in a chart with several lines
)

// Sizes of a chart. Widths of lines, radii of dots and margins are in points.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
	chartDPI    = 160 // dots per inch

	lineWidth      vg.Length = 1.6
	dotRadius      vg.Length = 2.5
	largeDotRadius vg.Length = 4

	marginLeft   vg.Length = 4
	marginRight  vg.Length = 10 // leaves space for the last label of the axis
	marginBottom vg.Length = 4
	marginTop    vg.Length = 6
)

// Patterns of lines: the lengths of dashes and gaps, in points.
var (
	solid  []vg.Length
	dashed = []vg.Length{5, 3}
)

// newPlot returns an empty plot with a grid and axis labels.
func newPlot(xLabel, yLabel string) *plot.Plot {
	chart := plot.New()
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Add(plotter.NewGrid())
	chart.Legend.Top = true
	return chart
}

// addLine adds a line. If the name is not empty, the line gets an entry in the legend.
func addLine(chart *plot.Plot, lineColor color.Color, name string, points plotter.XYs, pattern []vg.Length) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("line %q: %w", name, err)
	}
	line.Color = lineColor
	line.Width = lineWidth
	line.Dashes = pattern
	chart.Add(line)
	if name != "" {
		chart.Legend.Add(name, line)
	}
	return nil
}

// addDots adds dots. If the name is not empty, the dots get an entry in the legend.
func addDots(chart *plot.Plot, dotColor color.Color, name string, points plotter.XYs, radius vg.Length) error {
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("dots %q: %w", name, err)
	}
	dots.Color = dotColor
	dots.Radius = radius
	chart.Add(dots)
	if name != "" {
		chart.Legend.Add(name, dots)
	}
	return nil
}

// render draws a plot as a PNG image and returns it as a data URL. It does not use SVG, because the computer that displays the page may
// lack the fonts with which the text was laid out.
func render(chart *plot.Plot, width, height vg.Length) (template.URL, error) {
	canvas := vgimg.NewWith(vgimg.UseWH(width, height), vgimg.UseDPI(chartDPI))
	chart.Draw(draw.Crop(draw.New(canvas), marginLeft, -marginRight, marginBottom, -marginTop))
	var png bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(&png); err != nil {
		return "", fmt.Errorf("encode PNG: %w", err)
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes())), nil
}
