package capacity

import (
	"strings"
	"testing"
)

// TestParseGoalAndString parses goals in several forms. String must return each of them in the canonical form.
func TestParseGoalAndString(t *testing.T) {
	network := testTopology(t)
	for _, test := range []struct{ name, text, want string }{
		{
			name: "with a rate",
			text: "page 98% in its aim at 300 reqs/s",
			want: "page 98% in its aim at 300 reqs/s",
		},
		{
			name: "with two losses",
			text: "all 99.5% in their aim also after the loss of zone east also while a fifth returns cold at once",
			want: "all 99.5% in its aim also after the loss of zone east also while a fifth returns cold at once",
		},
		{
			name: "with a restart of a percentage",
			text: "order 90% in its aim also while 12.5% return cold",
			want: "order 90% in its aim also while 12.5% returns cold at once",
		},
		{
			name: "with the loss of clients",
			text: "page 98% in its aim also after the loss of zone east with its clients",
			want: "page 98% in its aim also after the loss of zone east with its clients",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			goal, err := ParseGoal(network, test.text)
			if err != nil {
				t.Fatal(err)
			}
			if got := goal.String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestParseGoalRejectsInvalidText parses texts that are not valid goals for the topology. Each error must quote the text and
// name the fault.
func TestParseGoalRejectsInvalidText(t *testing.T) {
	network := testTopology(t)
	for _, test := range []struct{ name, text, wantErr string }{
		{name: "empty", text: "", wantErr: "expected a goal such as"},
		{name: "unknown request class", text: "pages 98% in its aim", wantErr: `no vhost "pages"`},
		{name: "no percentage", text: "page 98 in its aim", wantErr: "expected a goal such as"},
		{name: "a share of 0", text: "page 0% in its aim", wantErr: "share 0% must be above 0% and at most 100%"},
		{name: "a share above 1", text: "page 120% in its aim", wantErr: "share 120% must be above 0% and at most 100%"},
		{name: "a rate of 0", text: "page 98% in its aim at 0 reqs/s", wantErr: "rate must be above 0"},
		{name: "unknown zone", text: "page 98% in its aim also after the loss of zone north", wantErr: `no zone "north"`},
		{
			name:    "unknown scope of a loss",
			text:    "page 98% in its aim also after the loss of rack x",
			wantErr: `unexpected token "rack" (expected After)`,
		},
		{name: "unknown share of a restart", text: "page 98% in its aim also while a dozen returns cold", wantErr: "not a share of the caches"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseGoal(network, test.text)
			if err == nil {
				t.Fatalf("parsing %q: got no error, want one", test.text)
			}
			for _, want := range []string{test.wantErr, `goal "` + test.text + `"`} {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got error %q, want an error that contains %q", err, want)
				}
			}
		})
	}
}
