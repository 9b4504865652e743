package forecast

import (
	"slices"
	"time"
)

const (
	// minShiftRatio is the ratio to the usual work factor from which a factor is a shift of demand.
	minShiftRatio = 1.25
	// minShiftExcess is how much longer than usual a pass must also be, as a part of the accepted
	// gap. With few sequences, one prompt more makes a factor as high.
	minShiftExcess = 0.05
	// copyFactor is by how much passes are longer while experts are copied to follow a shift.
	copyFactor = 1.15
	// copyDelay is the time until the directing agent has found another map and ranks copy experts.
	copyDelay = 150 * time.Millisecond
	// shiftTTL is how long a shift is remembered, and maxShifts how many are.
	shiftTTL  = 30 * time.Second
	maxShifts = 64
)

// shift is a time with a work factor far above the usual one.
type shift struct {
	at, lastAt time.Time
	// sum and smallest are of the count observed factors, reported is the largest one that follows
	// from a reported skew, 0 if none was reported.
	sum, smallest float64
	count         int
	reported      float64
}

// peak returns the factor to plan for, 0 if it is not known. A reported skew is exact. Observed
// passes vary with the prompts that they read, so a single one is no evidence. Of several, the mean
// counts, without a pass that was in part before the shift.
func (s *shift) peak() float64 {
	switch {
	case s.reported > 0:
		return s.reported
	case s.count > 1:
		return (s.sum - s.smallest) / float64(s.count-1)
	default:
		return 0
	}
}

func (s *shift) add(now time.Time, factor float64, reported bool) {
	s.lastAt = now

	if reported {
		s.reported = max(s.reported, factor)

		return
	}

	if factor <= 0 {
		return // It is no evidence of the peak.
	}

	if s.count == 0 {
		s.smallest = factor
	}

	s.count++
	s.sum += factor
	s.smallest = min(s.smallest, factor)
}

// shifts remembers the latest shifts of demand, oldest first.
type shifts struct {
	all []shift
	// active is set during the last of them.
	active bool
	// observedSince is when the first event gap was observed.
	observedSince time.Time
}

// observe records a work factor, which was observed or follows from a reported skew. shifted says
// whether it is far above the usual one.
func (s *shifts) observe(now time.Time, factor float64, shifted, reported bool) {
	if !shifted {
		s.active = false

		return
	}

	if !s.active {
		s.active = true
		s.expire(now)

		if len(s.all) == maxShifts {
			s.all = slices.Delete(s.all, 0, 1)
		}

		s.all = append(s.all, shift{at: now})
	}

	s.all[len(s.all)-1].add(now, factor, reported)
}

func (s *shifts) end() { s.active = false }

// present returns the shift that lasts now, or nil.
func (s *shifts) present() *shift {
	if !s.active || len(s.all) == 0 {
		return nil
	}

	return &s.all[len(s.all)-1]
}

func (s *shifts) expire(now time.Time) {
	s.all = slices.DeleteFunc(s.all, func(h shift) bool { return now.Sub(h.lastAt) > shiftTTL })
}

// peak returns the largest work factor of the remembered shifts, 0 if there are none.
func (s *shifts) peak(now time.Time) float64 {
	s.expire(now)

	peak := 0.0
	for i := range s.all {
		peak = max(peak, s.all[i].peak())
	}

	return peak
}

// copying returns by how much passes are lengthened now because experts are copied.
func (s *shifts) copying() float64 {
	if s.active {
		return copyFactor
	}

	return 1
}

// copyingSince reports whether a pass that began at a time was lengthened by copies of experts.
// Copies begin copyDelay after the shift has been noticed.
func (s *shifts) copyingSince(began time.Time) bool {
	h := s.present()

	return h != nil && !began.Before(h.at.Add(copyDelay))
}

// meanInterval returns the mean time between the remembered shifts.
func (s *shifts) meanInterval(now time.Time) time.Duration {
	return min(shiftTTL, now.Sub(s.observedSince)) / time.Duration(max(1, len(s.all)))
}
