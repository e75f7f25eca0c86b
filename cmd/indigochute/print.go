package main

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"

	"indigochute.example/indigochute/plan"
)

func newTable(out io.Writer, head ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(head)
	return t
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
func times(x float64) string   { return fmt.Sprintf("%.3g", x) }

func printAnswer(out io.Writer, q *question, a *plan.Answer) {
	fmt.Fprintf(out, "%s: %d reqs over %.0f s, %.4g reqs/s, burstiness %.2f (1: by chance)\ngoal: %s\n\n", a.Fleet, a.Reqs, a.Span, a.Rate, a.Burst, a.Goal)
	printBreak(out, a)
	t := newTable(out, "limit", "of", "used as captured", "full at times the load", "between")
	for _, l := range a.Limits {
		t.AppendRow([]any{l.Name, l.What, percent(l.Load), times(l.Factor), times(l.Low) + " and " + times(l.High)})
	}
	fmt.Fprintln(out, "\nWhat each limit carries, waiting not counted:")
	t.Render()
	for _, h := range a.Losses {
		printHurt(out, h)
	}
	if a.Met {
		fmt.Fprintf(out, "\nThe goal holds at %s times the captured load.\n", times(a.Wanted))
	} else {
		fmt.Fprintf(out, "\nThe goal is NOT met: %s.\n", a.Why)
	}
}

func printBreak(out io.Writer, a *plan.Answer) {
	b := a.First
	switch {
	case b.Never:
		fmt.Fprintf(out, "The goal breaks at every load tried, down to %s times the captured load.\n", times(b.Factor))
	case b.Held:
		fmt.Fprintf(out, "The goal held at every load tried, up to %s times the captured load (%.4g reqs/s). %s\n", times(b.Factor), b.Rate, b.Why)
	default:
		fmt.Fprintf(out, "The goal breaks at %s times the captured load, %.4g reqs/s (between %s and %s times).\n", times(b.Factor), b.Rate,
			times(b.Low), times(b.High))
	}
	if len(a.Causes) == 0 {
		return
	}
	t := newTable(out, "", "what breaks", "of", "used there", "at times the load", "reqs/s", "between")
	for i, c := range a.Causes {
		when := "first"
		if i > 0 {
			when = "then, with those before relieved"
		}
		t.AppendRow([]any{when, c.Limit.Name, c.Limit.What, percent(c.Limit.Used), times(c.Break.Factor), fmt.Sprintf("%.4g", c.Break.Rate),
			times(c.Break.Low) + " and " + times(c.Break.High)})
	}
	t.Render()
}

func printHurt(out io.Writer, h *plan.Hurt) {
	fmt.Fprintf(out, "\n%s, at %s times the load: %s in its aim, least half second %s, ", h.What, times(h.Factor), percent(h.Share), percent(h.Depth))
	fmt.Fprintf(out, "short for %.1f s, fills %.2f times the usual, %d machines fell over\n", h.Length, h.Extra, h.Falls)
	if h.Choice != nil {
		how := "a sample of"
		if h.Choice.Exact {
			how = "all"
		}
		fmt.Fprintf(out, "  worst of %s %d sets of %d caches of %d: %v (core seconds short: worst %.3g, 95th percentile %.3g, median %.3g)\n", how,
			h.Choice.Sets, h.Choice.Count, h.Choice.Of, h.Machines, h.Choice.Worst, h.Choice.High, h.Choice.Median)
	}
	if h.Jam {
		fmt.Fprintln(out, "  a jam that feeds itself: with the clients' retries the shortfall does not end, without them it does")
	}
	switch b := h.Break; {
	case b.Never:
		fmt.Fprintf(out, "  under it the goal breaks at every load tried, down to %s times\n", times(b.Factor))
	case b.Held:
		fmt.Fprintf(out, "  under it the goal held at every load tried, up to %s times\n", times(b.Factor))
	default:
		fmt.Fprintf(out, "  under it the goal breaks at %s times the load (between %s and %s)\n", times(b.Factor), times(b.Low), times(b.High))
	}
	if h.Cause != nil {
		fmt.Fprintf(out, "  what breaks it there: %s, %s\n", h.Cause.Limit.Name, h.Cause.Limit.What)
	}
}
