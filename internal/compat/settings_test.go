package compat

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

// configLines returns the values of a parsed configuration, one a line. Their labels do not depend on the names of Go fields.
func configLines(c *config.Config) []byte {
	var b bytes.Buffer
	line := func(label string, value any) { fmt.Fprintf(&b, "%s=%v\n", label, value) }
	line("name", c.Name)
	line("written", c.FileIdentity)
	line("listen", c.Listen)
	line("journal", c.DiscoveryAddr)
	line("limits.cores", c.Cores)
	line("limits.memory_mb", c.MemoryMB)
	line("limits.sockets", c.Sockets)
	line("flow_bytes_per_s", c.TransferRate)
	line("known.pos", c.LastEvent)
	line("known.entries", len(c.Known))
	line("classes.name", strings.Join(c.ClassNames, "|"))
	line("zones", strings.Join(c.Zones, "|"))
	line("limits.dialTimeout", c.DialTimeout)
	line("limits.connIdle", c.IdleTimeout)
	line("limits.maxStreams", c.MaxStreams)
	line("limits.maxOpen", c.MaxOpenRequests)
	line("rules.drainGrace", c.DrainGrace)
	line("domain.heedWithin", c.PurgeGrace)
	b.Write(settingsLines(&c.Settings))
	return b.Bytes()
}

// settingsLines returns the values of parsed settings, one a line.
func settingsLines(s *routing.Settings) []byte {
	var b bytes.Buffer
	line := func(label string, value any) { fmt.Fprintf(&b, "%s=%v\n", label, value) }
	line("seed", s.Seed)
	line("me", s.Index)
	line("zone", s.Zone)
	line("domain.hubOf", s.HubOfZone)
	line("domain.midKind", s.ParentKind)
	line("domain.sourceKind", s.OriginKind)
	line("domain.mayPassBy", s.BypassAllowed)
	line("limits.cancel", s.CancelAllowed)
	line("limits.retryAfter", s.RetryAfterAllowed)
	line("limits.maxRetryAfter", s.MaxRetryAfter)
	line("limits.sendCap", s.MaxAttempts)
	line("domain.flowKbPerS", s.FlowKBPerSecond)
	for i, cold := range [...]routing.SlowStart{s.CacheSlowStart, s.ParentSlowStart} {
		kind := [...]string{"cache.", "parent."}[i]
		line(kind+"startCapacity", cold.InitialShare)
		line(kind+"rampTime", cold.Duration)
		line(kind+"fallMultiple", cold.OverloadMultiple)
		line(kind+"tipAfter", cold.Window)
	}
	line("domain.purgeSettles", s.PurgeRetention)
	line("instances", s.Directors)
	line("domain.zoneBalancers", s.DirectorsInZone)
	line("limits.probing", s.HealthChecks)
	line("domain.noteLevel", s.FillFaultsReported)
	line("domain.canJoin", s.FillsCollapse)
	line("weightKind", s.CapacitiesListed)
	for i, v := range s.Classes {
		prefix := fmt.Sprintf("classes.%d.", i)
		line(prefix+"aim", v.LatencyObjective)
		line(prefix+"aimStretch", v.ObjectiveStretch)
		line(prefix+"deadline", v.MaxDeadline)
		line(prefix+"idempotency", uint8(v.Effect))
		line(prefix+"group", uint8(v.DedupScope))
		line(prefix+"window", v.DedupWindow)
		line(prefix+"classFresh", v.FreshFor)
		line(prefix+"classGrace", v.StaleGrace)
		line(prefix+"inParts", v.Segmented)
		line(prefix+"passOn", v.Write)
	}
	return b.Bytes()
}

// TestConfigRead checks the value that is read for each key of a configuration, and each default.
func TestConfigRead(t *testing.T) {
	for name, file := range map[string]string{"config_read.txt": "in/config.json", "config_read_defaults.txt": "in/config_old.json"} {
		c, err := config.Parse(readGolden(t, file), "", "")
		if err != nil {
			t.Fatal(err)
		}
		golden(t, name, configLines(c))
	}
}

// TestEnvironment checks the environment variables that name a configuration and that override its values.
func TestEnvironment(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", inputs+"/config.json")
	t.Setenv("ROUTER_NAME", "n9")
	t.Setenv("ROUTER_LISTEN", "127.0.0.9:9")
	c, err := config.FromEnv()
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "environment.txt", configLines(c))
}

// TestSimulatorSettings checks the settings that are read from the text that the simulator passes.
func TestSimulatorSettings(t *testing.T) {
	s, err := config.ParseText(simulatorSettings)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "simulator_settings.txt", settingsLines(&s))
}

// yamlLines writes the values of a parsed file, one a line, with the path of their keys in the file.
func yamlLines(b *bytes.Buffer, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			key := v.Type().Field(i).Tag.Get("yaml")
			yamlLines(b, strings.TrimPrefix(path+"."+key, "."), v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			yamlLines(b, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range slices.SortedFunc(slices.Values(v.MapKeys()), func(a, b reflect.Value) int { return cmp.Compare(a.String(), b.String()) }) {
			yamlLines(b, path+"."+key.String(), v.MapIndex(key))
		}
	case reflect.Pointer:
		yamlLines(b, path, v.Elem())
	case reflect.Int, reflect.Int64:
		fmt.Fprintf(b, "%s=%d\n", path, v.Int()) // durations are in nanoseconds
	case reflect.Float64:
		fmt.Fprintf(b, "%s=%g\n", path, v.Float())
	case reflect.Bool:
		fmt.Fprintf(b, "%s=%t\n", path, v.Bool())
	default:
		fmt.Fprintf(b, "%s=%s\n", path, v.String())
	}
}

// TestClusterConfigRead checks the value that is read for each key of a cluster configuration file, and each default.
func TestClusterConfigRead(t *testing.T) {
	for name, file := range map[string]string{"all": inputs + "/operator_all.yaml", "deploy_operator": "../../deploy/operator.yaml",
		"deploy_control": "../../deploy/control.yaml"} {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		f, err := clusterconfig.Parse(file, raw, "")
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		yamlLines(&b, "", reflect.ValueOf(*f))
		fmt.Fprintf(&b, "hash of the names=%s\n", f.MembershipHash())
		golden(t, "operator_read_"+name+".txt", b.Bytes())
	}
}

// TestTopologyRead checks the value that is read for each key of a topology file, and each default.
func TestTopologyRead(t *testing.T) {
	for name, file := range map[string]string{"all": inputs + "/fleet_all.yaml", "small": "../../examples/plan/small.yaml",
		"zones": "../../examples/plan/zones.yaml"} {
		f, err := topology.Read(file)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		yamlLines(&b, "", reflect.ValueOf(*f))
		golden(t, "fleet_read_"+name+".txt", b.Bytes())
	}
}

// simulatorSettings is the text of settings that the simulator passes, with each setting that exists and an unknown one.
var simulatorSettings = strings.Join([]string{
	"classes.count=3",
	"classes.0.aim=400000", "classes.0.aimStretch=2.0", "classes.0.deadline=4000000", "classes.0.idempotency=read_like", "classes.0.value=2.0",
	"classes.1.aim=600000", "classes.1.deadline=3000000", "classes.1.group=zone", "classes.1.idempotency=idempotency_key", "classes.1.window=3000000",
	"classes.2.aim=700000", "classes.2.deadline=3500000", "classes.2.group=all", "classes.2.idempotency=non_idempotent",
	"domain.canJoin=true", "domain.classFresh=0,12000000,7000000", "domain.classGrace=0,1,2000000", "domain.flowKbPerS=310.5",
	"domain.hubOf=0,0", "domain.inParts=true,false,false", "domain.mayPassBy=true", "domain.midKind=1", "domain.noteLevel=hit",
	"domain.parentBreaksAt=2.5", "domain.parentFloor=0.075", "domain.passOn=false,true,true", "domain.purgeSettles=1500000", "domain.sourceKind=2",
	"domain.upperCold=9000000", "domain.zoneBalancers=0,1",
	"instances=3", "limits.cancel=true", "limits.maxRetryAfter=400000", "limits.probing=true", "limits.retryAfter=true", "limits.sendCap=4",
	"me=2", "rules.fallMultiple=3.0", "rules.rampTime=9000000", "rules.startCapacity=0.2", "rules.tipAfter=3000000",
	"unheard.of=1", "weightKind=rough", "zone=1", ""}, "\n")
