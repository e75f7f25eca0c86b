package hollow

import (
	"testing"

	"indigochute.example/indigochute/internal/changefeed"
)

// Directors that lag in the newest epoch of an origin are listed. Those that differ only in ended epochs are counted separately.
func TestCompareVectors(t *testing.T) {
	type vector = changefeed.Vector
	c0, c1 := changefeed.Position{Origin: "c0", Epoch: 2, Number: 9}, changefeed.Position{Origin: "c1", Epoch: 5, Number: 4}
	full := vector{c0, c1}
	behind := vector{{Origin: "c0", Epoch: 2, Number: 7}, c1}
	olderEpoch := vector{{Origin: "c0", Epoch: 1, Number: 99}, c1}
	withEnded := vector{{Origin: "c0", Epoch: 1, Number: 3}, c0, c1}
	for _, test := range []struct {
		name        string
		vectors     map[string]vector
		wantLagging int    // directors
		wantEnded   int    // directors that differ in ended epochs
		wantBehind  uint64 // events that d1 lacks of the first origin
	}{
		{name: "no directors"},
		{name: "equal", vectors: map[string]vector{"d0": full, "d1": full}},
		{name: "no position", vectors: map[string]vector{"d0": full, "d1": nil}, wantLagging: 1, wantBehind: 9},
		{name: "behind", vectors: map[string]vector{"d0": full, "d1": behind}, wantLagging: 1, wantBehind: 2},
		{name: "older epoch", vectors: map[string]vector{"d0": full, "d1": olderEpoch}, wantLagging: 1, wantEnded: 1, wantBehind: 9},
		{name: "ended epoch", vectors: map[string]vector{"d0": full, "d1": withEnded, "d2": withEnded}, wantEnded: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := compareVectors(test.vectors)
			if wantEqual := test.wantLagging == 0; got.Equal != wantEqual {
				t.Errorf("equal %v, want %v", got.Equal, wantEqual)
			}
			if got.Lagging != test.wantLagging || got.DifferInEnded != test.wantEnded {
				t.Errorf("%d lagging, %d differ in ended epochs, want %d and %d", got.Lagging, got.DifferInEnded, test.wantLagging, test.wantEnded)
			}
			if len(test.vectors) > 0 && len(got.Newest) != 2 {
				t.Errorf("newest positions %v, want 2", got.Newest)
			}
			if test.wantLagging == 0 {
				return
			}
			if lag := got.List[0]; lag.Director != "d1" || lag.Newest-lag.Number != test.wantBehind {
				t.Errorf("first lag %+v, want d1 %d events behind", lag, test.wantBehind)
			}
		})
	}
}
