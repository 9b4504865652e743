package view

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// evidencePollSpacing is the minimum time between two polls that are sent early with new
	// ends of targets. It is also how long one of them may be unanswered before another control
	// VM is asked.
	evidencePollSpacing = 100 * time.Millisecond
	// maxEvidencePolls is how many control VMs are sent the same news early.
	maxEvidencePolls = 3
	// maxKnownEnds bounds the ends that are remembered for one control VM. More ends than that
	// are sent again.
	maxKnownEnds = 512
)

// evidenceExchange holds which ends of targets each control VM has. The poll loops and the early
// polls use it concurrently.
type evidenceExchange struct {
	mu       sync.Mutex
	controls map[netip.AddrPort]*controlEvidence
	// changed receives a value when this process knows of ends that others need at once.
	changed chan struct{}
	// retriesDue is set while retries are to be reported early.
	retriesDue atomic.Bool
}

// controlEvidence is which ends one control VM has.
type controlEvidence struct {
	// state is what the poll loop received last.
	state controlState
	// answeredAt is when the control VM answered last, zero after a failed poll.
	answeredAt time.Time
	// received is the control VM's revision that this process has. It is zero for one of a
	// release that exchanges no ends.
	received uint64
	// sent is this process's revision that the control VM has.
	sent uint64
	// known holds the fingerprints of the ends that the control VM has.
	known map[endID]uint64
}

type endID struct {
	target    string
	startTime int64
}

// sentEvidence is what one poll carries.
type sentEvidence struct {
	ends     []quarantine.End
	revision uint64
}

// NotifyEvidence sends this process's ends of targets to a control VM soon, instead of with the
// next poll. It never blocks, and may be called for each change.
func (f *Follower) NotifyEvidence() {
	select {
	case f.evidence.changed <- struct{}{}:
	default:
	}
}

// NotifyRetries sends the retries that this process has counted to a control VM soon, instead of with
// the next poll. It never blocks.
func (f *Follower) NotifyRetries() {
	f.evidence.retriesDue.Store(true)
	f.NotifyEvidence()
}

func (f *Follower) exchangesEvidence() bool { return f.Evidence != nil && f.OnEvidence != nil }

// addEvidence adds the ends that a control VM lacks to a poll.
func (f *Follower) addEvidence(control netip.AddrPort, r *wire.FollowRequest) sentEvidence {
	if !f.exchangesEvidence() {
		return sentEvidence{}
	}

	r.WithEvidence = true

	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()

	c := f.evidence.controls[control]
	if c == nil || c.received == 0 || c.state.directoryBoot != r.GetDirectoryBoot() {
		return sentEvidence{}
	}

	r.EvidenceRevision = c.received

	ends, revision := f.Evidence(c.sent)
	ends = slices.DeleteFunc(ends, func(end quarantine.End) bool {
		fingerprint, ok := c.known[idOf(&end)]

		return ok && fingerprint == end.Fingerprint()
	})
	r.Ends = quarantine.EndsToWire(ends, time.Now())

	return sentEvidence{ends: ends, revision: revision}
}

func idOf(end *quarantine.End) endID { return endID{end.Target, end.StartTime} }

// mergeEvidence records the answer to a poll that carried sent. state is what the poll loop has
// received since, or nil for an early poll.
func (f *Follower) mergeEvidence(now time.Time, control netip.AddrPort, sent sentEvidence, out *wire.FollowResponse, state *controlState) {
	if !f.exchangesEvidence() {
		return
	}

	received := quarantine.EndsFromWire(out.GetEnds(), now)
	f.recordEvidence(now, control, sent, out, received, state)

	if len(received) > 0 {
		f.OnEvidence(received)
	}
}

func (f *Follower) recordEvidence(
	now time.Time, control netip.AddrPort, sent sentEvidence, out *wire.FollowResponse, received []quarantine.End, state *controlState,
) {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()

	c := f.evidence.controls[control]

	switch {
	case c != nil && c.state.directoryBoot == out.GetDirectoryBoot():
		c.sent = max(c.sent, sent.revision)
	case state == nil:
		return // The poll loop hears of the new boot too.
	default:
		c = &controlEvidence{}
		f.evidence.controls[control] = c
	}

	if state != nil {
		c.state = *state
	}

	c.answeredAt = now
	c.received = max(c.received, out.GetEvidenceRevision())

	if c.known == nil || len(c.known) > maxKnownEnds {
		c.known = make(map[endID]uint64)
	}

	for _, ends := range [][]quarantine.End{sent.ends, received} {
		for i := range ends {
			c.known[idOf(&ends[i])] = ends[i].Fingerprint()
		}
	}
}

// failEvidence records that a poll failed. What it carried is sent again.
func (f *Follower) failEvidence(control netip.AddrPort) {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()

	if c := f.evidence.controls[control]; c != nil {
		c.answeredAt = time.Time{}
	}
}

func (f *Follower) forgetEvidence(control netip.AddrPort) {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()

	delete(f.evidence.controls, control)
}

// runEvidence sends new ends while all polls are held.
func (f *Follower) runEvidence(ctx context.Context) {
	if !f.exchangesEvidence() {
		return
	}

	for {
		select {
		case <-ctx.Done():
			return
		case <-f.evidence.changed:
		}

		f.sendEvidence(ctx)

		if !pauses.Sleep(ctx, evidencePollSpacing) {
			return
		}
	}
}

// sendEvidence sends new ends, and retries that are due, to one control VM. If that does not answer soon, it
// sends them to the next one too.
func (f *Follower) sendEvidence(ctx context.Context) {
	retriesDue := f.evidence.retriesDue.Swap(false)

	for _, control := range f.answeringControls(retriesDue) {
		done := make(chan bool, 1)

		f.pollers.Go(func() { done <- f.pollEarly(ctx, control, retriesDue) })

		timer := time.NewTimer(evidencePollSpacing)

		select {
		case <-ctx.Done():
			timer.Stop()

			return
		case ok := <-done:
			timer.Stop()

			if ok {
				return
			}

			// A control VM that refuses connections must not speed up the polls.
			pauses.Sleep(ctx, evidencePollSpacing)
		case <-timer.C:
		}
	}
}

// answeringControls returns the control VMs that exchange ends of targets, those that answered last
// first. If retries are due, the order is the same at all entries: then one control VM knows the
// retries of all, also of entries that end before their next polls.
func (f *Follower) answeringControls(retriesDue bool) []netip.AddrPort {
	f.evidence.mu.Lock()
	defer f.evidence.mu.Unlock()

	controls := slices.SortedFunc(maps.Keys(f.evidence.controls), func(a, b netip.AddrPort) int {
		x, y := f.evidence.controls[a].answeredAt, f.evidence.controls[b].answeredAt
		if retriesDue && x.IsZero() == y.IsZero() {
			return a.Compare(b)
		}

		return cmp.Or(y.Compare(x), a.Compare(b))
	})
	controls = slices.DeleteFunc(controls, func(a netip.AddrPort) bool { return f.evidence.controls[a].received == 0 })

	return controls[:min(len(controls), maxEvidencePolls)]
}

// pollEarly sends the ends and the retries that a control VM lacks, and reports whether it has them. The
// rest of the answer is left to the poll loop.
func (f *Follower) pollEarly(ctx context.Context, control netip.AddrPort, retriesDue bool) bool {
	f.evidence.mu.Lock()
	c := f.evidence.controls[control]

	if c == nil {
		f.evidence.mu.Unlock()

		return false
	}

	state := c.state
	f.evidence.mu.Unlock()

	r := f.newRequest(&state)
	r.WithoutTable = true

	sent := f.addEvidence(control, r)
	if len(sent.ends) == 0 && !retriesDue {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, f.Settings.AnswerTimeout)
	defer cancel()

	out, err := f.Poll(ctx, control, r)
	if err != nil {
		f.failEvidence(control)

		return false
	}

	f.mergeEvidence(time.Now(), control, sent, out, nil)
	f.mergeRetryUsage(time.Now(), control, out)

	return true
}
