package routing

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestMovingAverageRounding compares the moving averages over many random samples, bit for bit, with the arithmetic written
// out. Any change of rounding would change replayed decisions.
func TestMovingAverageRounding(t *testing.T) {
	type averages struct {
		samples     float64       // updated by observe
		events      float64       // updated by observe with 1 and 0
		eventsAdded float64       // updated by observeEvent
		duration    time.Duration // updated by smoothed
	}
	random := rand.New(rand.NewSource(11))
	var samples, events, eventsAdded movingAverage
	duration := time.Second
	want := averages{duration: time.Second}
	for i := range 100_000 {
		sample, event, probability := 3*random.Float64(), random.Intn(5) == 0, float64(8+random.Intn(9))/16
		samples.observe(sample, smoothing)
		want.samples += (sample - want.samples) * smoothing

		if event {
			events.observe(1, 1-math.Pow(1-smoothing, probability))
			want.events += (1 - want.events) * (1 - math.Pow(1-smoothing, probability))
		} else {
			events.observe(0, smoothing*probability)
			want.events -= want.events * smoothing * probability
		}

		eventsAdded.observeEvent(event, 2*smoothing)
		if want.eventsAdded -= want.eventsAdded * 2 * smoothing; event {
			want.eventsAdded += 2 * smoothing
		}

		taken := time.Duration(sample * float64(time.Second))
		duration = smoothed(duration, taken, 2*smoothing)
		want.duration += time.Duration(float64(taken-want.duration) * 2 * smoothing)

		got := averages{float64(samples), float64(events), float64(eventsAdded), duration}
		if got != want {
			t.Fatalf("sample %d: got %+v, want %+v", i, got, want)
		}
	}
}
