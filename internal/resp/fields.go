package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// appendName appends the start of a field: a separator if another field precedes it, its name and the value separator.
func appendName(fields []byte, name string) []byte {
	if len(fields) > 0 {
		fields = append(fields, fieldSeparator...)
	}
	fields = append(fields, name...)
	return append(fields, valueSeparator...)
}

// appendText appends a field whose value is a text.
func appendText(fields []byte, name, value string) []byte {
	return append(appendName(fields, name), value...)
}

// appendInt appends a field whose value is an integer.
func appendInt(fields []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendName(fields, name), value, 10)
}

// parseFields calls set with the name and the value of each field, and returns the first error of set. Name and value are slices of
// fields, so set must copy them to retain them. It returns ErrMalformed for a field without a value.
func parseFields(fields []byte, set func(name, value []byte) error) error {
	if len(fields) == 0 || string(fields) == noFields {
		return nil
	}
	for field := range bytes.SplitSeq(fields, []byte(fieldSeparator)) {
		name, value, ok := bytes.Cut(field, []byte(valueSeparator))
		if !ok {
			return fmt.Errorf("%w: field %q has no value", ErrMalformed, field)
		}
		if err := set(name, value); err != nil {
			return err
		}
	}
	return nil
}
