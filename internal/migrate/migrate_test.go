package migrate

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"indigochute.example/indigochute/internal/config"
)

// oldConfig is a configuration of the old shape. One of its endpoints has no share, and its settings have siblings.
const oldConfig = `{"name":"n3","listen":"127.0.0.1:8443","seed":"8c1f30d27a5be964","journal":"127.0.0.1:2379",
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},
 "known":{"pos":1,"entries":[{"pos":1,"hosts":{"seq":1,"whole":true,"hosts":[
  {"host":"s-331d10af","dial":"127.0.0.1:1","site":"west","class":"box","health":"SERVING","share":6.5},
  {"host":"s-331d10b0","dial":"127.0.0.1:2","site":"west","class":"box","health":"SERVING"}]}}]},
 "settings":{"classes":[{"name":"clip","aim":400000,"deadline":6000000,"group":"all","idempotency":"read_like"}],
  "domain":{"midKind":1,"sourceKind":2,"noteLevel":"all","siblings":"location","zoneBalancers":[3]},"instances":3,
  "limits":{"cancel":true,"sendCap":8},"me":12345678901,"models":["box","mid","root"],"zone":0,"zones":["west"],
  "rules":{"fallMultiple":3.0,"rampTime":17000000,"tipAfter":3000000}}}`

// newShape differs from the old shape in all settings.
var newShape = Shape{Weights: "rough", Notes: "hit", Joins: true, Probes: true}

// parse decodes a JSON object.
func parse(t *testing.T, raw []byte) (tree map[string]any) {
	t.Helper()
	if err := json.Unmarshal(raw, &tree); err != nil {
		t.Fatal(err)
	}
	return tree
}

// TestThereAndBack: the file of the new shape states the shape and is otherwise the same; Back restores the old one.
func TestThereAndBack(t *testing.T) {
	converted, lost, err := ToNewShape([]byte(oldConfig), newShape)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := config.Parse(converted, "", "")
	if err != nil {
		t.Fatal(err)
	}
	settings := parsed.Settings
	if !settings.CapacitiesListed || !settings.FillsCollapse || !settings.HealthChecks || settings.FillFaultsReported {
		t.Errorf("settings %+v are not those of the new shape", settings)
	}
	if capacity := parsed.Known[0].Endpoints[0].Capacity; capacity != 6.5 {
		t.Errorf("the first endpoint has capacity %v, want 6.5", capacity)
	}
	checkLost(t, lost)
	restored, err := ToOldShape(converted)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(parse(t, restored), parse(t, []byte(oldConfig))) {
		t.Errorf("restored %s\nwant %s", restored, oldConfig)
	}
	if !strings.Contains(string(restored), "12345678901") {
		t.Error("a large number was rewritten")
	}
}

// checkLost checks the lines on what of oldConfig could not be carried over to newShape.
func checkLost(t *testing.T, lost []string) {
	t.Helper()
	lines := strings.Join(lost, "\n")
	for _, want := range []string{"s-331d10b0", "domain.siblings", "limits.probing"} {
		if !strings.Contains(lines, want) {
			t.Errorf("not carried over: %q lacks %q", lost, want)
		}
	}
	if withShare := "s-331d10af"; strings.Contains(lines, withShare) {
		t.Errorf("not carried over: %q has %q", lost, withShare)
	}
}

// TestBadFilesNameTheKey: the error of a file that cannot be converted begins with the faulty key.
func TestBadFilesNameTheKey(t *testing.T) {
	cases := []struct {
		text   string // part of oldConfig that faulty replaces
		faulty string
		prefix string // of the error
	}{
		{`"instances":3`, `"instances":3,"weightKind":"nominal"`, "settings.weightKind"},
		{`"cancel":true`, `"cancel":true,"probing":true`, "settings.limits.probing"},
		{`"noteLevel":"all"`, `"noteLevel":"hit"`, "settings.domain.noteLevel"},
		{`"name":"n3"`, `"name":"n3","nmae":1`, "nmae: unknown key"},
		{`"me":`, `"mee":1,"me":`, "settings.mee: unknown key"},
		{`"midKind":1`, `"midKind":1,"canJion":true`, "settings.domain.canJion: unknown key"},
		{`"instances":3`, `"instances":0`, "settings.instances"},
		{`"seed"`, `"sed"`, "seed"},
		{`"rules":{`, `"tick":2000,"rules":{"fallMultipel":1,`, "settings.rules.fallMultipel"},
	}
	for _, test := range cases {
		t.Run(test.prefix, func(t *testing.T) {
			faulty := strings.Replace(oldConfig, test.text, test.faulty, 1)
			if _, _, err := ToNewShape([]byte(faulty), newShape); err == nil || !strings.HasPrefix(err.Error(), test.prefix) {
				t.Errorf("%s for %s: error %v, want one that begins with %q", test.faulty, test.text, err, test.prefix)
			}
		})
	}
}
