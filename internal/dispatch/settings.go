package dispatch

import "time"

// Settings are the tunable numbers of a Dispatcher.
type Settings struct {
	// ShortestRetry and LongestRetry bound when a refused caller is told to return.
	ShortestRetry time.Duration
	LongestRetry  time.Duration
	// NoTargetRetry is when to return where no target is left at all.
	NoTargetRetry time.Duration
	// QueueAhead is how many requests beyond its slots a target is given, so that
	// it has the next one when a slot is freed. What waits there cannot be placed
	// better any more, so it is small.
	QueueAhead float64
	// ZoneCost is by how much less of its slots a target of another zone must have in
	// use to be chosen before one of the entry's own.
	ZoneCost float64
	// BorrowReserve is how many requests are kept free at a target for each of the other
	// entries that use it, where this one has its share there already.
	BorrowReserve float64
	// LoadMemory is how fast what a target said of the other entries' requests
	// gives way to the mean of all targets: they come and go, unseen here.
	LoadMemory time.Duration
	// FirstPause is how long a target that failed is left alone; it doubles up to
	// LongestPause with each further failure, and a served request ends it.
	FirstPause   time.Duration
	LongestPause time.Duration
	// ShedPause is how long a target that was full is left alone.
	ShedPause time.Duration
	// GroupPause is how long a group is left alone after one of its targets was at
	// fault: its targets refuse until the group is formed again.
	GroupPause time.Duration
	// ColdWindow is the length of the window in which requests to a cold target count.
	ColdWindow time.Duration
	// ColdReserve is the part of the bound of a cold target that entries share. The
	// rest covers entries that have joined and are not counted yet.
	ColdReserve float64
	// MostFirstAnswer bounds how long a first answer is expected to take. After a
	// stall the times that were seen would refuse everything, and with nothing placed
	// no better time would ever be seen.
	MostFirstAnswer time.Duration
	// CrowdingEvery is how often the bound on requests at a target is weighed anew.
	// Pauses above PauseHigh, in parts of what callers accept, lower it; below
	// PauseLow they raise it.
	CrowdingEvery time.Duration
	PauseHigh     float64
	PauseLow      float64
	// LongStep is the pause, in parts of what callers accept, from which on a step counts
	// as long, and fewer requests are started than usual; from FullStep on none are.
	LongStep float64
	FullStep float64
}

// DefaultSettings returns the numbers for targets that answer in fractions of a second.
func DefaultSettings() Settings {
	return Settings{
		ShortestRetry:   150 * time.Millisecond,
		LongestRetry:    3 * time.Second,
		NoTargetRetry:   300 * time.Millisecond,
		QueueAhead:      1,
		ZoneCost:        0.5,
		BorrowReserve:   0.1,
		LoadMemory:      700 * time.Millisecond,
		FirstPause:      300 * time.Millisecond,
		LongestPause:    4 * time.Second,
		ShedPause:       60 * time.Millisecond,
		GroupPause:      400 * time.Millisecond,
		ColdWindow:      time.Second,
		ColdReserve:     0.9,
		MostFirstAnswer: 300 * time.Millisecond,
		CrowdingEvery:   200 * time.Millisecond,
		PauseHigh:       0.75,
		PauseLow:        0.6,
		LongStep:        0.7,
		FullStep:        0.85,
	}
}
