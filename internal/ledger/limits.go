package ledger

import "time"

// Limits bounds each table of the state.
type Limits struct {
	// MaxClaims is how many claims are held at once.
	MaxClaims int
	// MaxClaimBytes bounds all recorded answers together; above it no new claim is granted.
	MaxClaimBytes int
	// MaxAnswerBytes bounds one recorded answer; a larger one is recorded as lost.
	MaxAnswerBytes int
	// ClaimGuarantee is how long a key is remembered whatever comes, on the clock of
	// the state; callers are told this. ClaimWindow is how long it is remembered
	// where there is room: a full table lets the oldest go that have outlived the
	// guarantee.
	ClaimGuarantee time.Duration
	ClaimWindow    time.Duration
	// MaxDecisions is how many decisions are kept for resends.
	MaxDecisions int
	// MaxPlans is how many plans are kept for confirmation, and PlanBytes how large
	// they are together; the latest one is kept whatever its size.
	MaxPlans     int
	MaxPlanBytes int
	// MaxTombstones is how many removals are kept for deltas.
	MaxTombstones int
	// MaxDeparted is how many processes that left are remembered.
	MaxDeparted int
	// MinExpiries is how many processes may always be expired in a minute.
	MinExpiries int
	// ExpiryDivisor divides the directory: 4 lets a quarter of it be expired in a minute.
	ExpiryDivisor int
}

// effectiveGuarantee is ClaimGuarantee, or the whole window where that is shorter or no
// guarantee is set.
func (l *Limits) effectiveGuarantee() time.Duration {
	if l.ClaimGuarantee == 0 {
		return l.ClaimWindow
	}

	return min(l.ClaimGuarantee, l.ClaimWindow)
}

// DefaultLimits returns the limits for the size that parsleygate is designed for.
func DefaultLimits() Limits {
	return Limits{
		MaxClaims:      131072,
		MaxClaimBytes:  64 << 20,
		MaxAnswerBytes: 16 << 10,
		ClaimGuarantee: 15 * time.Minute,
		ClaimWindow:    24 * time.Hour,
		MaxDecisions:   2048,
		MaxPlans:       64,
		MaxPlanBytes:   16 << 20,
		MaxTombstones:  4096,
		MaxDeparted:    8192,
		MinExpiries:    8,
		ExpiryDivisor:  4,
	}
}
