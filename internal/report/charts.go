package report

// This file contains the charts of an answer.

import (
	"fmt"
	"html/template"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"indigochute.example/indigochute/internal/capacity"
)

// Chart is one chart of an answer.
type Chart struct {
	Name    string // usable as a file name
	Title   string
	Caption string       // sentence that describes what the chart shows
	PNG     template.URL // the image as a data URL
}

// Limits, units and sizes of chart contents.
const (
	maxBars        = 16  // maximum number of bars in the utilization chart, which has one for each limit
	shareAxisTop   = 101 // percent; above 100, so that a line at 100 does not touch the border of the chart
	minChartMemory = 1e4 // bytes at which miss-ratio curves start
	megabyte       = 1e6 // bytes
	percent        = 100 // percent in a share of 1
	slotMiddle     = 0.5 // position in a time slot at which its share is drawn
	barHeight      = 0.5 // centimeters per bar
	barChartFrame  = 2   // centimeters above and below the bars
)

// Sizes of bars, in points.
const (
	barWidth   vg.Length = 9
	barPadding vg.Length = 4 // above and below all bars
)

// Charts draws all charts of an answer. It omits charts for which the answer has no data.
func Charts(in Input) (charts []Chart, err error) {
	for _, draw := range []func(Input) (*Chart, error){loadChart, utilizationChart, shortfallChart, missChart} {
		chart, err := draw(in)
		if err != nil {
			return nil, fmt.Errorf("draw chart: %w", err)
		}
		if chart != nil {
			charts = append(charts, *chart)
		}
	}
	return charts, nil
}

// loadChart draws the share of requests within their aim against the load, and the load at which the goal breaks.
func loadChart(in Input) (*Chart, error) {
	found, goal := in.Answer.FirstBreak, percent*in.Goal.WantedShare()
	chart := newPlot("load, as a multiple of the captured load", "requests within aim, %")
	var runs, isotonic plotter.XYs
	shares := capacity.IsotonicShares(found.Points)
	lowest := goal
	for i, point := range found.Points {
		runs = append(runs, plotter.XY{X: point.Factor, Y: percent * point.Share})
		isotonic = append(isotonic, plotter.XY{X: point.Factor, Y: percent * shares[i]})
		lowest = min(lowest, percent*point.Share)
	}
	if err := addDots(chart, blue, "plays", runs, dotRadius); err != nil {
		return nil, err
	}
	if err := addLine(chart, blue, "levelled", isotonic, solid); err != nil {
		return nil, err
	}
	first, last := found.Points[0].Factor, found.Points[len(found.Points)-1].Factor
	if err := addGoal(chart, goal, first, last); err != nil {
		return nil, err
	}
	caption := fmt.Sprintf("The goal held up to %.3g times the captured load.", found.Factor)
	if !found.AlwaysHolds && !found.NeverHolds {
		breakLine := plotter.XYs{{X: found.Factor, Y: lowest}, {X: found.Factor, Y: percent}}
		if err := addLine(chart, red, "breaks", breakLine, dashed); err != nil {
			return nil, err
		}
		caption = fmt.Sprintf("The goal breaks at %.3g times the captured load, %.4g reqs/s.", found.Factor, found.Rate)
	}
	chart.Y.Max = shareAxisTop
	chart.Legend.Top = false
	chart.Legend.Left = true
	png, err := render(chart, chartWidth, chartHeight)
	return &Chart{Name: "load", Title: "Load and the goal", Caption: caption, PNG: png}, err
}

// addGoal adds a horizontal line at the share of the goal, in percent.
func addGoal(chart *plot.Plot, goal, from, to float64) error {
	return addLine(chart, grey, "goal", plotter.XYs{{X: from, Y: goal}, {X: to, Y: goal}}, dashed)
}

// utilizationChart draws the utilization of the fullest limits at the load where the goal breaks. It returns nil if no limit was used.
func utilizationChart(in Input) (*Chart, error) {
	fullest := slices.Clone(in.Answer.FirstBreak.Utilizations)
	fullest = fullest[:min(maxBars, len(fullest))]
	if len(fullest) == 0 {
		return nil, nil
	}
	slices.Reverse(fullest) // the first bar is drawn at the bottom
	var values plotter.Values
	var names []string
	for _, utilization := range fullest {
		values = append(values, percent*utilization.Used)
		names = append(names, utilization.Name+" "+utilization.Resource)
	}
	chart := newPlot("utilization, %", "")
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	bars.Horizontal = true
	bars.Color = blue
	bars.LineStyle.Width = 0
	chart.Add(bars)
	chart.NominalY(names...)
	chart.Y.Padding = barPadding
	chart.X.Min, chart.X.Max = 0, percent
	height := vg.Length(barChartFrame+barHeight*float64(len(names))) * vg.Centimeter
	png, err := render(chart, chartWidth, height)
	return &Chart{
		Name:    "fullness",
		Title:   "Utilization of limits at the load where the goal breaks",
		Caption: "Cores of caches, and links of zones, parents and the origin. The fullest limit is at the top.",
		PNG:     png,
	}, err
}

// shortfallChart draws the share of requests within their aim over time after each loss. It returns nil if the goal names no loss.
func shortfallChart(in Input) (*Chart, error) {
	if len(in.Answer.Losses) == 0 {
		return nil, nil
	}
	chart := newPlot("time since the loss, s", "requests within aim, %")
	end, goal := 0.0, percent*in.Goal.WantedShare()
	for i, loss := range in.Answer.Losses {
		var shares plotter.XYs
		for slot, share := range loss.ShareOverTime {
			seconds := (float64(slot) + slotMiddle) * capacity.SlotSpan.Seconds()
			shares = append(shares, plotter.XY{X: seconds, Y: percent * share})
		}
		if len(shares) == 0 {
			continue
		}
		end = max(end, shares[len(shares)-1].X)
		if err := addLine(chart, colors[i%len(colors)], loss.Description, shares, solid); err != nil {
			return nil, err
		}
	}
	if err := addGoal(chart, goal, 0, end); err != nil {
		return nil, err
	}
	chart.Y.Max = shareAxisTop
	chart.Legend.Top = false
	png, err := render(chart, chartWidth, chartHeight)
	return &Chart{
		Name:    "shortfall",
		Title:   "After a loss",
		Caption: "Share of requests of all vhosts within their aim, for each half second since the loss.",
		PNG:     png,
	}, err
}

// missChart draws the miss-ratio curve of each zone, with a dot at the zone's memory. If there are more zones than colors, it draws only
// the first ones. It returns nil if no zone has a curve.
func missChart(in Input) (*Chart, error) {
	chart := newPlot("memory of the zone, MB", "missed reads, %")
	drawn := 0
	for z, zone := range in.Fleet.Zones {
		if drawn == len(colors) {
			break
		}
		curve, pool := capacity.ZoneMissRatioCurve(in.Fleet, in.Demand, z)
		points := missPoints(curve)
		if len(points) < 2 {
			continue
		}
		if err := addLine(chart, colors[drawn], zone.Name, points, solid); err != nil {
			return nil, err
		}
		if pool > 0 {
			_, missed := curve.Misses(pool)
			dot := plotter.XYs{{X: pool / megabyte, Y: percent * missed}}
			if err := addDots(chart, colors[drawn], "", dot, largeDotRadius); err != nil {
				return nil, err
			}
		}
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	chart.X.Scale, chart.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	chart.Y.Min, chart.Y.Max = 0, percent
	png, err := render(chart, chartWidth, chartHeight)
	return &Chart{
		Name:    "misses",
		Title:   "Misses by memory size",
		Caption: "The dot marks the memory in which the zone's caches hold distinct parts.",
		PNG:     png,
	}, err
}

// missPoints returns the points of a curve from minChartMemory upwards, in megabytes and percent.
func missPoints(curve *capacity.MissRatioCurve) (points plotter.XYs) {
	memory, missed := curve.Points()
	for i := range memory {
		if memory[i] >= minChartMemory {
			points = append(points, plotter.XY{X: memory[i] / megabyte, Y: percent * missed[i]})
		}
	}
	return points
}
