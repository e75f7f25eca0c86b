// Package migrate converts a director's configuration from the old shape of deployments to the new shape, and back. It works on bytes;
// the command reads and writes the files. In the old shape all endpoints have the same capacity, responses say which node failed a fill,
// requests are not coalesced, and there are no health checks by PING.
package migrate

import (
	"fmt"
	"slices"
)

// Values of Shape.Weights.
const (
	WeightsNone    = "none"    // the endpoint list has no capacities: all endpoints have the same
	WeightsNominal = "nominal" // the endpoint list has the capacities
	WeightsRough   = "rough"   // the endpoint list has approximate capacities
)

// Values of Shape.Notes.
const (
	NotesAll  = "all"  // responses report hits and fills
	NotesHit  = "hit"  // responses report hits only
	NotesNone = "none" // responses report neither
)

// Shape is the difference of the new deployment from the old shape, as its operators state it.
type Shape struct {
	Weights string // what the endpoint list says about capacities
	Notes   string // what responses say about hits and fills
	Joins   bool   // requests may be coalesced with a fill in progress
	Probes  bool   // nodes may be checked by PING
}

// Check returns an error where Weights or Notes has an unknown value.
func (s Shape) Check() error {
	if !slices.Contains([]string{WeightsNone, WeightsNominal, WeightsRough}, s.Weights) {
		return fmt.Errorf("weights: %q is none of none, nominal, rough", s.Weights)
	}
	if !slices.Contains([]string{NotesAll, NotesHit, NotesNone}, s.Notes) {
		return fmt.Errorf("notes: %q is none of all, hit, none", s.Notes)
	}
	return nil
}

// shapeSetting is a setting in which the shapes differ.
type shapeSetting struct {
	path     string
	oldValue string                // value in the old shape, where a file states it
	newValue func(shape Shape) any // value in the new shape
}

// shapeSettings lists all settings in which the shapes differ.
var shapeSettings = []shapeSetting{
	{"weightKind", WeightsNone, func(shape Shape) any { return shape.Weights }},
	{"domain.noteLevel", NotesAll, func(shape Shape) any { return shape.Notes }},
	{"domain.canJoin", "false", func(shape Shape) any { return shape.Joins }},
	{"limits.probing", "false", func(shape Shape) any { return shape.Probes }},
}

// ToNewShape converts a file of the old shape to the new shape. It also returns a line for each thing that could not be carried over. The error
// for a faulty or unknown value names its key.
func ToNewShape(raw []byte, shape Shape) (converted []byte, lost []string, err error) {
	if err := shape.Check(); err != nil {
		return nil, nil, err
	}
	tree, settings, err := read(raw)
	if err != nil {
		return nil, nil, err
	}
	if _, ok := tree[previousKey]; ok {
		return nil, nil, fmt.Errorf("%s: the file is of the new shape already", previousKey)
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

// previousSettings returns the current values of the settings in which the shapes differ, with nil for an absent one. It returns an error
// where a value is not that of the old shape.
func previousSettings(settings object) (object, error) {
	previous := object{}
	for _, differing := range shapeSettings {
		value := setting(settings, differing.path)
		if text := fmt.Sprint(value); value != nil && text != differing.oldValue {
			return nil, fmt.Errorf("settings.%s: %q is of the new shape already", differing.path, text)
		}
		previous[differing.path] = value
	}
	return previous, nil
}

// ToOldShape converts a file that To returned back to the original one, with new formatting. The error for a faulty, unknown or missing value
// names its key.
func ToOldShape(raw []byte) ([]byte, error) {
	tree, settings, err := read(raw)
	if err != nil {
		return nil, err
	}
	previous, ok := tree[previousKey].(object)
	if !ok {
		return nil, fmt.Errorf("%s: missing, so it is not known what the settings were", previousKey)
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
