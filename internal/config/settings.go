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

// noKind is the tier of parents or of origins in a deployment without such a tier.
const noKind = -1

// ParseText parses settings in lines of path=value, the form in which the simulator passes them. Absent values are zero. The error is a
// *KeyError for the first invalid value.
func ParseText(text string) (routing.Settings, error) {
	table := parseText(text)
	settings := newSettings(table)
	return settings, table.err
}

// newSettings converts a table of settings, parsed from JSON or from text, to the form that package routing uses. The first error is
// stored in settings.err.
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
		settings.fail("zone", "%d is not an index into zones", result.Zone)
		return result
	}
	result.DirectorsInZone = settings.item("domain.zoneBalancers", result.Zone).integer("")
	for index := range settings.classes() {
		result.Classes = append(result.Classes, newClass(settings, index))
	}
	return result
}

// kind returns the tier at a key, or noKind if it is absent.
func kind(settings *values, key string) int {
	if !settings.has(key) {
		return noKind
	}
	return settings.integer(key)
}

// strictBool returns the value at a key. A value other than true or false is an error. An absent value is false.
func strictBool(settings *values, key string) bool {
	if text := settings.text(key); text != "" && text != "true" && text != "false" {
		settings.fail(key, "%q is neither true nor false", text)
	}
	return settings.isTrue(key)
}

// fillFaultsReported reports whether responses name the node that failed a fill. This is the case if the settings state no level.
func fillFaultsReported(settings *values) bool {
	switch level := settings.text("domain.noteLevel"); level {
	case "", "all":
		return true
	case "hit", "none":
	default:
		settings.fail("domain.noteLevel", "unknown value %q, expected all, hit or none", level)
	}
	return false
}

// weightsAreCapacities reports whether the weights in the endpoint list are capacities. Live weights are not, since they change with
// the load.
func weightsAreCapacities(settings *values) bool {
	switch weights := settings.text("weightKind"); weights {
	case "nominal", "rough":
		return true
	case "", "none", "live":
	default:
		settings.fail("weightKind", "unknown value %q, expected nominal, rough, live or none", weights)
	}
	return false
}

// classes returns the number of classes. If the number is negative or larger than the number of all values, it stores an error and
// returns 0. Without this check, a count of, say, a billion would make newSettings create that many classes.
func (v *values) classes() int {
	count := v.integer("classes.count")
	if count < 0 || count > len(v.byPath) {
		v.fail("classes.count", "%d is negative or exceeds the number of values", count)
		return 0
	}
	return count
}

// classPath returns the prefix of the keys of a class, including the final dot.
func classPath(index int) string { return fmt.Sprintf("classes.%d.", index) }

// newClass converts the class at an index. Some of its values are items of lists that have one item per class.
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

// effect returns the effect of a repeated request. Unknown values are treated as the strictest, routing.NonIdempotent.
func effect(idempotency string) routing.Effect {
	switch idempotency {
	case idempotent:
		return routing.Idempotent
	case idempotentWithKey:
		return routing.IdempotencyKeyed
	}
	return routing.NonIdempotent
}

// dedupScope returns the set of caches within which a repeated request with an idempotency key is dropped. Unknown names are treated as
// the smallest scope, which is safe.
func dedupScope(name string) routing.DedupScope {
	switch name {
	case "all":
		return routing.DedupAll
	case "zone":
		return routing.DedupZone
	}
	return routing.DedupCell
}
