package dispatch

import "time"

// Settings are the tunable parameters of a Dispatcher.
type Settings struct {
	// MinRetryAfter and MaxRetryAfter bound the delay after which a refused caller should
	// retry.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// NoTargetRetryAfter is the retry delay if a service has no eligible target.
	NoTargetRetryAfter time.Duration
	// MaxQueuedPerTarget is the number of requests beyond its slots that a target is
	// assigned, so that the next one is there when a slot is freed. Requests queued at a
	// target can no longer be moved to a better one, so it is small.
	MaxQueuedPerTarget float64
	// CrossZoneCost is the cost added to targets in other zones. Such a target is preferred
	// to a local one only if its relative load is lower by more than this fraction of its
	// slots.
	CrossZoneCost float64
	// BorrowReserve is the number of requests kept free at a target for each other entry
	// that uses it, once this entry exceeds its share there.
	BorrowReserve float64
	// LoadDecay is the time constant by which the reported load of the other entries at a
	// target converges to the mean over all targets. This entry does not see how that load
	// changes between reports.
	LoadDecay time.Duration
	// BaseEjectionTime is how long a target is ejected after a failure. It doubles with
	// each consecutive failure, up to MaxEjectionTime, and is reset by a completed request.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// RejectionBackoff is how long a target receives no requests after it rejected one
	// because it was full.
	RejectionBackoff time.Duration
	// GroupEjectionTime is how long a group is ejected after one of its targets was at
	// fault. Its targets refuse requests until the group has been formed again.
	GroupEjectionTime time.Duration
	// MaxBrokenWait is how long requests wait for a broken group. Afterwards they are refused
	// at once until the group opens.
	MaxBrokenWait time.Duration
	// ColdWindow is the period over which requests to a cold target are counted.
	ColdWindow time.Duration
	// ColdUtilization is the fraction of a cold target's limit that the entries share. The
	// rest covers entries that have joined and are not counted yet.
	ColdUtilization float64
	// RateLimitUtilization is the fraction of a target's rate limit that the entries share. The
	// rest covers entries that have joined and are not counted yet, and units that pass from
	// one entry to the next.
	RateLimitUtilization float64
	// MaxFirstAnswerTime caps the expected time to the first answer. Without a cap, the
	// times observed during a stall would cause all requests to be refused, and with
	// nothing placed no shorter time would ever be observed.
	MaxFirstAnswerTime time.Duration
	// LimitUpdateInterval is the interval at which the concurrency limit of targets is
	// updated. Event gaps above HighEventGap, as a ratio of the gap that callers accept,
	// lower it; gaps below LowEventGap raise it.
	LimitUpdateInterval time.Duration
	HighEventGap        float64
	LowEventGap         float64
	// LateUtilization is the fraction of an engine's concurrency limit that requests may use
	// which can no longer be answered in time.
	LateUtilization float64
	// LongStepGap is the event gap, as a ratio of the gap that callers accept, from which a
	// step counts as long and fewer requests than normal are started. From NoStartGap on,
	// none are started.
	LongStepGap float64
	NoStartGap  float64
}

// DefaultSettings returns the settings for targets that answer within fractions of a
// second.
func DefaultSettings() Settings {
	return Settings{
		MinRetryAfter:        150 * time.Millisecond,
		MaxRetryAfter:        3 * time.Second,
		NoTargetRetryAfter:   300 * time.Millisecond,
		MaxQueuedPerTarget:   1,
		CrossZoneCost:        0.5,
		BorrowReserve:        0.1,
		LoadDecay:            700 * time.Millisecond,
		BaseEjectionTime:     300 * time.Millisecond,
		MaxEjectionTime:      4 * time.Second,
		RejectionBackoff:     60 * time.Millisecond,
		GroupEjectionTime:    400 * time.Millisecond,
		MaxBrokenWait:        2 * time.Second,
		ColdWindow:           time.Second,
		ColdUtilization:      0.9,
		RateLimitUtilization: 0.8,
		MaxFirstAnswerTime:   300 * time.Millisecond,
		LimitUpdateInterval:  200 * time.Millisecond,
		HighEventGap:         0.75,
		LowEventGap:          0.6,
		LateUtilization:      0.6,
		LongStepGap:          0.7,
		NoStartGap:           0.85,
	}
}
