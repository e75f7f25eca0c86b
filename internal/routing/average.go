package routing

// Moving averages of samples that arrive one at a time. The newest sample has the largest weight.

import "time"

// movingAverage is an exponentially weighted moving average. If the samples are events that happened (1) or did not happen (0),
// it is the share of events that happened. The two methods differ only in rounding. The rounding must not change, because
// decisions are replayed bit for bit.
type movingAverage float64

// observe adds one sample to the average, with a weight from 0 to 1.
func (average *movingAverage) observe(sample, weight float64) {
	*average += movingAverage((sample - float64(*average)) * weight)
}

// observeEvent adds one event that happened or did not happen, with a weight from 0 to 1. It first scales down the average,
// then adds the event.
func (average *movingAverage) observeEvent(happened bool, weight float64) {
	*average -= *average * movingAverage(weight)
	if happened {
		*average += movingAverage(weight)
	}
}

// smoothed returns an exponentially weighted moving average of durations, updated with one more sample.
func smoothed(average, sample time.Duration, weight float64) time.Duration {
	return average + time.Duration(float64(sample-average)*weight)
}
