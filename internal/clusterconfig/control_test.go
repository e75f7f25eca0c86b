package clusterconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/topology"
)

// controlList and directorList are the lists of smallFile.
const (
	controlList = `control:
  - {name: c1, address: 10.0.1.1:7400, region: south, zone: s1, site: s1a}
  - {name: c0, address: 10.0.0.1:7400, region: north, zone: n1, site: n1a}
  - {name: c2, address: 10.0.0.2:7400, region: north, zone: n2, site: n2a}
`
	directorList = `directors:
  - {name: d1, region: south, zone: s1, site: s1a}
  - {name: d0, address: 10.0.0.9:7400, region: north, zone: n1, site: n1b}
`
)

// smallFile is an operator file of three control machines and two directors.
const smallFile = controlList + directorList + `uplink: {rate: 20KB/s, spread: 1s}
duties:
  - {name: check, kind: probe, period: 1s}
  - {name: event, kind: note, period: 1s, bytes: 60, life: 5m, keep: last}
`

// mustParse parses a file for the machine of a name.
func mustParse(t *testing.T, text, name string) *File {
	t.Helper()
	f, err := Parse("control.yaml", []byte(text), name)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// The annotated file of control machines in deploy/, with and without its example of an event job, is parsed, fits the schema and
// gives package lease a valid configuration. Each region has a control machine and none has a majority of them.
func TestDeployedControl(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/control.yaml")
	if err != nil {
		t.Fatal(err)
	}
	withEventJob := replaceOnce(t, string(raw), "  # - {name: notes,", "  - {name: notes,")
	for _, text := range []string{string(raw), withEventJob} {
		checkSchema(t, []byte(text))
		f := mustParse(t, text, "d10")
		config := leaseConfig(f, "c0")
		if err := config.Check(); err != nil {
			t.Errorf("configuration of package lease: %v", err)
		}
		if peers := f.PeerAddresses("c0"); len(peers) != 8 {
			t.Errorf("peers of c0: got %v, want 8", peers)
		}
		if got, want := f.Address("c8"), "10.6.0.1:7400"; got != want {
			t.Errorf("address of c8: got %q, want %q", got, want)
		}
		if got := f.Role("d10"); got != Director {
			t.Errorf("role of d10: got %v, want %v", got, Director)
		}
		for _, region := range f.Regions() {
			if region.Control < 1 || region.Control > 4 {
				t.Errorf("region %s has %d control machines, want 1 to 4", region.Name, region.Control)
			}
		}
	}
}

// The schema rejects the same faults in the keys of control machines that Parse rejects.
func TestSchemaRejectsFaults(t *testing.T) {
	schema := compiledSchema(t)
	checkSchema(t, []byte(smallFile))
	for _, test := range []struct{ old, new string }{
		{old: ", site: n2a", new: ""},
		{old: "address: 10.0.0.2:7400, ", new: ""},
		{old: "{name: d1, region: south,", new: "{name: d1,"},
		{old: "rate: 20KB/s", new: "rate: 20KB"},
		{old: "spread: 1s", new: "spread: 1"},
		{old: "keep: last", new: "keep: some"},
		{old: "bytes: 60", new: "bytes: many"},
		{old: "spread: 1s", new: "spreed: 1s"},
		{old: "  - {name: c2, address: 10.0.0.2:7400, region: north, zone: n2, site: n2a}\n", new: ""},
	} {
		invalid := replaceOnce(t, smallFile, test.old, test.new)
		if schema.Validate(decodeYAML(t, []byte(invalid))) == nil {
			t.Errorf("a file with %q in place of %q fits the schema", test.new, test.old)
		}
	}
}

// The schema describes every key of control machines.
func TestSchemaDescribesKeys(t *testing.T) {
	text, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	var schema struct {
		Defs map[string]struct {
			Properties map[string]struct {
				Description string `json:"description"`
			} `json:"properties"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal(text, &schema); err != nil {
		t.Fatal(err)
	}
	for typeName, keys := range map[string][]string{
		"File":          {"control", "directors", "uplink"},
		"ControlEntry":  {"name", "address", "region", "zone", "site"},
		"DirectorEntry": {"name", "address", "region", "zone", "site"},
		"Uplink":        {"rate", "spread"},
		"Duty":          {"bytes", "life", "keep"},
	} {
		for _, key := range keys {
			if schema.Defs[typeName].Properties[key].Description == "" {
				t.Errorf("%s of %s has no description", key, typeName)
			}
		}
	}
}

// Regions counts control machines and directors by place, sorted by name. It lists zones and sites with directors only.
func TestRegions(t *testing.T) {
	const south, east = "{name: d1, region: south, zone: s1, site: s1a}", "{name: d1, region: east, zone: e1, site: e1a}"
	f := mustParse(t, replaceOnce(t, smallFile, south, east), "")
	want := []Region{
		{Name: "east", Control: 0, Directors: 1, Zones: []Zone{{"e1", 1, []Site{{"e1a", 1}}}}},
		{Name: "north", Control: 2, Directors: 1, Zones: []Zone{{"n1", 1, []Site{{"n1b", 1}}}}},
		{Name: "south", Control: 1, Directors: 0},
	}
	if got := f.Regions(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// Regions has every region, zone and site of a large file, and all its directors.
func TestRegionsOfLargeFile(t *testing.T) {
	f := mustParse(t, fileOfDirectors(580), "")
	zones, sites, directors := 0, 0, 0
	for _, region := range f.Regions() {
		for _, zone := range region.Zones {
			zones++
			for _, site := range zone.Sites {
				sites++
				directors += site.Directors
			}
		}
	}
	if regions := len(f.Regions()); regions != 7 || zones != 18 || sites != 39 || directors != 580 {
		t.Errorf("got %d regions, %d zones, %d sites and %d directors, want 7, 18, 39 and 580", regions, zones, sites, directors)
	}
}

// LinksPerControlMachine is a mean over the control machines that are left; 0 if they are too few for the links of a director.
func TestLinksPerControlMachine(t *testing.T) {
	f := mustParse(t, fileOfDirectors(580), "") // of nine control machines
	for _, test := range []struct {
		lost int
		want float64
	}{
		{lost: 0, want: 1160.0 / 9},
		{lost: 4, want: 232},
		{lost: 8, want: 0},
	} {
		if got := f.LinksPerControlMachine(test.lost); got != test.want {
			t.Errorf("%d lost: got %g, want %g", test.lost, got, test.want)
		}
	}
}

// Role tells control machines, directors and instances apart.
func TestRole(t *testing.T) {
	control := mustParse(t, smallFile, "d1")
	instances := mustParse(t, string(deployedFile(t)), "n1")
	for _, test := range []struct {
		file *File
		name string
		want Role
	}{
		{file: control, name: "c0", want: ControlMachine},
		{file: control, name: "d0", want: Director},
		{file: control, name: "x", want: Unknown},
		{file: control, name: "", want: Unknown},
		{file: instances, name: "n1", want: Member},
		{file: instances, name: "n9", want: Unknown},
	} {
		if got := test.file.Role(test.name); got != test.want {
			t.Errorf("role of %q: got %v, want %v", test.name, got, test.want)
		}
	}
}

// The names of each role are sorted. Control machines are the members of a file that has them.
func TestNames(t *testing.T) {
	control := mustParse(t, smallFile, "d1")
	instances := mustParse(t, string(deployedFile(t)), "n1")
	for _, test := range []struct {
		query string
		got   []string
		want  []string
	}{
		{query: "members", got: control.MemberNames(), want: []string{"c0", "c1", "c2"}},
		{query: "control machines", got: control.ControlNames(), want: []string{"c0", "c1", "c2"}},
		{query: "directors", got: control.DirectorNames(), want: []string{"d0", "d1"}},
		{query: "control machines of a file of instances", got: instances.ControlNames(), want: nil},
		{query: "directors of a file of instances", got: instances.DirectorNames(), want: nil},
	} {
		if !reflect.DeepEqual(test.got, test.want) {
			t.Errorf("%s: got %q, want %q", test.query, test.got, test.want)
		}
	}
}

// Address and PeerAddresses answer for control machines and for directors, of which some listen at no address.
func TestAddresses(t *testing.T) {
	f := mustParse(t, smallFile, "d1")
	for name, want := range map[string]string{"c1": "10.0.1.1:7400", "d0": "10.0.0.9:7400", "d1": "", "x": ""} {
		if got := f.Address(name); got != want {
			t.Errorf("address of %s: got %q, want %q", name, got, want)
		}
	}
	want := map[string]string{"c1": "10.0.1.1:7400", "c2": "10.0.0.2:7400"}
	if got := f.PeerAddresses("c0"); !maps.Equal(got, want) {
		t.Errorf("peers of c0: got %v, want %v", got, want)
	}
}

// Place answers for control machines and directors, and is zero for other names.
func TestPlace(t *testing.T) {
	f := mustParse(t, smallFile, "d1")
	for name, want := range map[string]changefeed.Place{
		"c2": {Region: "north", Zone: "n2", Site: "n2a"},
		"d0": {Region: "north", Zone: "n1", Site: "n1b"},
		"x":  {},
	} {
		if got := f.Place(name); got != want {
			t.Errorf("place of %s: got %+v, want %+v", name, got, want)
		}
	}
}

// Optional keys have the values of the file.
func TestOptionalKeys(t *testing.T) {
	f := mustParse(t, smallFile, "d1")
	if got, want := f.Uplink, (Uplink{Rate: 20e3, Spread: topology.Duration(time.Second)}); got != want {
		t.Errorf("uplink: got %+v, want %+v", got, want)
	}
	event := f.Duties[1]
	if event.Bytes != 60 || event.Lifetime.Duration() != 5*time.Minute || event.Keep != KeepLast {
		t.Errorf("event job: got %+v", event)
	}
	if probe := f.Duties[0]; probe.Keep != "" {
		t.Errorf("health check job: got keep %q, want none", probe.Keep)
	}
}

// Optional keys that the file leaves out have their defaults.
func TestDefaults(t *testing.T) {
	text := replaceOnce(t, smallFile, "uplink: {rate: 20KB/s, spread: 1s}\n", "")
	text = replaceOnce(t, text, ", life: 5m, keep: last", "")
	f := mustParse(t, text, "c0")
	if got, want := f.Uplink, (Uplink{Rate: 16e3, Spread: topology.Duration(800 * time.Millisecond)}); got != want {
		t.Errorf("uplink: got %+v, want %+v", got, want)
	}
	event := f.Duties[1]
	if event.Lifetime.Duration() != 10*time.Minute || event.Keep != KeepEach {
		t.Errorf("event job: got lifetime %v and keep %q, want 10m and %q", event.Lifetime, event.Keep, KeepEach)
	}
}

// Every fault of the keys of control machines is reported with its line and key.
func TestControlFaults(t *testing.T) {
	moreControl := func(count int) string {
		text := controlList
		for i := 1; i <= count; i++ {
			text += fmt.Sprintf("  - {name: e%d, address: 10.1.0.%d:7400, region: east, zone: e1, site: e1a}\n", i, i)
		}
		return text
	}
	oneControl := "control:\n" + strings.TrimPrefix(moreControl(1), controlList)
	tooLong := strings.Repeat("ü", 33) // 66 bytes
	for _, test := range []struct{ old, new, fault string }{
		{controlList, moreControl(1), "control.yaml:1: control: found 4 machines, expected 3, 5, 7 or 9, as more than half must see each other and an even"},
		{controlList, oneControl, "control.yaml:1: control: found 1 machines, expected 3, 5, 7 or 9"},
		{controlList, moreControl(8), "control.yaml:1: control: found 11 machines, expected 3, 5"},
		{controlList, "control: []\n", "control.yaml:1: control: found 0 machines, expected 3, 5, 7 or 9"},
		{controlList, "", "control.yaml:1: directors: found directors without control machines"},
		{controlList, "", "control.yaml:1: instances: found neither instances nor control"},
		{controlList, "", "uplink: found uplinks without control machines"},
		{controlList, "", "duties[1].kind: found a note without control machines"},
		{controlList, "instances: []\n", "control.yaml:1: instances: found 0 entries, expected 1 or more"},
		{controlList, "instances: [{name: n0, address: \"10.0.0.7:7400\"}]\n" + controlList, "control.yaml:2: control: found control machines beside instances"},
		{directorList, "", "directors: found none, expected 1 to 1024"},
		{directorList, "directors: []\n", "control.yaml:5: directors: found none, expected 1 to 1024"},
		{"name: c2", "name: c0", "control.yaml:4: control[2].name: found «c0» a second time"},
		{"name: d0", "name: c0", "control.yaml:7: directors[1].name: found «c0» a second time"},
		{"name: d0", "name: d1", "control.yaml:7: directors[1].name: found «d1» a second time"},
		{"name: d0", "name: " + tooLong, "control.yaml:7: directors[1].name: found 66 bytes, expected 64 or less"},
		{"name: c2, ", "", "control.yaml:4: control[2].name: found nothing, expected a value"},
		{"address: 10.0.0.2:7400, ", "", "control.yaml:4: control[2].address: found nothing"},
		{"10.0.0.2:7400", "10.0.0.1:7400", "control.yaml:4: control[2].address: found «10.0.0.1:7400» a second time"},
		{"10.0.0.9:7400", "10.0.0.1:7400", "control.yaml:7: directors[1].address: found «10.0.0.1:7400» a second time"},
		{"10.0.0.9:7400", "10.0.0.9", "control.yaml:7: directors[1].address: found «10.0.0.9», expected an address with its port"},
		{"{name: d1, region: south,", "{name: d1,", "control.yaml:6: directors[0].region: found nothing"},
		{", site: n2a", "", "control.yaml:4: control[2].site: found nothing"},
		{"zone: n2", "zone: " + tooLong, "control.yaml:4: control[2].zone: found 66 bytes"},
		{"{name: d1, region: south,", "{name: d1, region: north,", "control.yaml:6: directors[0].region: found «north» of zone «s1», expected «south» as at control[0]"},
		{"zone: n1, site: n1b", "zone: n1, site: n2a", "control.yaml:7: directors[1].zone: found «n1» of site «n2a», expected «n2» as at control[2]"},
		{"rate: 20KB/s", "rate: 3999B/s", "control.yaml:8: uplink.rate: found «3.999KB/s», expected 4KB/s to 1MB/s"},
		{"rate: 20KB/s", "rate: 1.1MB/s", "uplink.rate: found «1.1MB/s»"},
		{"rate: 20KB/s", "rate: 20KB", "uplink.rate: found"},
		{"spread: 1s", "spread: 99ms", "control.yaml:8: uplink.spread: found «99ms», expected 100ms to 1m0s"},
		{"spread: 1s", "spread: 61s", "uplink.spread: found «1m1s»"},
		{"spread: 1s", "spreed: 1s", "uplink.spreed: found an unknown key"},
		{"bytes: 60", "bytes: 23", "control.yaml:11: duties[1].bytes: found «23», expected 24 to 60000"},
		{"bytes: 60", "bytes: 60001", "duties[1].bytes: found «60001»"},
		{"bytes: 60, ", "", "duties[1].bytes: found «0»"},
		{"life: 5m", "life: 25h", "duties[1].life: found «25h0m0s», expected 24h0m0s at most"},
		{"keep: last", "keep: some", "duties[1].keep: found «some», expected one of each last"},
		{"keep: last", "address: 10.0.0.8:1", "duties[1].address: found «10.0.0.8:1», expected none"},
		{"kind: probe, period: 1s", "kind: probe, period: 1s, bytes: 60", "control.yaml:10: duties[0].kind: found bytes, life or keep"},
		{"kind: probe, period: 1s", "kind: probe, period: 1s, life: 1m", "duties[0].kind: found bytes, life or keep"},
		{"kind: probe, period: 1s", "kind: probe, period: 1s, keep: last", "duties[0].kind: found bytes, life or keep"},
	} {
		t.Run(test.fault, func(t *testing.T) {
			checkFault(t, "control.yaml", replaceOnce(t, smallFile, test.old, test.new), "", test.fault)
		})
	}
	checkFault(t, "control.yaml", smallFile, "d7", "control.yaml:5: directors: found no control machine or director «d7»")
}

// fileOfDirectors returns a file of nine control machines and so many directors in 39 sites, 18 zones and 7 regions.
func fileOfDirectors(directors int) string {
	var text strings.Builder
	place := func(site int) string {
		zone := site % 18
		return fmt.Sprintf("region: r%d, zone: r%dz%d, site: r%dz%ds%d", zone%7, zone%7, zone, zone%7, zone, site)
	}
	text.WriteString("control:\n")
	for i := range 9 {
		fmt.Fprintf(&text, "  - {name: c%d, address: 10.0.%d.1:7400, %s}\n", i, i, place(i))
	}
	text.WriteString("directors:\n")
	for i := range directors {
		fmt.Fprintf(&text, "  - {name: d%d, %s}\n", i, place(i%39))
	}
	return text.String()
}

// A file may list MaxDirectors directors and no more.
func TestNumberOfDirectors(t *testing.T) {
	f := mustParse(t, fileOfDirectors(MaxDirectors), "d1023")
	if got := len(f.Directors); got != MaxDirectors {
		t.Errorf("got %d directors, want %d", got, MaxDirectors)
	}
	if got := f.Role("d1023"); got != Director {
		t.Errorf("role of the last: got %v, want %v", got, Director)
	}
	const fault = "control.yaml:11: directors: found 1025 entries, expected 1024 or less"
	checkFault(t, "control.yaml", fileOfDirectors(MaxDirectors+1), "", fault)
}

// A running machine can change its list of directors, addresses and duties, but not its role. A control machine cannot change the
// names of control machines and the times, which a director can.
func TestFixedDifferences(t *testing.T) {
	before := mustParse(t, smallFile, "")
	for _, test := range []struct{ old, new, name, differences string }{
		{"{name: d1,", "{name: d2,", "c0", ""},
		{"{name: d1,", "{name: d2,", "d0", ""},
		{"{name: d1,", "{name: d2,", "d1", "this machine's role"},
		{"{name: c2,", "{name: c3,", "c2", "this machine's role, the names of control machines"},
		{"10.0.0.2:7400", "10.0.0.5:7400", "c0", ""},
		{"10.0.0.2:7400", "10.0.0.5:7400", "d0", ""},
		{"period: 1s", "period: 2s", "c0", ""},
		{"{name: c2,", "{name: c3,", "c0", "the names of control machines"},
		{"{name: c2,", "{name: c3,", "d0", ""},
		{"rate: 20KB/s", "rate: 30KB/s", "c0", "uplink.rate"},
		{"rate: 20KB/s", "rate: 30KB/s", "d0", ""},
		{"spread: 1s", "spread: 2s", "c0", ""},
		{"spread: 1s", "spread: 2s", "d0", "uplink.spread"},
		{"duties:", "lease: 2s\nduties:", "c0", "lease, beat or drift"},
		{"duties:", "lease: 2s\nduties:", "d0", ""},
		{"duties:", "try: {clock: 1.1}\nduties:", "c0", "try"},
	} {
		t.Run(test.new+" at "+test.name, func(t *testing.T) {
			changed := mustParse(t, replaceOnce(t, smallFile, test.old, test.new), "")
			if got := strings.Join(changed.ChangesRequiringRestart(before, test.name), ", "); got != test.differences {
				t.Errorf("got differences %q, want %q", got, test.differences)
			}
		})
	}
	differences := mustParse(t, string(deployedFile(t)), "").ChangesRequiringRestart(before, "d0")
	if !slices.Contains(differences, "this machine's role") || !slices.Contains(differences, "the names of control machines") {
		t.Errorf("instances in place of control machines: got differences %q", differences)
	}
}

// MembershipHash differs with the names of members, and does not depend on their order, on addresses or on directors.
func TestMembershipHash(t *testing.T) {
	hash := func(text string) string { return mustParse(t, text, "").MembershipHash() }
	before := hash(smallFile)
	if len(before) != 16 {
		t.Errorf("got %q, want 16 digits", before)
	}
	if other := hash(replaceOnce(t, smallFile, "{name: c2,", "{name: c3,")); other == before {
		t.Error("another name makes no difference")
	}
	lines := strings.SplitAfter(smallFile, "\n")
	lines[1], lines[2] = lines[2], lines[1]
	same := strings.NewReplacer("10.0.0.2", "10.0.0.5", "name: d1", "name: d2").Replace(strings.Join(lines, ""))
	if same == smallFile || hash(same) != before {
		t.Error("order, an address or a director makes a difference")
	}
	longFirst := &File{Control: []ControlEntry{{Name: "a1"}, {Name: "b"}}}
	shortFirst := &File{Control: []ControlEntry{{Name: "a"}, {Name: "1b"}}}
	if longFirst.MembershipHash() == shortFirst.MembershipHash() {
		t.Error("names run into each other")
	}
}
