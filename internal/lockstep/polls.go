package lockstep

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// mapFromPolls returns the current map, assembled from the experts that the ranks report.
func mapFromPolls(polls []PollResult) (Map, error) {
	m := make(Map, len(polls[0].Experts))

	for r := range polls {
		p := &polls[r]
		if p.MapVersion != polls[0].MapVersion || len(p.Experts) != len(m) || len(m) == 0 {
			return nil, fmt.Errorf("%w: rank %d did not report its experts for the map in use at rank 0", errNotReady, r)
		}

		for s := range m {
			m[s] = append(m[s], slices.Sorted(slices.Values(p.Experts[s])))
		}
	}

	return m, nil
}

// pollReports returns the reports of all ranks.
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

// PollAll polls all ranks concurrently, and again those that do not answer in time. It fails
// unless all ranks answer in the end, in the same epoch.
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

// PollMost polls some of the ranks concurrently, in the same epoch. A few of them need not
// answer: with packet loss, nearly every round would lack one, and the counts of most ranks
// suffice. The results of the ranks that were not polled or did not answer are empty.
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
	// pollTimeWindow is the number of polls in the running mean of poll times, pollTimeMargin
	// the number of mean deviations above the mean that a poll may take.
	pollTimeWindow = 256
	pollTimeMargin = 6
)

// pollTimeout bounds a round of polls that not all ranks must answer. It doubles after each
// round that most ranks did not answer in time: the estimate includes only answered polls, so
// if all ranks became slower than the timeout, it would never recover.
func (s *Switcher) pollTimeout() time.Duration {
	maxWait := s.Settings.requestTimeout(s.Group.Size)

	bound, known := s.pollTimes.UpperBound(pollTimeMargin)
	if !known {
		return maxWait
	}

	minWait := minAnswerTimeout + time.Duration(s.Group.Size)*minTimeoutPerRank

	return min(max(bound, minWait)<<min(s.missedRounds, maxTimeoutDoublings), maxWait)
}

// maxPollAttempts is how many times a rank is polled if a switch depends on its answer.
const maxPollAttempts = 4

// pollWithRetry polls one rank, and again if no answer arrives in time. One lost packet should
// not abort a switch for which all ranks are armed.
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

// rankPoll is the outcome of a poll of one rank.
type rankPoll struct {
	rank       int
	poll       PollResult
	err        error
	answeredAt time.Time
}

// pollRound is the outcome of polling some of the ranks.
type pollRound struct {
	// polls holds the results by rank, empty for ranks that were not polled or did not answer
	// in time. errs holds the errors of the latter.
	polls  []PollResult
	errs   map[int]error
	polled int
}

func (r *pollRound) majorityMissing() bool { return len(r.errs) > r.polled/2 }

func (r *pollRound) missingErr() error {
	return fmt.Errorf("%w: %w", errMissingAnswers, errors.Join(slices.Collect(maps.Values(r.errs))...))
}

// pollRanks polls some of the ranks concurrently. It fails if a rank reports another epoch.
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
			s.Logger.Debug("Poll of a rank failed.", "rank", a.rank, "error", a.err)

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

// sendPolls polls ranks directly, or by fan-out if there are many and their counts are not
// requested, and sends the results to answers.
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
