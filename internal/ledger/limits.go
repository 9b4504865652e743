package ledger

import "time"

// Limits bounds the tables of the state.
type Limits struct {
	// MaxClaims limits the claims held at once.
	MaxClaims int
	// MaxClaimBytes limits the total size of recorded answers in bytes; above it no
	// new claim is granted.
	MaxClaimBytes int
	// MaxAnswerBytes limits one recorded answer; a larger one is recorded as lost.
	MaxAnswerBytes int
	// ClaimGuarantee is the minimum time for which a claim is kept, by the state's
	// clock; callers are told this value. ClaimWindow is how long a claim is kept
	// while the table has capacity: a full table evicts the oldest claims whose
	// guarantee has ended.
	ClaimGuarantee time.Duration
	ClaimWindow    time.Duration
	// MaxDecisions limits the decisions kept to answer resends.
	MaxDecisions int
	// MaxPlans limits the plans that await confirmation, and MaxPlanBytes their total
	// size; the latest plan is kept whatever its size.
	MaxPlans     int
	MaxPlanBytes int
	// MaxTombstones limits the removals kept for deltas.
	MaxTombstones int
	// MaxDeparted limits the removed processes that are kept.
	MaxDeparted int
	// MinExpiries is how many processes may always be expired per minute.
	MinExpiries int
	// ExpiryDivisor sets the part of the directory that may be expired per minute: 4
	// means a quarter.
	ExpiryDivisor int
}

// effectiveGuarantee returns ClaimGuarantee, or ClaimWindow if that is shorter or no
// guarantee is set.
func (l *Limits) effectiveGuarantee() time.Duration {
	if l.ClaimGuarantee == 0 {
		return l.ClaimWindow
	}

	return min(l.ClaimGuarantee, l.ClaimWindow)
}

// DefaultLimits returns the limits for the deployment size that parsleygate is
// designed for.
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
