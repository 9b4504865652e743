package ledger

import "time"

// Limits bounds each table of the state.
type Limits struct {
	// Claims is how many claims are held at once.
	Claims int
	// ClaimBytes bounds all recorded answers together; above it no new claim is granted.
	ClaimBytes int
	// AnswerBytes bounds one recorded answer; a larger one is recorded as lost.
	AnswerBytes int
	// ClaimGuarantee is how long a key is remembered whatever comes, on the clock of
	// the state; callers are told this. ClaimWindow is how long it is remembered
	// where there is room: a full table lets the oldest go that have outlived the
	// guarantee.
	ClaimGuarantee time.Duration
	ClaimWindow    time.Duration
	// Decisions is how many decisions are kept for resends.
	Decisions int
	// Plans is how many plans are kept for confirmation, and PlanBytes how large
	// they are together; the latest one is kept whatever its size.
	Plans     int
	PlanBytes int
	// Tombstones is how many removals are kept for deltas.
	Tombstones int
	// Departed is how many processes that left are remembered.
	Departed int
	// ExpiriesAtLeast is how many processes may always be expired in a minute.
	ExpiriesAtLeast int
	// ExpiryShare divides the directory: 4 lets a quarter of it be expired in a minute.
	ExpiryShare int
}

// guarantee is ClaimGuarantee, or the whole window where that is shorter or no
// guarantee is set.
func (l *Limits) guarantee() time.Duration {
	if l.ClaimGuarantee == 0 {
		return l.ClaimWindow
	}

	return min(l.ClaimGuarantee, l.ClaimWindow)
}

// DefaultLimits returns the limits for the size that parsleygate is designed for.
func DefaultLimits() Limits {
	return Limits{
		Claims:          131072,
		ClaimBytes:      64 << 20,
		AnswerBytes:     16 << 10,
		ClaimGuarantee:  15 * time.Minute,
		ClaimWindow:     24 * time.Hour,
		Decisions:       2048,
		Plans:           64,
		PlanBytes:       16 << 20,
		Tombstones:      4096,
		Departed:        8192,
		ExpiriesAtLeast: 8,
		ExpiryShare:     4,
	}
}
