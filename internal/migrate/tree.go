package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"indigochute.example/indigochute/internal/config"
)

// object is a decoded JSON object. Numbers are of type json.Number, so that they are written exactly as they were read.
type object = map[string]any

// read parses a configuration. It checks that a director would accept it and that it has no unknown keys. The returned settings are part of
// the returned tree.
func read(raw []byte) (tree, settings object, err error) {
	if _, err := config.Parse(raw, "", ""); err != nil {
		return nil, nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, nil, fmt.Errorf("not JSON: %w", err)
	}
	settings, ok := tree["settings"].(object)
	if !ok {
		return nil, nil, errors.New("settings: must be an object")
	}
	if err := checkKeys(tree, settings); err != nil {
		return nil, nil, err
	}
	return tree, settings, nil
}

// write formats a configuration as JSON and checks that a director would accept it.
func write(tree object) ([]byte, error) {
	formatted, err := json.MarshalIndent(tree, "", "  ")
	if err != nil {
		return nil, err
	}
	if _, err := config.Parse(formatted, "", ""); err != nil {
		return nil, fmt.Errorf("the converted configuration is invalid: %w", err)
	}
	return append(formatted, '\n'), nil
}

// setting returns the value at a path, which is KEY or GROUP.KEY. It returns nil if the value is absent or null.
func setting(settings object, path string) any {
	group, key, nested := strings.Cut(path, ".")
	if !nested {
		return settings[path]
	}
	inner, _ := settings[group].(object)
	return inner[key]
}

// putSetting sets the value at a path, or removes the key if the value is nil. It removes a group that becomes empty.
func putSetting(settings object, path string, value any) error {
	group, key, nested := strings.Cut(path, ".")
	if !nested {
		putKey(settings, path, value)
		return nil
	}
	inner, ok := settings[group].(object)
	if !ok && settings[group] != nil {
		return fmt.Errorf("settings.%s: must be an object", group)
	}
	if inner == nil {
		inner = object{}
	}
	putKey(inner, key, value)
	settings[group] = inner
	if len(inner) == 0 {
		delete(settings, group)
	}
	return nil
}

// putKey sets the value of a key, or removes the key if the value is nil.
func putKey(changed object, key string, value any) {
	if value == nil {
		delete(changed, key)
	} else {
		changed[key] = value
	}
}
