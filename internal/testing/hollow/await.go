package hollow

// This file waits for conditions.

import (
	"errors"
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/testing/poll"
)

// pollPeriod is how often Await checks its condition.
const pollPeriod = 20 * time.Millisecond

// ErrTimeout means that a condition did not hold in time.
var ErrTimeout = errors.New("hollow: condition not met in time")

// Await waits until a condition holds and returns how long that took. If it does not hold within the given time, the error
// wraps ErrTimeout and names the condition. The caller's goroutine checks the condition.
func Await(condition string, within time.Duration, holds func() bool) (time.Duration, error) {
	took, ok := poll.Until(within, pollPeriod, holds)
	if !ok {
		return took, fmt.Errorf("%w: %s, time limit %v", ErrTimeout, condition, within)
	}
	return took, nil
}
