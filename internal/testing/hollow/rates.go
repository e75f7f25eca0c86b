package hollow

// This file holds the resource usage of a process per second, and arithmetic on it.

// Rates is the resource usage of a process, or one director's share of it.
type Rates struct {
	Received   float64 `json:"received"`   // bytes a second over TCP, without headers
	Written    float64 `json:"written"`    // bytes a second over TCP, without headers
	Cores      float64 `json:"core"`       // processor time a second, so 1 is one core
	Resident   float64 `json:"resident"`   // bytes of memory
	Goroutines float64 `json:"goroutines"` // 0 if unknown
}

// combine applies an operation to each figure.
func (r Rates) combine(other Rates, operation func(a, b float64) float64) Rates {
	return Rates{
		Received:   operation(r.Received, other.Received),
		Written:    operation(r.Written, other.Written),
		Cores:      operation(r.Cores, other.Cores),
		Resident:   operation(r.Resident, other.Resident),
		Goroutines: operation(r.Goroutines, other.Goroutines),
	}
}

// plus returns the sum of each figure.
func (r Rates) plus(other Rates) Rates {
	return r.combine(other, func(a, b float64) float64 { return a + b })
}

// minus returns the difference of each figure.
func (r Rates) minus(other Rates) Rates {
	return r.combine(other, func(a, b float64) float64 { return a - b })
}

// max returns the larger of each figure.
func (r Rates) max(other Rates) Rates {
	return r.combine(other, func(a, b float64) float64 { return max(a, b) })
}

// dividedBy divides each figure by a number.
func (r Rates) dividedBy(number int) Rates {
	return r.combine(r, func(a, _ float64) float64 { return a / float64(number) })
}
