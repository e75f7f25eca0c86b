package capacity

import (
	"math"
	"testing"
	"time"
)

// TestAnswerNamesFullDirectorsAsCause gives requests a captured core time. Directors must be the first cause if this core time
// fills their cores before any other limit is full, and must not be if it is short.
func TestAnswerNamesFullDirectorsAsCause(t *testing.T) {
	network := testTopology(t)
	demand := randomDemand(network, 60, 60*time.Second, 300, 1)
	demand.CPUPerRequest = 20 * time.Millisecond // 30 requests a second at each of two directors use 0.6 of a core
	answer, err := testPlanner(t, network, demand, "all 95% in its aim", 1).Answer()
	if err != nil {
		t.Fatal(err)
	}
	first, second := answer.Causes[0].Limit, answer.Causes[1].Limit
	if first.Resource != limitDirector {
		t.Errorf("first cause: got %+v, want directors", first)
	}
	if want := 1 / 0.6; math.Abs(answer.FirstBreak.Factor-want) > 0.2 {
		t.Errorf("break: got %g, want about %g", answer.FirstBreak.Factor, want)
	}
	if second.Resource == limitDirector && len(answer.Causes) < 3 {
		t.Errorf("causes: got %+v, want another limit than directors among them", answer.Causes)
	}

	demand.CPUPerRequest = time.Microsecond
	if answer, err = testPlanner(t, network, demand, "all 95% in its aim", 1).Answer(); err != nil {
		t.Fatal(err)
	}
	if cause := answer.Causes[0]; cause.Limit.Resource == limitDirector {
		t.Errorf("first cause: got %+v, want another limit than directors", cause.Limit)
	}
}
