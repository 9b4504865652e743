package placement

import (
	"time"
)

// Transfer is a Move and the time during which it may use the weight store.
type Transfer struct {
	Move
	Start, End time.Time
}

// Rates are the limits that concurrent transfers must keep.
type Rates struct {
	// Store is the group's share of the weight store's rate, in bytes per second.
	Store float64
	// Rank is the rate at which one rank can fetch, in bytes per second.
	Rank float64
}

// Schedule distributes moves of size bytes each over time. Each rank fetches
// one expert at a time, at no more than rates.Rank, and all ranks together use
// no more than rates.Store. The ranks with the most copies left to fetch go
// first, so that no single rank delays the switch.
func Schedule(moves []Move, size int64, rates Rates, now time.Time) []Transfer {
	s := newSchedule(moves, size, rates)
	transfers := make([]Transfer, 0, len(moves))
	for round := 0; len(transfers) < len(moves); round++ {
		start := now.Add(time.Duration(round) * s.roundDuration)
		for _, r := range s.nextRanks() {
			queue := s.queues[r]
			transfers = append(transfers, Transfer{Move: queue[0], Start: start, End: start.Add(s.roundDuration)})
			s.queues[r] = queue[1:]
		}
	}

	return transfers
}

// schedule holds the remaining moves of each rank. All transfers have the same
// size and rate, so they run in rounds of equal duration.
type schedule struct {
	queues [MaxRanks][]Move
	// parallel is the number of ranks that fetch at the same time, each for one
	// round.
	parallel      int
	roundDuration time.Duration
}

func newSchedule(moves []Move, size int64, rates Rates) *schedule {
	s := &schedule{parallel: max(1, int(rates.Store/rates.Rank))}
	rate := min(rates.Rank, rates.Store/float64(s.parallel))
	// Rounded up to whole nanoseconds, so that no rate is exceeded.
	s.roundDuration = seconds(float64(size)/rate) + time.Nanosecond
	for _, m := range moves {
		s.queues[m.Rank] = append(s.queues[m.Rank], m)
	}

	return s
}

// nextRanks returns up to parallel ranks with the most copies left to fetch,
// lower numbers first among equals.
func (s *schedule) nextRanks() []int {
	var picked []int
	var taken uint64
	for len(picked) < s.parallel {
		best := -1
		for r := range s.queues {
			if len(s.queues[r]) == 0 || taken&(1<<r) != 0 {
				continue
			}
			if best < 0 || len(s.queues[r]) > len(s.queues[best]) {
				best = r
			}
		}
		if best < 0 {
			break
		}
		taken |= 1 << best
		picked = append(picked, best)
	}

	return picked
}
