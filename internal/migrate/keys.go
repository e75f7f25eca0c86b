package migrate

import (
	"fmt"
	"slices"
	"strings"
)

// previousKey is the top-level key under which a file of the new shape stores the previous values of the changed settings, for
// migrate.ToOldShape.
const previousKey = "before_migration"

// topKeys are the top-level keys of a configuration.
var topKeys = strings.Fields("name listen seed journal limits known settings flow_bytes_per_s link_bytes_per_s")

// settingsGroup is an object in the settings, or the settings object itself, with the keys that are allowed in it.
type settingsGroup struct {
	name string // key of the object; empty: the settings object itself
	keys []string
}

// settingsGroups lists all groups in the order in which they are checked.
var settingsGroups = []settingsGroup{
	{"", strings.Fields(`classes clientHabits discovery domain family instances limits loadReport me models objectiveMix
		overShareWorth rules tariffs tenants tick tier tiers weightKind worthBy zone zones`)},
	{"domain", strings.Fields(`canJoin classFresh classGrace feedKbPerS flowKbPerS heedWithin hubOf inParts inletCost mayPassBy
		midKind noteLevel originOverFor parentBreaksAt parentFloor passOn purgeSettles reportX0 reportX1 rootFallMultiple
		siblings sourceKind upperCold worthWhenOld zoneBalancers`)},
	{"limits", strings.Fields(`cancel connIdle cpuUsPerRequest cpuUsPerS dialTimeout maxOpen maxRetryAfter maxStreams
		mayDuplicate peerMessages probing retryAfter sendCap`)},
	{"rules", strings.Fields("answerSlack askEvery drainGrace fallMultiple rampTime startCapacity tipAfter")},
}

// checkKeys returns an error if a configuration has an unknown key. Otherwise a misspelt key would be carried over and have no effect.
func checkKeys(tree, settings object) error {
	if err := checkKeysOf(tree, "", append([]string{previousKey}, topKeys...)); err != nil {
		return err
	}
	for _, group := range settingsGroups {
		if err := group.check(settings); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if the group is not an object or has an unknown key. An absent group is valid.
func (g settingsGroup) check(settings object) error {
	if g.name == "" {
		return checkKeysOf(settings, "settings.", g.keys)
	}
	switch inner := settings[g.name].(type) {
	case nil:
		return nil
	case object:
		return checkKeysOf(inner, "settings."+g.name+".", g.keys)
	}
	return fmt.Errorf("settings.%s: must be an object", g.name)
}

// checkKeysOf returns an error that names the alphabetically first unknown key. In the error, prefix precedes the key.
func checkKeysOf(checked object, prefix string, known []string) error {
	var unknown []string
	for key := range checked {
		if !slices.Contains(known, key) {
			unknown = append(unknown, key)
		}
	}
	if len(unknown) > 0 {
		return fmt.Errorf("%s%s: unknown key", prefix, slices.Min(unknown))
	}
	return nil
}
