// Package report makes one HTML page of a plan's answer, charts and all, with nothing to load from elsewhere.
package report

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"indigochute.example/indigochute/fleet"
	"indigochute.example/indigochute/plan"
)

// Input is what a page is made of.
type Input struct {
	Fleet  *fleet.Fleet
	Demand *plan.Demand
	Goal   *plan.Goal
	Answer *plan.Answer
	Notes  []string
}

// Chart is one picture.
type Chart struct {
	Name  string // of a file
	Title string
	Says  string       // what is to be seen
	PNG   template.URL // the picture itself
}

var (
	blue   = color.NRGBA{0x2a, 0x62, 0x9a, 0xff}
	red    = color.NRGBA{0xb8, 0x3a, 0x2c, 0xff}
	grey   = color.NRGBA{0x88, 0x88, 0x88, 0xff}
	colors = []color.Color{blue, red, color.NRGBA{0x3c, 0x8d, 0x4f, 0xff}, color.NRGBA{0x8a, 0x5a, 0xa8, 0xff}, color.NRGBA{0xb8, 0x86, 0x0b, 0xff}}
)

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	return p
}

// render draws pixels, since a page's reader may lack the fonts that a drawing in SVG measured its words by.
func render(p *plot.Plot, width, height vg.Length) (template.URL, error) {
	c := vgimg.NewWith(vgimg.UseWH(width, height), vgimg.UseDPI(dpi))
	all := draw.New(c)
	p.Draw(draw.Crop(all, vg.Points(4), -vg.Points(10), vg.Points(4), -vg.Points(6)))
	var b bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(&b); err != nil {
		return "", err
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(b.Bytes())), nil
}

const dpi = 160

func line(p *plot.Plot, c color.Color, name string, xys plotter.XYs, dashed bool) error {
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.Color, l.Width = c, vg.Points(1.6)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// Charts draws all pictures of an answer.
func Charts(in Input) (charts []Chart, err error) {
	for _, chart := range []func(Input) (*Chart, error){loadChart, fullnessChart, shortfallChart, curveChart} {
		c, err := chart(in)
		if err != nil {
			return nil, err
		}
		if c != nil {
			charts = append(charts, *c)
		}
	}
	return charts, nil
}

// loadChart is the goal's share against load, and where it breaks.
func loadChart(in Input) (*Chart, error) {
	b := in.Answer.First
	p := newPlot("times the captured load", "in their aim, %")
	var xys, denied plotter.XYs
	levels := plan.Level(b.Points)
	lowest := 100 * in.Goal.Want()
	for i, x := range b.Points {
		xys = append(xys, plotter.XY{X: x.Factor, Y: 100 * x.Share})
		denied = append(denied, plotter.XY{X: x.Factor, Y: 100 * levels[i]})
		lowest = min(lowest, 100*x.Share)
	}
	s, err := plotter.NewScatter(xys)
	if err != nil {
		return nil, err
	}
	s.Color, s.Radius = blue, vg.Points(2.5)
	p.Add(s)
	p.Legend.Add("plays", s)
	if err := line(p, blue, "levelled", denied, false); err != nil {
		return nil, err
	}
	first, last := b.Points[0].Factor, b.Points[len(b.Points)-1].Factor
	if err := line(p, grey, "goal", plotter.XYs{{X: first, Y: 100 * in.Goal.Want()}, {X: last, Y: 100 * in.Goal.Want()}}, true); err != nil {
		return nil, err
	}
	says := fmt.Sprintf("The goal held up to %.3g times the captured load.", b.Factor)
	if !b.Held && !b.Never {
		if err := line(p, red, "breaks", plotter.XYs{{X: b.Factor, Y: lowest}, {X: b.Factor, Y: 100}}, true); err != nil {
			return nil, err
		}
		says = fmt.Sprintf("The goal breaks at %.3g times the captured load, %.4g reqs a second.", b.Factor, b.Rate)
	}
	p.Y.Max = 101
	p.Legend.Top = false
	p.Legend.Left = true
	png, err := render(p, 16*vg.Centimeter, 8*vg.Centimeter)
	return &Chart{"load", "Load and the goal", says, png}, err
}

// fullnessChart is how full each limit was at the break.
func fullnessChart(in Input) (*Chart, error) {
	uses := slices.Clone(in.Answer.First.Uses)
	uses = uses[:min(16, len(uses))]
	if len(uses) == 0 {
		return nil, nil
	}
	slices.Reverse(uses)
	var values plotter.Values
	var names []string
	for _, u := range uses {
		values = append(values, 100*u.Used)
		names = append(names, u.Name+" "+u.What)
	}
	p := newPlot("used, %", "")
	bars, err := plotter.NewBarChart(values, vg.Points(9))
	if err != nil {
		return nil, err
	}
	bars.Horizontal, bars.Color, bars.LineStyle.Width = true, blue, 0
	p.Add(bars)
	p.NominalY(names...)
	p.Y.Padding = vg.Points(4)
	p.X.Min, p.X.Max = 0, 100
	png, err := render(p, 16*vg.Centimeter, vg.Length(2+0.5*float64(len(names)))*vg.Centimeter)
	return &Chart{"fullness", "Fullness where the goal breaks", "Cores of caches and links of zones, parents and the origin, the fullest on top.", png}, err
}

// shortfallChart is the goal's share over time after each loss.
func shortfallChart(in Input) (*Chart, error) {
	if len(in.Answer.Losses) == 0 {
		return nil, nil
	}
	p := newPlot("seconds since the loss", "in their aim, %")
	most := 0.0
	for i, h := range in.Answer.Losses {
		var xys plotter.XYs
		for t, share := range h.Over {
			xys = append(xys, plotter.XY{X: (float64(t) + 0.5) * plan.SlotSpan.Seconds(), Y: 100 * share})
		}
		if len(xys) == 0 {
			continue
		}
		most = max(most, xys[len(xys)-1].X)
		if err := line(p, colors[i%len(colors)], h.What, xys, false); err != nil {
			return nil, err
		}
	}
	if err := line(p, grey, "goal", plotter.XYs{{X: 0, Y: 100 * in.Goal.Want()}, {X: most, Y: 100 * in.Goal.Want()}}, true); err != nil {
		return nil, err
	}
	p.Y.Max = 101
	p.Legend.Top = false
	png, err := render(p, 16*vg.Centimeter, 8*vg.Centimeter)
	return &Chart{"shortfall", "After a loss", "Share in their aim by half second, all vhosts, from the moment of the loss on.", png}, err
}

// curveChart is the miss-ratio curve of each zone, and the memory it has.
func curveChart(in Input) (*Chart, error) {
	p := newPlot("memory of the zone, MB", "reads missed, %")
	drawn := 0
	for z, zone := range in.Fleet.Zones {
		c, pool := plan.ZoneCurve(in.Fleet, in.Demand, z)
		memory, missed := c.Points()
		var xys plotter.XYs
		for i := range memory {
			if memory[i] >= 1e4 {
				xys = append(xys, plotter.XY{X: memory[i] / 1e6, Y: 100 * missed[i]})
			}
		}
		if len(xys) < 2 || drawn >= len(colors) {
			continue
		}
		if err := line(p, colors[drawn], zone.Name, xys, false); err != nil {
			return nil, err
		}
		if _, reads := c.Misses(pool); pool > 0 {
			s, err := plotter.NewScatter(plotter.XYs{{X: pool / 1e6, Y: 100 * reads}})
			if err != nil {
				return nil, err
			}
			s.Color, s.Radius = colors[drawn], vg.Points(4)
			p.Add(s)
		}
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 100
	png, err := render(p, 16*vg.Centimeter, 8*vg.Centimeter)
	return &Chart{"misses", "What memory would miss", "The dot is the memory that the zone's caches hold different things in.", png}, err
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"times":   func(x float64) string { return fmt.Sprintf("%.3g", x) },
	"whole":   func(x float64) string { return fmt.Sprintf("%.0f", math.Round(x)) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Plan of {{.Answer.Fleet}}</title>
<style>
body{font:15px/1.5 sans-serif;max-width:50em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}th,td{padding:.25em .8em;border-bottom:1px solid #ccc;text-align:left}
img{width:42em;max-width:100%}.not{color:#b83a2c;font-weight:bold}figure{margin:1.5em 0}figcaption{color:#555}
</style></head><body>
<h1>Plan of {{.Answer.Fleet}}</h1>
<p>{{.Answer.Reqs}} reqs over {{whole .Answer.Span}} s, {{times .Answer.Rate}} a second; burstiness {{times .Answer.Burst}}. Goal: <b>{{.Answer.Goal}}</b>.</p>
{{if .Answer.Met}}<p>The goal holds at {{times .Answer.Wanted}} times the captured load.</p>{{else}}<p class="not">The goal is not met: {{.Answer.Why}}.</p>{{end}}
{{if .Answer.Causes}}<table><tr><th></th><th>what breaks</th><th>of</th><th>used there</th><th>at times the load</th><th>between</th></tr>
{{range $i, $c := .Answer.Causes}}<tr><td>{{if $i}}then{{else}}first{{end}}</td><td>{{.Limit.Name}}</td><td>{{.Limit.What}}</td><td>{{percent .Limit.Used}}</td><td>{{times .Break.Factor}}</td><td>{{times .Break.Low}} and {{times .Break.High}}</td></tr>
{{end}}</table>{{end}}
{{range .Charts}}<figure><h2>{{.Title}}</h2><img src="{{.PNG}}" alt="{{.Says}}"><figcaption>{{.Says}}</figcaption></figure>
{{end}}
{{range .Answer.Losses}}<h2>{{.What}}</h2><p>At {{times .Factor}} times the load: {{percent .Share}} in their aim, least half second {{percent .Depth}}, short for {{times .Length}} s, fills {{times .Extra}} times the usual, {{.Falls}} machines fell over.
{{if .Jam}}<span class="not">A jam that feeds itself: with the clients' retries it does not end.</span>{{end}}
{{if .Choice}}Worst of {{.Choice.Sets}} sets of {{.Choice.Count}} caches of {{.Choice.Of}}.{{end}} Under it the goal breaks at {{times .Break.Factor}} times the load.</p>{{end}}
<h2>What each limit carries, waiting not counted</h2>
<table><tr><th>limit</th><th>of</th><th>used as captured</th><th>full at times the load</th><th>between</th></tr>
{{range .Answer.Limits}}<tr><td>{{.Name}}</td><td>{{.What}}</td><td>{{percent .Load}}</td><td>{{times .Factor}}</td><td>{{times .Low}} and {{times .High}}</td></tr>
{{end}}</table>
{{if .Notes}}<h2>Notes</h2><ul>{{range .Notes}}<li>{{.}}</li>{{end}}</ul>{{end}}
</body></html>
`))

// Write makes the page.
func Write(w io.Writer, in Input) error {
	charts, err := Charts(in)
	if err != nil {
		return err
	}
	return page.Execute(w, struct {
		Input
		Charts []Chart
	}{in, charts})
}
