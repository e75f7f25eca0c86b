package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"indigochute.example/indigochute/internal/cluster"
)

// printLeases prints the status of a cluster: its instances, then its periodic jobs with the holders of their leases.
func printLeases(out io.Writer, status *cluster.ClusterStatus) {
	printInstances(out, status)
	if status.Leader == "" {
		fmt.Fprintln(out, "There is no keeper: no duty runs for longer than its lease. More than half of the instances must see each other.")
	}
	table := newTable(out, "duty", "owner", "lease for", "fencing number", "last run", "result")
	for _, duty := range status.Duties {
		owner, ran := duty.Owner, "never"
		if owner == "" {
			owner = "nobody"
		}
		if duty.HasRun {
			ran = duty.SinceRun.Round(time.Millisecond).String() + " ago"
		}
		table.AppendRow([]any{duty.Duty, owner, duty.LeaseLeft.Round(time.Millisecond), duty.Fence, ran, lastResult(duty)})
	}
	table.Render()
}

// lastResult returns the result of the last run of a periodic job: running, done, or the first line of its error.
func lastResult(duty cluster.DutyStatus) string {
	if duty.Running {
		return "running"
	}
	if duty.Error == "" {
		return "done"
	}
	firstLine, _, _ := strings.Cut(duty.Error, "\n")
	return firstLine
}

// printInstances prints a table with a row for each instance; those that do not respond are last. Before it, each director that follows
// control machines gets a table of its own.
func printInstances(out io.Writer, status *cluster.ClusterStatus) {
	table := newTable(out, "instance", "role", "follows", "owns", "runs", "failed", "hang", "links up", "silent told", "alive told", "directors")
	for _, instance := range status.Instances {
		if instance.Follower != nil {
			printFollower(out, instance.Follower)
			continue
		}
		linksUp := 0
		for _, link := range instance.Bus.Links {
			if link.State == "up" {
				linksUp++
			}
		}
		table.AppendRow([]any{
			instance.Name,
			instance.Lease.Role,
			instance.Lease.Leader,
			len(instance.Lease.Owned),
			instance.Runs,
			instance.Failed,
			instance.Hung,
			fmt.Sprintf("%d of %d", linksUp, len(instance.Bus.Links)),
			instance.Health.Silent,
			instance.Health.Alive,
			instance.Bus.Subscribers.Connected,
		})
		if len(instance.DifferingLists) > 0 {
			fmt.Fprintf(out, "%s and %s know other control machines: they refuse each other's messages about duties.\n", instance.Name,
				strings.Join(instance.DifferingLists, ", "))
		}
	}
	for _, name := range status.Unreachable {
		table.AppendRow([]any{name, "does not answer"})
	}
	table.Render()
}

// printFollower prints the links of a director that follows control machines.
func printFollower(out io.Writer, follower *cluster.FollowerStatus) {
	table := newTable(out, "control machine", "state", "dials", "rtt ms")
	for _, link := range follower.Uplinks.Links {
		state := link.State
		if link.Name == follower.Uplinks.Active {
			state += ", active"
		}
		table.AppendRow([]any{link.Name, state, link.Dials, fmt.Sprintf("%.1f", link.RTT)})
	}
	table.Render()
	fmt.Fprintf(out, "%s took %d notes, %d silent and %d alive told.\n", follower.Name, follower.Feed.Accepted, follower.Health.Silent,
		follower.Health.Alive)
	if follower.LeaderlessFor > 0 {
		fmt.Fprintf(out, "For %v it has heard of no majority of control machines: it serves by its own judgement.\n",
			follower.LeaderlessFor.Round(time.Second))
	}
}
