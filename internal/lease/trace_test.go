package lease

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"testing"
)

// recordedDecisions is the hash of all decisions in TestDecisionsMatchRecordedHash, recorded before the package was restructured.
const recordedDecisions = 0x85637f6d0d5d8d94

// TestDecisionsMatchRecordedHash guards against unintended changes of behavior. It simulates installations of one, three and five
// instances with faults of all kinds, and compares the hash of every message, run and status with the recorded one.
func TestDecisionsMatchRecordedHash(t *testing.T) {
	const minMessages = 50000
	record := fnv.New64a()
	messages := 0
	for seed := range uint64(120) {
		sim := newSimulation(simulationConfig{
			seed:         seed,
			instances:    1 + 2*int(seed%3),
			duties:       7,
			clockDrift:   0.1,
			assumedDrift: 0.1,
		})
		sim.record = record
		for range 800 {
			sim.stepWithFaults(1)
			for _, name := range sim.names {
				node := sim.instances[name]
				status, err := json.Marshal(node.instance.Status(node.clock(sim.realTime)))
				if err != nil {
					t.Fatal(err)
				}
				record.Write(status)
				fmt.Fprint(record, node.activeRuns)
			}
		}
		messages += sim.messages
	}
	if messages < minMessages {
		t.Errorf("got %d messages, want at least %d", messages, minMessages)
	}
	if got := record.Sum64(); got != recordedDecisions {
		t.Errorf("hash of decisions: got %#x, want %#x", got, uint64(recordedDecisions))
	}
}
