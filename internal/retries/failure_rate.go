package retries

import "sync"

// FailureRate tracks which part of the answers of each service report a failure of the
// target. While most of them do, the cause is the requests or the whole service, and a retry
// at another target only adds load. It is safe for concurrent use.
type FailureRate struct {
	mu    sync.Mutex
	rates map[string]float64
}

const (
	// failureRateWindow is the number of answers over which the rate is averaged.
	failureRateWindow = 16
	// maxFailureRate is the part of failures from which on retries do not help.
	maxFailureRate = 0.5
)

// Observe records whether an answer of a service reported a failure.
func (f *FailureRate) Observe(service string, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.rates == nil {
		f.rates = make(map[string]float64)
	}

	value := 0.0
	if failed {
		value = 1
	}

	f.rates[service] += (value - f.rates[service]) / failureRateWindow
}

// RetryHelps reports whether another target of a service will probably answer without a
// failure.
func (f *FailureRate) RetryHelps(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.rates[service] < maxFailureRate
}
