package loadreport

import "fmt"

// InvalidLoadError means that a load report holds a value that no engine has.
type InvalidLoadError struct {
	Field string
	Value float64
}

func (e *InvalidLoadError) Error() string {
	return fmt.Sprintf("load report: %s is %v, which no engine has", e.Field, e.Value)
}

const (
	// maxRequests and maxSlowdown bound the values of a load report. Beyond them an entry
	// would place nothing at a target, or nothing anywhere else.
	maxRequests = 1 << 16
	maxSlowdown = 100
	// maxSkew exceeds the skew of a map that leaves all experts on one slow rank of a large group.
	maxSkew = 1000
)

func (l Load) check() error {
	switch {
	case l.Running > maxRequests:
		return &InvalidLoadError{Field: "Running", Value: float64(l.Running)}
	case l.Waiting > maxRequests:
		return &InvalidLoadError{Field: "Waiting", Value: float64(l.Waiting)}
	case !(l.Slowdown >= 0 && l.Slowdown <= maxSlowdown): // also if it is not a number
		return &InvalidLoadError{Field: "Pace", Value: l.Slowdown}
	default:
		return nil
	}
}

// checkSkew checks the skew apart from the load, which counts also without it.
func (l Load) checkSkew() error {
	if l.Skew == 0 || l.Skew >= 1 && l.Skew <= maxSkew { // false if it is not a number
		return nil
	}

	return &InvalidLoadError{Field: "Skew", Value: l.Skew}
}
