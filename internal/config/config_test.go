package config

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// completeJSON is a configuration that states each value that the tests change.
const completeJSON = `{"name":"n3","listen":"10.0.0.4:8443","seed":"8c1f30d27a5be964","journal":"10.2.0.1:2379",
 "limits":{"cores":1.0,"memory_mb":2048,"sockets":4096},"flow_bytes_per_s":310000,
 "known":{"pos":1,"entries":[{"hosts":{"hosts":[{"host":"s-331d10af","dial":"10.1.0.1:1","site":"east, far","class":"box",
  "health":"SERVING"}]},"pos":1}]},
 "settings":{"classes":[{"name":"clip","aim":400000,"aimStretch":2.0,"deadline":6000000,"group":"all","window":5000000,
  "idempotency":"read_like"},{"name":"log","aim":600000,"deadline":3000000,"group":"zone","idempotency":"idempotency_key",
  "window":3000000}],"domain":{"classFresh":[0,12000000],"classGrace":[0,1],"hubOf":[0,1],"inParts":[true,false],
  "mayPassBy":true,"midKind":1,"sourceKind":2,"passOn":[false,true],"zoneBalancers":[1,2],"parentFloor":0.075},
  "instances":3,"limits":{"cancel":true,"sendCap":8,"dialTimeout":250000},"me":2,"models":["box","mid","root"],
  "rules":{"fallMultiple":3.0,"rampTime":17000000,"tipAfter":3000000},"tenants":[],"zone":1,"zones":["west","east, far"]}}`

// completeText is the settings of completeJSON as the simulator passes them.
const completeText = `classes.count=2
classes.0.aim=400000
classes.0.aimStretch=2.0
classes.0.deadline=6000000
classes.0.group=all
classes.0.idempotency=read_like
classes.0.window=5000000
classes.1.aim=600000
classes.1.deadline=3000000
classes.1.group=zone
classes.1.idempotency=idempotency_key
classes.1.window=3000000
domain.classFresh=0,12000000
domain.classGrace=0,1
domain.hubOf=0,1
domain.inParts=true,false
domain.mayPassBy=true
domain.midKind=1
domain.sourceKind=2
domain.parentFloor=0.075
domain.passOn=false,true
domain.zoneBalancers=1,2
instances=3
limits.cancel=true
limits.sendCap=8
me=2
rules.fallMultiple=3.0
rules.rampTime=17000000
rules.tipAfter=3000000
zone=1`

// TestBothFormsAlike: the simulator's text and the director's JSON are two forms of the same settings.
func TestBothFormsAlike(t *testing.T) {
	config, err := Parse([]byte(completeJSON), "", "")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := ParseText(completeText)
	if err != nil {
		t.Fatal(err)
	}
	settings.Seed = config.Settings.Seed // the text has none
	if !reflect.DeepEqual(settings, config.Settings) {
		t.Errorf("from text %+v\nfrom JSON %+v", settings, config.Settings)
	}
}

// TestParse: values outside the settings are read, and those that the file leaves out have their defaults.
func TestParse(t *testing.T) {
	config, err := Parse([]byte(completeJSON), "", "")
	if err != nil {
		t.Fatal(err)
	}
	values := []struct {
		name      string
		got, want any
	}{
		{"seed", config.Settings.Seed, uint64(0x8c1f30d27a5be964)},
		{"dial timeout", config.DialTimeout, 250 * time.Millisecond},
		{"streams, by default", config.MaxStreams, defaultMaxStreams},
		{"sockets", config.Sockets, 4096},
		{"known events", len(config.Known), 1},
		{"last event", config.LastEvent, uint64(1)},
		{"second class", config.ClassNames[1], "log"},
		{"transfer rate", config.TransferRate, 310000.0},
	}
	for _, value := range values {
		if value.got != value.want {
			t.Errorf("%s: got %v, want %v", value.name, value.got, value.want)
		}
	}
}

// TestOverrides: a name and an address given to Parse replace those of the file, except in FileIdentity.
func TestOverrides(t *testing.T) {
	config, err := Parse([]byte(completeJSON), "n9", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n9" || config.Listen.Port() != 9 || config.FileIdentity != "n3 at 10.0.0.4:8443" {
		t.Errorf("name %q, listen %v, file identity %q", config.Name, config.Listen, config.FileIdentity)
	}
}

// TestFaultsNameTheKey: the error of a faulty value begins with its key.
func TestFaultsNameTheKey(t *testing.T) {
	cases := []struct {
		text   string // part of completeJSON that faulty replaces
		faulty string
		key    string
	}{
		{`"listen":"10.0.0.4:8443"`, `"listen":"here"`, "listen"},
		{`"name":"n3",`, ``, "name"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"journal":"10.2.0.1:2379",`, ``, "journal"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"sockets":4096`, `"sockets":"many"`, "limits.sockets"},
		{`"known"`, `"unknown"`, "known"},
		{`"settings"`, `"set"`, "settings"},
		{`"name":"log",`, ``, "settings.classes.1.name"},
		{`"deadline":3000000,`, ``, "settings.classes.1.deadline"},
		{`"read_like"`, `"readlike"`, "settings.classes.0.idempotency"},
		{`"sendCap":8`, `"sendCap":800`, "settings.limits.sendCap"},
		{`"zone":1`, `"zone":"east"`, "settings.zone"},
		{`"site":"east, far"`, `"site":"south"`, "known.entries.0.hosts.hosts.0.site"},
		{`"rampTime":17000000,`, ``, "settings.rules.rampTime"},
		{`"instances":3,`, ``, "settings.instances"},
		{`"midKind":1`, `"midKind":1,"canJoin":"yes"`, "settings.domain.canJoin"},
		{`"me":2`, `"me":2,"weightKind":"big"`, "settings.weightKind"},
		{`"flow_bytes_per_s":310000`, `"flow_bytes_per_s":0`, "flow_bytes_per_s"},
		{`"midKind":1`, `"midKind":1,"noteLevel":"some"`, "settings.domain.noteLevel"},
		{`"cancel":true`, `"cancel":true,"probing":1`, "settings.limits.probing"},
		{`"zone":1`, `"zone":-1`, "settings.zone"},
		{`"tenants":[]`, `"classes":{"count":1000000}`, "settings.classes.count"},
		{`"tenants":[]`, `"classes":{"count":0.5}`, "settings.classes.count"},
	}
	for _, test := range cases {
		t.Run(test.key, func(t *testing.T) {
			faulty := strings.Replace(completeJSON, test.text, test.faulty, 1)
			if _, err := Parse([]byte(faulty), "", ""); err == nil || !strings.HasPrefix(err.Error(), test.key+":") {
				t.Errorf("%s for %s: error %v, want one of %s", test.faulty, test.text, err, test.key)
			}
		})
	}
	if _, err := Parse([]byte(completeJSON[:100]), "", ""); err == nil {
		t.Error("half a file was accepted")
	}
}

// TestTextFaultsNameTheKey: the error of a faulty value in settings as text begins with its key.
func TestTextFaultsNameTheKey(t *testing.T) {
	cases := []struct{ text, key string }{
		{"classes.count=999999", "classes.count"},
		{"zone=-1", "zone"},
	}
	for _, test := range cases {
		t.Run(test.key, func(t *testing.T) {
			if _, err := ParseText(test.text); err == nil || !strings.HasPrefix(err.Error(), test.key+":") {
				t.Errorf("%s: error %v, want one of %s", test.text, err, test.key)
			}
		})
	}
}
