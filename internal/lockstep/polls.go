package lockstep

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// mapFromPolls returns the map in use by the ranks' own lists.
func mapFromPolls(polls []PollResult) (Map, error) {
	m := make(Map, len(polls[0].Experts))

	for r := range polls {
		p := &polls[r]
		if p.MapVersion != polls[0].MapVersion || len(p.Experts) != len(m) || len(m) == 0 {
			return nil, fmt.Errorf("%w: rank %d does not tell its experts", errNotReady, r)
		}

		for s := range m {
			m[s] = append(m[s], slices.Sorted(slices.Values(p.Experts[s])))
		}
	}

	return m, nil
}

// pollReports returns all ranks' reports of the epoch.
func (s *Switcher) pollReports(ctx context.Context) ([]Report, error) {
	polls, err := s.PollAll(ctx, PollRequest{})
	if err != nil {
		return nil, err
	}

	return reportsOf(polls), nil
}

func reportsOf(polls []PollResult) []Report {
	out := make([]Report, 0, len(polls))
	for _, p := range polls {
		out = append(out, p.Report)
	}

	return out
}

// PollAll looks at all ranks at once, and again at those that do not answer in time. All
// must answer in the end, in the same epoch.
func (s *Switcher) PollAll(ctx context.Context, q PollRequest) ([]PollResult, error) {
	var (
		polls []PollResult
		r     pollRound
		err   error
	)

	for attempt := range maxPollAttempts {
		missing := r.errs

		r, err = s.pollRanks(ctx, s.Settings.requestTimeout(s.Group.Size), func(rank int) (PollRequest, bool) { return q, attempt == 0 || missing[rank] != nil })
		if err != nil {
			return nil, err
		}

		if attempt == 0 {
			polls = r.polls
		}

		for rank := range missing {
			if r.errs[rank] == nil {
				polls[rank] = r.polls[rank]
			}
		}

		if len(r.errs) == 0 {
			return polls, nil
		}
	}

	return nil, r.missingErr()
}

// PollMost looks at some ranks at once, in the same epoch. A few of them need not
// answer: where packets are lost, nearly every look would miss one, and what most ranks
// counted tells enough. The looks of the others are empty.
func (s *Switcher) PollMost(ctx context.Context, request func(rank int) (PollRequest, bool)) ([]PollResult, error) {
	r, err := s.pollRanks(ctx, s.pollTimeout(), request)
	if err != nil {
		return nil, err
	}

	if r.errs[0] != nil || r.majorityMissing() {
		return nil, r.missingErr()
	}

	return r.polls, nil
}

const (
	// pollTimeWindow is over how many looks at a rank their usual time is averaged, and
	// lookMargin how many mean distances above that a look may take.
	pollTimeWindow = 256
	pollTimeMargin = 6
)

// pollTimeout bounds a look at ranks of which not all must answer. It is twice as long
// after each look that most ranks did not answer in time: what it is learnt from are
// answers alone, and where all became slower than it none would ever come again.
func (s *Switcher) pollTimeout() time.Duration {
	maxWait := s.Settings.requestTimeout(s.Group.Size)

	bound, known := s.pollTimes.UpperBound(pollTimeMargin)
	if !known {
		return maxWait
	}

	minWait := minAnswerTimeout + time.Duration(s.Group.Size)*minTimeoutPerRank

	return min(max(bound, minWait)<<min(s.missedRounds, maxTimeoutDoublings), maxWait)
}

// maxPollAttempts is how often a look at a rank that a switch depends on is tried.
const maxPollAttempts = 4

// pollWithRetry looks at one rank, again where no answer comes in time: a lost packet is no
// reason to give up a switch for which all ranks are armed.
func (s *Switcher) pollWithRetry(ctx context.Context, rank int) (PollResult, error) {
	var (
		poll PollResult
		err  error
	)

	for range maxPollAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, s.Settings.requestTimeout(s.Group.Size))
		poll, err = s.Group.Poll(attemptCtx, rank, PollRequest{})

		cancel()

		if err == nil || ctx.Err() != nil {
			break
		}
	}

	return poll, err
}

// rankPoll is a look at one rank.
type rankPoll struct {
	rank       int
	poll       PollResult
	err        error
	answeredAt time.Time
}

// pollRound is what a look at some ranks brought.
type pollRound struct {
	// polls are by rank, empty for those that were not asked or did not answer in time;
	// errs is why they did not.
	polls  []PollResult
	errs   map[int]error
	polled int
}

func (r *pollRound) majorityMissing() bool { return len(r.errs) > r.polled/2 }

func (r *pollRound) missingErr() error {
	return fmt.Errorf("%w: %w", errMissingAnswers, errors.Join(slices.Collect(maps.Values(r.errs))...))
}

// pollRanks looks at some ranks at once. An answer of another epoch fails all.
func (s *Switcher) pollRanks(ctx context.Context, timeout time.Duration, request func(rank int) (PollRequest, bool)) (pollRound, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	began := time.Now()
	answers := make(chan rankPoll, s.Group.Size)
	r := pollRound{polls: make([]PollResult, s.Group.Size), errs: make(map[int]error)}

	requests := make(map[int]PollRequest, s.Group.Size)

	for rank := range s.Group.Size {
		if q, ok := request(rank); ok {
			requests[rank] = q
		}
	}

	r.polled = len(requests)
	s.sendPolls(ctx, requests, answers)

	for range r.polled {
		a := <-answers

		switch {
		case a.err != nil:
			r.errs[a.rank] = a.err
			s.Logger.Debug("Rank not seen.", "rank", a.rank, "error", a.err)

			continue
		case a.poll.Report.Epoch != s.Group.Epoch:
			return pollRound{}, fmt.Errorf("%w: another epoch has begun", errNotReady)
		}

		r.polls[a.rank] = a.poll
		s.pollTimes.Observe(a.answeredAt.Sub(began), pollTimeWindow)

		if a.rank == 0 {
			s.stepClock.observe(a.answeredAt, a.poll.Report.Step)
		}
	}

	if r.majorityMissing() {
		s.missedRounds++
	} else {
		s.missedRounds = 0
	}

	return r, nil
}

// sendPolls asks ranks, each directly or many of them by way of some, and brings the answers.
func (s *Switcher) sendPolls(ctx context.Context, requests map[int]PollRequest, answers chan<- rankPoll) {
	pollDirectly := func(rank int) {
		poll, err := s.Group.Poll(ctx, rank, requests[rank])
		answers <- rankPoll{rank: rank, poll: poll, err: err, answeredAt: time.Now()}
	}

	var viaFanOut []int

	for rank, q := range requests {
		if q.Counts {
			go pollDirectly(rank)
		} else {
			viaFanOut = append(viaFanOut, rank)
		}
	}

	slices.Sort(viaFanOut)

	if !s.Group.usesFanOut(len(viaFanOut)) {
		for _, rank := range viaFanOut {
			go pollDirectly(rank)
		}

		return
	}

	go func() {
		results := s.Group.FanOut(ctx, viaFanOut, FanOutRequest{Experts: requests[viaFanOut[0]].Experts})
		for i, rank := range viaFanOut {
			answers <- rankPoll{rank: rank, poll: results[i].Poll, err: results[i].Err, answeredAt: time.Now()}
		}
	}()
}
