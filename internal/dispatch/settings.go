package dispatch

import "time"

// Settings are the tunable numbers of a Dispatcher.
type Settings struct {
	// MinRetryAfter and LongestRetry bound when a refused caller is told to return.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// NoTargetRetryAfter is when to return where no target is left at all.
	NoTargetRetryAfter time.Duration
	// MaxQueuedPerTarget is how many requests beyond its slots a target is given, so that
	// it has the next one when a slot is freed. What waits there cannot be placed
	// better any more, so it is small.
	MaxQueuedPerTarget float64
	// CrossZoneCost is by how much less of its slots a target of another zone must have in
	// use to be chosen before one of the entry's own.
	CrossZoneCost float64
	// BorrowReserve is how many requests are kept free at a target for each of the other
	// entries that use it, where this one has its share there already.
	BorrowReserve float64
	// LoadDecay is how fast what a target said of the other entries' requests
	// gives way to the mean of all targets: they come and go, unseen here.
	LoadDecay time.Duration
	// BaseEjectionTime is how long a target that failed is left alone; it doubles up to
	// LongestPause with each further failure, and a served request ends it.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// RejectionBackoff is how long a target that was full is left alone.
	RejectionBackoff time.Duration
	// GroupEjectionTime is how long a group is left alone after one of its targets was at
	// fault: its targets refuse until the group is formed again.
	GroupEjectionTime time.Duration
	// ColdWindow is the length of the window in which requests to a cold target count.
	ColdWindow time.Duration
	// ColdUtilization is the part of the bound of a cold target that entries share. The
	// rest covers entries that have joined and are not counted yet.
	ColdUtilization float64
	// MaxFirstAnswerTime bounds how long a first answer is expected to take. After a
	// stall the times that were seen would refuse everything, and with nothing placed
	// no better time would ever be seen.
	MaxFirstAnswerTime time.Duration
	// LimitUpdateInterval is how often the bound on requests at a target is weighed anew.
	// Pauses above PauseHigh, in parts of what callers accept, lower it; below
	// PauseLow they raise it.
	LimitUpdateInterval time.Duration
	HighEventGap        float64
	LowEventGap         float64
	// LongStepGap is the pause, in parts of what callers accept, from which on a step counts
	// as long, and fewer requests are started than usual; from FullStep on none are.
	LongStepGap float64
	NoStartGap  float64
}

// DefaultSettings returns the numbers for targets that answer in fractions of a second.
func DefaultSettings() Settings {
	return Settings{
		MinRetryAfter:       150 * time.Millisecond,
		MaxRetryAfter:       3 * time.Second,
		NoTargetRetryAfter:  300 * time.Millisecond,
		MaxQueuedPerTarget:  1,
		CrossZoneCost:       0.5,
		BorrowReserve:       0.1,
		LoadDecay:           700 * time.Millisecond,
		BaseEjectionTime:    300 * time.Millisecond,
		MaxEjectionTime:     4 * time.Second,
		RejectionBackoff:    60 * time.Millisecond,
		GroupEjectionTime:   400 * time.Millisecond,
		ColdWindow:          time.Second,
		ColdUtilization:     0.9,
		MaxFirstAnswerTime:  300 * time.Millisecond,
		LimitUpdateInterval: 200 * time.Millisecond,
		HighEventGap:        0.75,
		LowEventGap:         0.6,
		LongStepGap:         0.7,
		NoStartGap:          0.85,
	}
}
