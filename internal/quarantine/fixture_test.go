package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/shares"
)

var startTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

const (
	workspace = quarantine.Part(1)
	culprit   = quarantine.Part(2)
	companion = quarantine.Part(3)
)

// at returns the time that is the given number of seconds after the start.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// newEnd returns the end of a target at a time, with requests that were sent there 100 ms before.
// The position of a part is its depth.
func newEnd(target string, when time.Time, parts ...quarantine.Part) quarantine.End {
	end := quarantine.End{Target: target, StartTime: 1, At: when}
	for i, p := range parts {
		end.Candidates = append(end.Candidates, quarantine.Candidate{Part: p, Depth: i, SentAt: when.Add(-100 * time.Millisecond)})
	}

	return end
}

// recordSuccessive records n ends with the given parts, one every 4 s, and returns the time of the
// last one.
func recordSuccessive(q *quarantine.Quarantine, n int, parts ...quarantine.Part) time.Time {
	var now time.Time

	for i := range n {
		now = at(4 * float64(i))
		q.Record(now, newEnd(fmt.Sprint("t", i), now, parts...))
	}

	return now
}

func onlyEntry(quarantine.Part) shares.Share { return shares.Share{Entries: 1} }

func heldParts(q *quarantine.Quarantine, now time.Time) []quarantine.Part {
	out := []quarantine.Part{}
	for p := range q.Held(now) {
		out = append(out, p)
	}

	return out
}

// deployment is a set of entries that exchange evidence through control VMs over a network that
// loses, repeats and delays messages.
type deployment struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	entries  []*member
	controls []*member
	loss     float64
	messages []message
	// targets is the number of targets that have ended.
	targets int
}

// member is an entry or a control VM, with the revisions that others have from it.
type member struct {
	quarantine.Quarantine

	index int
	sent  map[*member]uint64
}

type message struct {
	to       *member
	arriveAt time.Time
	// ages are relative to the time of sending.
	sentAt time.Time
	ends   []quarantine.End
}

const step = 20 * time.Millisecond

func newDeployment(t *testing.T, seed uint64, entries int) *deployment {
	t.Helper()

	d := &deployment{t: t, random: rand.New(rand.NewPCG(seed, uint64(entries))), now: startTime, loss: 0.2}
	for i := range entries {
		d.entries = append(d.entries, newMember(i))
	}

	for i := range 3 {
		d.controls = append(d.controls, newMember(i))
	}

	return d
}

func newMember(i int) *member { return &member{index: i, sent: make(map[*member]uint64)} }

func (d *deployment) share(e *member) func(quarantine.Part) shares.Share {
	return func(quarantine.Part) shares.Share { return shares.Share{Index: e.index, Entries: len(d.entries)} }
}

// send sends what to lacks, or loses it. A lost message is sent again in the next step.
func (d *deployment) send(from, to *member) {
	ends, revision := from.ChangedSince(from.sent[to])
	if len(ends) == 0 || d.random.Float64() < d.loss {
		return
	}

	copies := 1
	if d.random.Float64() < 0.2 {
		copies = 2
	}

	for range copies {
		delay := time.Duration(1+d.random.IntN(40)) * time.Millisecond
		d.messages = append(d.messages, message{to: to, sentAt: d.now, arriveAt: d.now.Add(delay), ends: ends})
	}

	from.sent[to] = revision
}

// run lets time pass until a time.
func (d *deployment) run(until time.Time) {
	for d.now.Before(until) {
		for _, c := range d.controls {
			for _, i := range d.random.Perm(len(d.entries)) {
				d.send(d.entries[i], c)
				d.send(c, d.entries[i])
			}
		}

		d.now = d.now.Add(step)

		var waiting []message

		for _, m := range d.messages {
			if m.arriveAt.After(d.now) {
				waiting = append(waiting, m)

				continue
			}

			m.to.Merge(d.now, delayed(m.ends, d.now.Sub(m.sentAt)))
		}

		d.messages = waiting
	}
}

// delayed returns the ends as a receiver sees them that counts their ages from the arrival.
func delayed(ends []quarantine.End, delay time.Duration) []quarantine.End {
	out := make([]quarantine.End, 0, len(ends))

	for _, end := range ends {
		end.At = end.At.Add(delay)
		end.Candidates = append([]quarantine.Candidate{}, end.Candidates...)

		for i := range end.Candidates {
			end.Candidates[i].SentAt = end.Candidates[i].SentAt.Add(delay)
		}

		out = append(out, end)
	}

	return out
}

// request sends a request with the culprit to an entry, unless the entry refuses it. The target
// ends 100 ms later. It returns the decision.
func (d *deployment) request(e *member, parts ...quarantine.Part) quarantine.Decision {
	decision := e.Check(d.now, parts, d.share(e))
	if decision.Held {
		return decision
	}

	trial := e.BeginTrial(d.now, parts)
	end := newEnd(fmt.Sprint("t", d.targets), d.now.Add(100*time.Millisecond), parts...)
	d.targets++
	d.run(d.now.Add(100 * time.Millisecond))
	end.At = d.now
	e.Record(d.now, end)
	e.EndTrial(trial)

	return decision
}

func (d *deployment) anyEntry() *member { return d.entries[d.random.IntN(len(d.entries))] }

func requireHeld(t *testing.T, q *quarantine.Quarantine, now time.Time, parts ...quarantine.Part) {
	t.Helper()
	require.ElementsMatch(t, parts, heldParts(q, now))
}
