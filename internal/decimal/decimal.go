// Package decimal parses the decimal numbers and delays in HTTP headers.
package decimal

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Parse parses a decimal number from 0 to limit. A number that is infinite, or none, is an error.
func Parse(s string, limit float64) (float64, error) {
	v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)

	switch {
	case err != nil:
		return 0, eris.Errorf("%q is not a number", s)
	case math.IsNaN(v) || v < 0 || v > limit:
		return 0, eris.Errorf("%q is not between 0 and %g", s, limit)
	default:
		return v, nil
	}
}

// maxDelay is the longest delay that a sender can mean.
const maxDelay = time.Hour

// ParseDelay parses a delay in seconds, as in a Retry-After header. A date is an error: the clocks of
// VMs differ.
func ParseDelay(s string) (time.Duration, error) {
	seconds, err := Parse(s, maxDelay.Seconds())

	return time.Duration(seconds * float64(time.Second)), err
}
