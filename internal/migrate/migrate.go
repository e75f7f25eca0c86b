// Package migrate converts a director's configuration from the old shape of deployments to the new shape, and back. In the old shape all
// endpoints have the same capacity, responses report which node failed a fill, requests are not coalesced, and there are no health checks
// by PING. The package works on bytes; the migrate command reads and writes the files.
package migrate

import (
	"fmt"
	"slices"
)

// Values of Shape.Weights.
const (
	WeightsNone    = "none"    // the endpoint list has no capacities: all endpoints count as equal
	WeightsNominal = "nominal" // the endpoint list has the capacities
	WeightsRough   = "rough"   // the endpoint list has approximate capacities
)

// Values of Shape.Notes.
const (
	NotesAll  = "all"  // responses report hits and fills
	NotesHit  = "hit"  // responses report hits only
	NotesNone = "none" // responses report neither
)

// Shape describes how a new deployment differs from the old shape. Operators state it.
type Shape struct {
	Weights string // which capacities the endpoint list has: a Weights constant
	Notes   string // what responses report about hits and fills: a Notes constant
	Joins   bool   // requests may be coalesced with a fill in progress
	Probes  bool   // nodes may be checked by PING
}

// Check returns an error if Weights or Notes has an unknown value.
func (s Shape) Check() error {
	if !slices.Contains([]string{WeightsNone, WeightsNominal, WeightsRough}, s.Weights) {
		return fmt.Errorf("weights: unknown value %q, expected none, nominal or rough", s.Weights)
	}
	if !slices.Contains([]string{NotesAll, NotesHit, NotesNone}, s.Notes) {
		return fmt.Errorf("notes: unknown value %q, expected all, hit or none", s.Notes)
	}
	return nil
}

// shapeSetting is a setting whose value depends on the shape.
type shapeSetting struct {
	path     string
	oldValue string                // value in the old shape, if a file states the setting
	newValue func(shape Shape) any // value in the new shape
}

// shapeSettings lists all settings whose values depend on the shape.
var shapeSettings = []shapeSetting{
	{"weightKind", WeightsNone, func(shape Shape) any { return shape.Weights }},
	{"domain.noteLevel", NotesAll, func(shape Shape) any { return shape.Notes }},
	{"domain.canJoin", "false", func(shape Shape) any { return shape.Joins }},
	{"limits.probing", "false", func(shape Shape) any { return shape.Probes }},
}

// ToNewShape converts a configuration of the old shape to the new shape. It also returns a line for each thing that could not be carried over. An
// error for an invalid value or an unknown key names the key.
func ToNewShape(raw []byte, shape Shape) (converted []byte, lost []string, err error) {
	if err := shape.Check(); err != nil {
		return nil, nil, err
	}
	tree, settings, err := read(raw)
	if err != nil {
		return nil, nil, err
	}
	if _, ok := tree[previousKey]; ok {
		return nil, nil, fmt.Errorf("%s: the file already has the new shape", previousKey)
	}
	previous, err := previousSettings(settings)
	if err != nil {
		return nil, nil, err
	}
	for _, differing := range shapeSettings {
		if err := putSetting(settings, differing.path, differing.newValue(shape)); err != nil {
			return nil, nil, err
		}
	}
	tree[previousKey] = previous
	if converted, err = write(tree); err != nil {
		return nil, nil, err
	}
	return converted, notCarried(tree, settings, shape), nil
}

// previousSettings returns the current values of the settings that depend on the shape, with nil for an absent one. It returns an error if
// a value is not that of the old shape.
func previousSettings(settings object) (object, error) {
	previous := object{}
	for _, differing := range shapeSettings {
		value := setting(settings, differing.path)
		if text := fmt.Sprint(value); value != nil && text != differing.oldValue {
			return nil, fmt.Errorf("settings.%s: %q is already a value of the new shape", differing.path, text)
		}
		previous[differing.path] = value
	}
	return previous, nil
}

// ToOldShape converts a configuration that migrate.ToNewShape returned back to the old shape. It restores the original values, but not the original
// formatting. An error for an invalid value or for an unknown or missing key names the key.
func ToOldShape(raw []byte) ([]byte, error) {
	tree, settings, err := read(raw)
	if err != nil {
		return nil, err
	}
	previous, ok := tree[previousKey].(object)
	if !ok {
		return nil, fmt.Errorf("%s: missing, so the previous settings are unknown", previousKey)
	}
	for _, differing := range shapeSettings {
		value, ok := previous[differing.path]
		if !ok {
			return nil, fmt.Errorf("%s.%s: missing", previousKey, differing.path)
		}
		if err := putSetting(settings, differing.path, value); err != nil {
			return nil, err
		}
	}
	delete(tree, previousKey)
	return write(tree)
}
