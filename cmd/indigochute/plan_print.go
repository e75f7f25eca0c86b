package main

import (
	"fmt"
	"io"

	"indigochute.example/indigochute/internal/capacity"
)

// printAnswer prints an answer: the first breaking point, the limits, the effects of each loss, and whether the goal is met.
func printAnswer(out io.Writer, input *planInput, answer *capacity.Answer) {
	fmt.Fprintf(out, "%s: %d reqs over %.0f s, %.4g reqs/s, burstiness %.2f (1: random arrivals)\ngoal: %s\n\n", answer.Fleet,
		answer.Requests,
		answer.Span, answer.Rate, answer.IndexOfDispersion, answer.Goal)
	printBreak(out, answer)
	fmt.Fprintln(out, "\nCapacity of each limit, without queueing:")
	table := newTable(out, "limit", "of", "used at captured load", "full at load factor", "between")
	for _, limit := range answer.Limits {
		table.AppendRow([]any{limit.Name, limit.Resource, percent(limit.Load), times(limit.Factor), between(limit.Low, limit.High)})
	}
	table.Render()
	for _, loss := range answer.Losses {
		printLoss(out, loss)
	}
	if answer.Met {
		fmt.Fprintf(out, "\nThe goal holds at %s times the captured load.\n", times(answer.WantedFactor))
	} else {
		fmt.Fprintf(out, "\nThe goal is NOT met: %s.\n", answer.Reason)
	}
}

// between formats a range of factors.
func between(low, high float64) string { return times(low) + " and " + times(high) }

// printBreak prints at which load the goal breaks, and a row for each limit that breaks it: the first one, then the ones that break it next
// if the limits above them are relieved.
func printBreak(out io.Writer, answer *capacity.Answer) {
	first := answer.FirstBreak
	switch {
	case first.NeverHolds:
		fmt.Fprintf(out, "The goal held at no load tried, down to %s times the captured load.\n", times(first.Factor))
	case first.AlwaysHolds:
		fmt.Fprintf(out, "The goal held at every load tried, up to %s times the captured load (%.4g reqs/s). %s\n", times(first.Factor),
			first.Rate, first.Reason)
	default:
		fmt.Fprintf(out, "The goal breaks at %s times the captured load, %.4g reqs/s (between %s times the load).\n", times(first.Factor),
			first.Rate, between(first.Low, first.High))
	}
	if len(answer.Causes) == 0 {
		return
	}
	table := newTable(out, "", "limit that breaks", "of", "used at break", "at load factor", "reqs/s", "between")
	for i, cause := range answer.Causes {
		when := "first"
		if i > 0 {
			when = "next, if those above are relieved"
		}
		table.AppendRow([]any{when, cause.Limit.Name, cause.Limit.Resource, percent(cause.Limit.Used), times(cause.Break.Factor),
			fmt.Sprintf("%.4g", cause.Break.Rate), between(cause.Break.Low, cause.Break.High)})
	}
	table.Render()
}

// printLoss prints the effects of a loss at the load of the goal, and at which load the goal breaks under the loss.
func printLoss(out io.Writer, loss *capacity.LossResult) {
	fmt.Fprintf(out, "\n%s, at %s times the load: %s within aim, in the worst half second %s, ", loss.Description, times(loss.Factor),
		percent(loss.Share),
		percent(loss.LeastShare))
	fmt.Fprintf(out, "below the goal for %.1f s, %.2f times the usual fills, %d machines failed\n", loss.ShortfallSeconds, loss.FillRatio,
		loss.MachineFailures)
	if loss.Selection != nil {
		printSelection(out, loss)
	}
	if loss.Metastable {
		fmt.Fprintln(out, "  metastable overload: with the clients' retries the shortfall does not end, without them it does")
	}
	switch first := loss.Break; {
	case first.NeverHolds:
		fmt.Fprintf(out, "  under this loss the goal held at no load tried, down to %s times the captured load\n", times(first.Factor))
	case first.AlwaysHolds:
		fmt.Fprintf(out, "  under this loss the goal held at every load tried, up to %s times the captured load\n", times(first.Factor))
	default:
		fmt.Fprintf(out, "  under this loss the goal breaks at %s times the captured load (between %s)\n", times(first.Factor),
			between(first.Low, first.High))
	}
	if loss.Cause != nil {
		fmt.Fprintf(out, "  limit that breaks it: %s, %s\n", loss.Cause.Limit.Name, loss.Cause.Limit.Resource)
	}
}

// printSelection prints which set of caches the loss restarts, and how many sets were compared to find the worst.
func printSelection(out io.Writer, loss *capacity.LossResult) {
	selection := loss.Selection
	searched := "a sample of"
	if selection.Exhaustive {
		searched = "all"
	}
	fmt.Fprintf(out,
		"  worst of %s %d sets of %d out of %d caches: %v (missing core seconds: worst %.3g, 95th percentile %.3g, median %.3g)\n",
		searched, selection.SetsTried, selection.Restarted, selection.Caches, loss.Machines, selection.WorstCost,
		selection.P95Cost, selection.MedianCost)
}
