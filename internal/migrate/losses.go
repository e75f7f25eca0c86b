package migrate

import (
	"encoding/json"
	"fmt"
)

// notCarried returns a line for each value that the new shape needs and the file lacks, and for each setting in the file that has no effect
// on decisions.
func notCarried(tree, settings object, shape Shape) (lines []string) {
	if shape.Weights != WeightsNone {
		lines = append(lines, hostsWithoutShare(tree)...)
	}
	if domain, _ := settings["domain"].(object); domain != nil {
		if siblings, ok := domain["siblings"]; ok && siblings != "none" {
			lines = append(lines, "settings.domain.siblings: kept, but has no effect on decisions: no cache is used as a source of fills")
		}
	}
	if setting(settings, "loadReport") != nil {
		lines = append(lines, "settings.loadReport: kept, but has no effect: decisions do not use load reports")
	}
	if shape.Probes {
		lines = append(lines, "settings.limits.probing: a node's response to PING shows that the node is running, but not its load")
	}
	return lines
}

// hostsWithoutShare returns a line for each endpoint in the discovery snapshot that has no valid capacity.
func hostsWithoutShare(tree object) (lines []string) {
	for _, host := range hosts(tree) {
		if share, ok := host["share"].(json.Number); !ok || !positive(share) {
			lines = append(lines,
				fmt.Sprintf("known: %v has no share, so its capacity counts as one transfer until the journal service reports it",
					host["host"]))
		}
	}
	return lines
}

// hosts returns the endpoints of all events in the discovery snapshot, in order.
func hosts(tree object) (list []object) {
	known, _ := tree["known"].(object)
	entries, _ := known["entries"].([]any)
	for _, entry := range entries {
		event, _ := entry.(object)
		inner, _ := event["hosts"].(object)
		items, _ := inner["hosts"].([]any)
		for _, item := range items {
			if host, ok := item.(object); ok {
				list = append(list, host)
			}
		}
	}
	return list
}

// positive reports whether a number is valid and above 0.
func positive(number json.Number) bool {
	value, err := number.Float64()
	return err == nil && value > 0
}
