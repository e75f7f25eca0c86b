package topology

// Values that are written with their unit: durations, sizes, rates and shares.

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration written with its unit, such as 300ms, 2s or 1m30s. It is not negative.
type Duration time.Duration

// Size is a number of bytes written with its unit, such as 800B, 64KB, 2.5MB or 1GB. Units are powers of ten.
type Size float64

// Rate is a number of bytes a second, written as in 400KB/s.
type Rate float64

// Share is a fraction of a whole, 0 to 1, written as in 20% or 0.2.
type Share float64

// Duration returns the duration as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// String returns the size with its unit.
func (s Size) String() string { return formatBytes(float64(s)) }

// String returns the rate with its unit.
func (r Rate) String() string { return formatBytes(float64(r)) + "/s" }

// String returns the share as a percentage.
func (s Share) String() string { return formatNumber(100*float64(s)) + "%" }

// sizeUnits holds the units of sizes, the largest first.
var sizeUnits = []struct {
	name  string
	bytes float64
}{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// formatBytes formats a number of bytes in the largest unit that is not greater than the number.
func formatBytes(bytes float64) string {
	for _, unit := range sizeUnits {
		if bytes >= unit.bytes {
			return formatNumber(bytes/unit.bytes) + unit.name
		}
	}
	return formatNumber(bytes) + "B"
}

// formatNumber formats a number with at most four significant digits.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', 4, 64) }

// unitError reports a text that is not a value with the expected unit.
type unitError struct {
	text     string
	expected string // what the text should be, such as "a share"
	verb     string // is or are, to agree in number with expected
	examples string // of valid texts
}

// Error returns the text that was found and what is expected.
func (e *unitError) Error() string {
	return fmt.Sprintf("%q where %s %s expected, such as %s", e.text, e.expected, e.verb, e.examples)
}

// ParseDuration parses a duration with its unit. It rejects negative durations.
func ParseDuration(text string) (Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		return 0, &unitError{text, "a time with its unit", "is", "300ms or 2s"}
	}
	return Duration(duration), nil
}

// ParseSize parses a number of bytes with its unit.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err == nil && value >= 0 && !math.IsInf(value, 0) {
			return Size(value * unit.bytes), nil
		}
		break // don't try B, which is a suffix of the other units
	}
	return 0, &unitError{text, "a size with its unit", "is", "64KB or 2MB"}
}

// ParseRate parses a number of bytes a second with its unit.
func ParseRate(text string) (Rate, error) {
	if size, ok := strings.CutSuffix(text, "/s"); ok {
		if bytes, err := ParseSize(size); err == nil {
			return Rate(bytes), nil
		}
	}
	return 0, &unitError{text, "bytes a second", "are", "400KB/s"}
}

// ParseShare parses a percentage or a number from 0 to 1.
func ParseShare(text string) (Share, error) {
	number, percent := strings.CutSuffix(text, "%")
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if percent {
		value /= 100
	}
	isShare := value >= 0 && value <= 1 // false for NaN
	if err != nil || !isShare {
		return 0, &unitError{text, "a share", "is", "20% or 0.2"}
	}
	return Share(value), nil
}
