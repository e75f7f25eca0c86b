// Package poll waits until a condition holds by checking it periodically. Tests and scenarios use it for conditions that do not
// notify them.
package poll

import "time"

// Until checks a condition every period, in the caller's goroutine, until it holds. It returns the time that this took, and true.
// If the condition does not hold within the given time, Until returns the given time and false. It checks the condition at least
// once.
func Until(within, period time.Duration, holds func() bool) (took time.Duration, ok bool) {
	start := time.Now()
	for !holds() {
		if time.Since(start) > within {
			return within, false
		}
		time.Sleep(period)
	}
	return time.Since(start), true
}
