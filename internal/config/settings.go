package config

import (
	"fmt"

	"indigochute.example/indigochute/internal/routing"
)

// Values of a class's idempotency.
const (
	idempotent        = "read_like"
	idempotentWithKey = "idempotency_key"
	nonIdempotent     = "non_idempotent"
)

// noKind stands for the tier of parents or origins where a deployment has no such tier.
const noKind = -1

// ParseText reads the settings from lines of path=value, the form in which the simulator passes them. Absent values are zero. The error
// is a *KeyError, for the first faulty value.
func ParseText(text string) (routing.Settings, error) {
	table := parseText(text)
	settings := newSettings(table)
	return settings, table.err
}

// newSettings converts the table of settings, read from JSON or from text, to the form that the routing decisions use. The first
// fault is in settings.err.
func newSettings(settings *values) routing.Settings {
	result := routing.Settings{
		Index:             settings.integer("me"),
		Zone:              settings.integer("zone"),
		HubOfZone:         settings.integers("domain.hubOf"),
		ParentKind:        kind(settings, "domain.midKind"),
		OriginKind:        kind(settings, "domain.sourceKind"),
		BypassAllowed:     settings.isTrue("domain.mayPassBy"),
		CancelAllowed:     settings.isTrue("limits.cancel"),
		RetryAfterAllowed: settings.isTrue("limits.retryAfter"),
		MaxRetryAfter:     settings.duration("limits.maxRetryAfter"),
		MaxAttempts:       settings.integer("limits.sendCap"),
		FlowKBPerSecond:   settings.number("domain.flowKbPerS"),
		CacheSlowStart: routing.SlowStart{
			InitialShare:     settings.number("rules.startCapacity"),
			Duration:         settings.duration("rules.rampTime"),
			OverloadMultiple: settings.number("rules.fallMultiple"),
			Window:           settings.duration("rules.tipAfter"),
		},
		ParentSlowStart: routing.SlowStart{
			InitialShare:     settings.number("domain.parentFloor"),
			Duration:         settings.duration("domain.upperCold"),
			OverloadMultiple: settings.number("domain.parentBreaksAt"),
			Window:           settings.duration("rules.tipAfter"),
		},
		PurgeRetention:     settings.duration("domain.purgeSettles"),
		Directors:          settings.integer("instances"),
		FillsCollapse:      strictBool(settings, "domain.canJoin"),
		HealthChecks:       strictBool(settings, "limits.probing"),
		FillFaultsReported: fillFaultsReported(settings),
		CapacitiesListed:   weightsAreCapacities(settings),
	}
	if result.Zone < 0 {
		settings.fail("zone", "%d is no place in zones", result.Zone)
		return result
	}
	result.DirectorsInZone = settings.item("domain.zoneBalancers", result.Zone).integer("")
	for index := range settings.classes() {
		result.Classes = append(result.Classes, newClass(settings, index))
	}
	return result
}

// kind returns the tier at a key, or noKind where it is absent.
func kind(settings *values, key string) int {
	if !settings.has(key) {
		return noKind
	}
	return settings.integer(key)
}

// strictBool returns the value at a key, which must be true or false. An absent value is false.
func strictBool(settings *values, key string) bool {
	if text := settings.text(key); text != "" && text != "true" && text != "false" {
		settings.fail(key, "%q is neither true nor false", text)
	}
	return settings.isTrue(key)
}

// fillFaultsReported reports whether responses name the node that failed a fill. They do in a deployment that states no level.
func fillFaultsReported(settings *values) bool {
	switch level := settings.text("domain.noteLevel"); level {
	case "", "all":
		return true
	case "hit", "none":
	default:
		settings.fail("domain.noteLevel", "unknown %q", level)
	}
	return false
}

// weightsAreCapacities reports whether the weights in the endpoint list are capacities. Live weights are not: they change with
// the load.
func weightsAreCapacities(settings *values) bool {
	switch weights := settings.text("weightKind"); weights {
	case "nominal", "rough":
		return true
	case "", "none", "live":
	default:
		settings.fail("weightKind", "unknown %q", weights)
	}
	return false
}

// classes returns the number of classes. A number that is negative or larger than the number of all values is a fault, and classes
// returns 0. This guards against a count of, say, a billion, for each of which a class would be read.
func (v *values) classes() int {
	count := v.integer("classes.count")
	if count < 0 || count > len(v.byPath) {
		v.fail("classes.count", "%d is impossible", count)
		return 0
	}
	return count
}

// classPath returns the prefix of the keys of a class, with the final dot.
func classPath(index int) string { return fmt.Sprintf("classes.%d.", index) }

// newClass reads the class at an index. Some of its values are items of lists that have one item for each class.
func newClass(settings *values, index int) routing.Class {
	path := classPath(index)
	return routing.Class{
		LatencyObjective: settings.duration(path + "aim"),
		ObjectiveStretch: settings.number(path + "aimStretch"),
		MaxDeadline:      settings.duration(path + "deadline"),
		DedupWindow:      settings.duration(path + "window"),
		FreshFor:         settings.item("domain.classFresh", index).duration(""),
		StaleGrace:       settings.item("domain.classGrace", index).duration(""),
		Segmented:        settings.item("domain.inParts", index).isTrue(""),
		Write:            settings.item("domain.passOn", index).isTrue(""),
		Effect:           effect(settings.text(path + "idempotency")),
		DedupScope:       dedupScope(settings.text(path + "group")),
	}
}

// effect returns what a repeat of a request does. Unknown values are treated as the strictest, routing.NonIdempotent.
func effect(idempotency string) routing.Effect {
	switch idempotency {
	case idempotent:
		return routing.Idempotent
	case idempotentWithKey:
		return routing.IdempotencyKeyed
	}
	return routing.NonIdempotent
}

// dedupScope returns among which caches a repeat of a request with an idempotency key is dropped. Unknown names are treated as the
// smallest scope, which is safe.
func dedupScope(name string) routing.DedupScope {
	switch name {
	case "all":
		return routing.DedupAll
	case "zone":
		return routing.DedupZone
	}
	return routing.DedupCell
}
