package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// listSeparator separates the items of a plain list. Within an item it is replaced with separatorInItem, so that the indexes of the
// following items do not change.
const (
	listSeparator   = ","
	separatorInItem = "_"
)

// maxPositive bounds the numbers that positive accepts. A float64 represents every smaller integer exactly.
const maxPositive = 1e15

// KeyError is the error for an invalid or missing value in a configuration.
type KeyError struct {
	Key   string // path of the value, joined by dots
	Fault string
}

// Error names the key and the fault.
func (e *KeyError) Error() string { return e.Key + ": " + e.Fault }

// values is a tree of settings as a flat table from path to value, such as from limits.sendCap to 8. There are two kinds of lists:
//
//   - A plain list is a single value, with the items joined by listSeparator.
//   - A list of objects has its length at the list's path followed by .count, and each object at the list's path followed by its index.
//
// The methods that read a value return the zero value if it is absent or invalid. The first error is stored in err.
type values struct {
	byPath map[string]string
	prefix string // prepended to the keys in errors
	err    error  // the first error, a *KeyError; nil: none yet
}

// fail stores an error, unless one is stored already.
func (v *values) fail(key, format string, args ...any) {
	if v.err == nil {
		v.err = &KeyError{Key: v.prefix + key, Fault: fmt.Sprintf(format, args...)}
	}
}

// flatten converts a JSON object to the same table that parseText returns for these settings as text. Numbers stay as written.
func flatten(raw json.RawMessage) (*values, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	table := &values{byPath: map[string]string{}}
	table.add("", tree)
	return table, nil
}

// parseText parses lines of path=value. It ignores all other lines.
func parseText(text string) *values {
	table := &values{byPath: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			table.byPath[path] = value
		}
	}
	return table
}

// add adds a decoded JSON value at a path. Null counts as absent.
func (v *values) add(path string, tree any) {
	switch tree := tree.(type) {
	case map[string]any:
		for key, inner := range tree {
			v.add(strings.TrimPrefix(path+"."+key, "."), inner)
		}
	case []any:
		v.addList(path, tree)
	case nil:
	default:
		v.byPath[path] = fmt.Sprint(tree)
	}
}

// addList adds a list at a path. If the list has objects, its plain items are omitted.
func (v *values) addList(path string, list []any) {
	var plainItems []string
	objects := 0
	for _, item := range list {
		if _, isObject := item.(map[string]any); isObject {
			v.add(fmt.Sprintf("%s.%d", path, objects), item)
			objects++
			continue
		}
		plainItems = append(plainItems, strings.ReplaceAll(fmt.Sprint(item), listSeparator, separatorInItem))
	}
	if objects > 0 {
		v.byPath[path+".count"] = strconv.Itoa(objects)
	} else {
		v.byPath[path] = strings.Join(plainItems, listSeparator)
	}
}

// text returns the value as written, or "" if it is absent.
func (v *values) text(key string) string { return v.byPath[key] }

// has reports whether the value is present and not empty.
func (v *values) has(key string) bool { return v.byPath[key] != "" }

// number returns the value as a number, or 0 if it is absent.
func (v *values) number(key string) float64 {
	if !v.has(key) {
		return 0
	}
	number, err := strconv.ParseFloat(v.text(key), 64)
	if err != nil {
		v.fail(key, "%q is not a number", v.text(key))
	}
	return number
}

// integer returns the value as a number, truncated to an integer.
func (v *values) integer(key string) int { return int(v.number(key)) }

// isTrue reports whether the value is the text true.
func (v *values) isTrue(key string) bool { return v.text(key) == "true" }

// duration returns a value that is given in microseconds.
func (v *values) duration(key string) time.Duration {
	return time.Duration(v.number(key)) * time.Microsecond
}

// item returns a new table with one item of a plain list at the empty path. The table is empty if the list is shorter. Errors in the
// item are stored in the new table only, so an invalid item is zero and does not cause an error of v.
func (v *values) item(key string, index int) *values {
	items := strings.Split(v.text(key), listSeparator)
	single := &values{byPath: map[string]string{}}
	if index < len(items) {
		single.byPath[""] = items[index]
	}
	return single
}

// integers returns a plain list of numbers, or nil if it is absent.
func (v *values) integers(key string) (list []int) {
	if !v.has(key) {
		return nil
	}
	for index := range strings.Split(v.text(key), listSeparator) {
		list = append(list, v.item(key, index).integer(""))
	}
	return list
}

// required returns a value as written. An absent value is an error, in which expected describes the value.
func (v *values) required(key, expected string) string {
	if !v.has(key) {
		v.fail(key, "missing, expected %s", expected)
	}
	return v.text(key)
}

// positive returns a number. It is an error if the number is absent, not above 0, or not below maxPositive.
func (v *values) positive(key string) float64 {
	v.required(key, "a number above 0")
	number := v.number(key)
	inRange := number > 0 && number < maxPositive // false for NaN
	if !inRange {
		v.fail(key, "%q is not a number above 0 and below 1e15", v.text(key))
	}
	return number
}

// address returns an IP address and port. It is an error if the value is absent or invalid.
func (v *values) address(key string) netip.AddrPort {
	address, err := netip.ParseAddrPort(v.required(key, "an address and port"))
	if err != nil {
		v.fail(key, "%q is not an IP address and port", v.text(key))
	}
	return address
}
