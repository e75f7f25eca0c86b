package topology

// Conversion of units from and to YAML.

// unit is implemented by pointers to values that are written with their unit.
type unit interface {
	// read parses a text and sets the value. The error is a *unitError.
	read(text string) error
}

// readInto parses a text and sets the value. The value does not change if the text cannot be parsed.
func readInto[T any](value *T, text string, parse func(string) (T, error)) error {
	parsed, err := parse(text)
	if err == nil {
		*value = parsed
	}
	return err
}

// Each read method parses its unit.

func (d *Duration) read(text string) error { return readInto(d, text, ParseDuration) }
func (s *Size) read(text string) error     { return readInto(s, text, ParseSize) }
func (r *Rate) read(text string) error     { return readInto(r, text, ParseRate) }
func (s *Share) read(text string) error    { return readInto(s, text, ParseShare) }

// unmarshalUnit decodes a unit from YAML. It decodes the value as a string instead of taking its bytes from the file,
// because the decoder walks over the whole document to find the bytes of one value.
func unmarshalUnit(value unit, decode func(any) error) error {
	var text string
	if err := decode(&text); err != nil {
		return err
	}
	return value.read(text)
}

// UnmarshalYAML reads a duration with its unit.
func (d *Duration) UnmarshalYAML(decode func(any) error) error { return unmarshalUnit(d, decode) }

// UnmarshalYAML reads a size with its unit.
func (s *Size) UnmarshalYAML(decode func(any) error) error { return unmarshalUnit(s, decode) }

// UnmarshalYAML reads a rate with its unit.
func (r *Rate) UnmarshalYAML(decode func(any) error) error { return unmarshalUnit(r, decode) }

// UnmarshalYAML reads a percentage or a number from 0 to 1.
func (s *Share) UnmarshalYAML(decode func(any) error) error { return unmarshalUnit(s, decode) }

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(d.String()), nil }

// MarshalYAML writes the size with its unit.
func (s Size) MarshalYAML() ([]byte, error) { return []byte(s.String()), nil }

// MarshalYAML writes the rate with its unit.
func (r Rate) MarshalYAML() ([]byte, error) { return []byte(r.String()), nil }

// MarshalYAML writes the share as a percentage.
func (s Share) MarshalYAML() ([]byte, error) { return []byte(s.String()), nil }
