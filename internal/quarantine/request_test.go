package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/quarantine"
)

const (
	ownPart = quarantine.Part(10)
	content = quarantine.Part(11)
)

// newRequestEnd returns the end of a target with one request, whose answer had begun properly if sound
// is set. The request was sent there 100 ms before.
func newRequestEnd(target string, when time.Time, own, content quarantine.Part, sound bool) quarantine.End {
	end := newEnd(target, when)
	if !sound {
		end = newEnd(target, when, workspace)
	}

	for depth, p := range map[int]quarantine.Part{quarantine.OwnPartDepth: own, quarantine.ContentDepth: content} {
		end.Candidates = append(end.Candidates, quarantine.Candidate{Part: p, Depth: depth, SentAt: when.Add(-100 * time.Millisecond)})
	}

	return end
}

// Guards against a request that reaches more targets the more entries its caller brings it back to.
func TestRequestThatEndsThreeTargetsIsHeldAtAllEntries(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{1, 3, 7, 20, 39, 289} {
		for _, sound := range []bool{false, true} {
			t.Run(fmt.Sprint(entries, " entries, answers that begin properly: ", sound), func(t *testing.T) {
				t.Parallel()

				d := newDeployment(t, 1, entries)

				for range 20 {
					e := d.anyEntry()
					if !e.Check(d.now, []quarantine.Part{workspace, ownPart, content}, d.share(e)).Held {
						d.targets++
						d.run(d.now.Add(100 * time.Millisecond))
						e.Record(d.now, newRequestEnd(fmt.Sprint("t", d.targets), d.now, ownPart, content, sound))
					}

					d.run(d.now.Add(400 * time.Millisecond))
					d.anyEntry().MarkSound(workspace)
					d.anyEntry().MarkAnswered(quarantine.Part(100 + d.random.IntN(1000)))
				}

				require.Equal(t, 3, d.targets)

				for _, e := range d.entries {
					requireHeld(t, &e.Quarantine, d.now, content)
				}
			})
		}
	}
}

// Guards against a caller that changes what its request holds besides the own part of its prompt.
func TestRequestsWithOneOwnPartAreHeld(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(4 * float64(i))
		q.Record(now, newRequestEnd(fmt.Sprint("t", i), now, ownPart, quarantine.Part(100+i), true))
	}

	requireHeld(t, &q, at(8), ownPart)
}

// Guards against a session that is held because of one request: its next request is another one.
func TestSessionGoesOnWithoutTheRequestThatIsHeld(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(4 * float64(i))
		q.Record(now, newRequestEnd(fmt.Sprint("t", i), now, ownPart, content, false))
	}

	require.True(t, q.Check(at(9), []quarantine.Part{workspace, ownPart, content}, onlyEntry).Held)
	require.Equal(t, quarantine.Decision{}, q.Check(at(9), []quarantine.Part{workspace, ownPart, companion}, onlyEntry))
}

// Guards against a session that is held although its requests were answered between ends of targets that
// had other causes.
func TestAnsweredSessionIsNotHeld(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 30 {
		now := at(4 * float64(i))
		q.Check(now, nil, onlyEntry)

		if i%3 == 0 {
			q.MarkAnswered(ownPart, quarantine.Part(1000+i))
		}

		q.Record(now, newRequestEnd(fmt.Sprint("t", i), now, ownPart, quarantine.Part(100+i), false))
		require.NotContains(t, heldParts(&q, now), ownPart)
	}
}

// Guards against sound beginnings that clear a request: only a whole answer shows that it is harmless.
func TestBegunAnswerDoesNotClearARequest(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(4 * float64(i))
		q.MarkSound(workspace)
		q.Record(now, newRequestEnd(fmt.Sprint("t", i), now, ownPart, content, true))
	}

	requireHeld(t, &q, at(8), content)
	require.True(t, q.MarkAnswered(ownPart, content))
	requireHeld(t, &q, at(8))
}

// Guards against a shared part that is held in place of the one request that was in all ends with it, and
// against the opposite once other requests with the part end targets too.
func TestRequestExplainsEndsBeforeItsSharedParts(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(4 * float64(i))
		q.Record(now, newRequestEnd(fmt.Sprint("t", i), now, ownPart, content, false))
	}

	requireHeld(t, &q, at(8), content)
	q.Record(at(12), newRequestEnd("other", at(12), companion, culprit, false))
	requireHeld(t, &q, at(12), workspace)
}

// Guards against a request that is tried at each of its next ends, because another one was at the same
// targets.
func TestHeldRequestIsNotTriedBeforeItsHoldEnds(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(4 * float64(i))
		end := newRequestEnd(fmt.Sprint("t", i), now, ownPart, content, false)
		end.Candidates = append(end.Candidates, newRequestEnd("", now, companion, culprit, false).Candidates...)
		q.Record(now, end)
	}

	for part := range q.Held(at(8)) {
		d := q.Check(at(8), []quarantine.Part{workspace, part}, onlyEntry)
		require.Equal(t, quarantine.Decision{Held: true, Part: part, RetryAt: at(8).Add(15 * time.Minute)}, d)
	}

	require.Len(t, q.Held(at(8)), 1)
}

// Guards against many requests at one target, of which some are left out of its end.
func TestEndHoldsManyRequests(t *testing.T) {
	t.Parallel()

	const requests = 60

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(4 * float64(i))
		end := newRequestEnd(fmt.Sprint("t", i), now, ownPart, content, false)

		for r := range requests {
			end.Candidates = append(end.Candidates, newRequestEnd("", now, quarantine.Part(1000*i+2*r+100), quarantine.Part(1000*i+2*r+101), false).Candidates...)
		}

		q.Record(now, end)
	}

	requireHeld(t, &q, at(8), content)
}

// Guards against forged ends with requests beyond the bounds.
func TestRequestsOfAnEndAreBounded(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	end := newRequestEnd("t", at(0), ownPart, content, false)
	for i := range 1000 {
		end.Candidates = append(end.Candidates, newRequestEnd("", at(0), quarantine.Part(100+2*i), quarantine.Part(101+2*i), true).Candidates...)
	}

	for range 3 {
		q.Merge(at(0), []quarantine.End{end})

		for _, e := range allEnds(&q) {
			requireBounded(t, &e)
		}
	}
}

// Guards against requests that are lost, or become other ones, in a message that is cut or damaged.
func TestDamagedRequestPartsAreLeftOut(t *testing.T) {
	t.Parallel()

	w := quarantine.EndsToWire([]quarantine.End{newRequestEnd("t", at(0), ownPart, content, true)}, at(0))
	w[0].LeadMillis, w[0].Sound = w[0].GetLeadMillis()[:1], []uint32{0, 7, 1 << 31}

	ends := quarantine.EndsFromWire(w, at(0))
	require.Len(t, ends[0].Candidates, 1)
	require.Equal(t, ownPart, ends[0].Candidates[0].Part)
	require.True(t, ends[0].Candidates[0].Sound)
}

// popularRequests plays a service whose targets crash for reasons of their own. Of the requests, a share
// has the same content. It returns whether that was held, and which part of the other ones.
func popularRequests(t *testing.T, share, crashesPerSecond float64) (popular bool, others float64) {
	t.Helper()

	const (
		targets      = 12
		perSecond    = 20
		duration     = 1.0 // of a request, in seconds
		hours        = 1
		triesOfOne   = 4
		betweenTries = 0.05
		firstOther   = quarantine.Part(1000)
	)

	type try struct {
		startAt, endAt float64
		content        quarantine.Part
		target, nth    int
	}

	var (
		q       quarantine.Quarantine
		running []try
		next    = firstOther
	)

	random := rand.New(rand.NewPCG(1, uint64(share*1e6)))
	held := map[quarantine.Part]bool{}

	for now, nextCrash, n := 0.0, random.ExpFloat64()/crashesPerSecond, 0; now < hours*3600; now += 1.0 / perSecond {
		c := content
		if random.Float64() >= share {
			next++
			c = next
		}

		running = append(running, try{startAt: now, endAt: now + duration, content: c, target: random.IntN(targets)})

		var open []try

		crashes := now >= nextCrash
		crashed := random.IntN(targets)

		if crashes {
			nextCrash = now + random.ExpFloat64()/crashesPerSecond
			n++
		}

		end := newEnd(fmt.Sprint("t", n), at(now))

		for _, r := range running {
			switch {
			case r.startAt > now:
				open = append(open, r)
			case now >= r.endAt:
				q.Check(at(now), nil, onlyEntry)
				q.MarkAnswered(r.content)
			case crashes && r.target == crashed:
				end.Candidates = append(end.Candidates, quarantine.Candidate{Part: r.content, Depth: quarantine.ContentDepth, SentAt: at(r.startAt)})

				if r.nth < triesOfOne-1 {
					at := now + betweenTries
					open = append(open, try{startAt: at, endAt: at + duration, content: r.content, target: random.IntN(targets), nth: r.nth + 1})
				}
			default:
				open = append(open, r)
			}
		}

		running = open

		if crashes {
			q.Record(at(now), end)

			for p := range q.Held(at(now)) {
				held[p] = true
			}
		}
	}

	popular = held[content]
	delete(held, content)

	return popular, float64(len(held)) / float64(next-firstOther+1)
}

// Guards against a request that is held because targets end for other reasons while many callers send
// it, whatever its share of all requests, and against more holds of others than such ends explain: a
// request whose every try meets one.
func TestPopularRequestIsNotHeldBesideCrashes(t *testing.T) {
	t.Parallel()

	for _, share := range []float64{0, 1e-4, 1e-3, 1e-2, 0.1, 0.3, 1} {
		t.Run(fmt.Sprint("share ", share), func(t *testing.T) {
			t.Parallel()

			popular, others := popularRequests(t, share, 0.2)
			require.False(t, popular)
			require.Less(t, others, 1e-4)
			t.Logf("held of others: %.2g", others)
		})
	}
}

// Guards against requests that are held because zones lose power in turn while they are sent from one to
// the next.
func TestZonesThatEndInTurnHoldNoAnsweredRequest(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 30 {
		now := at(3 * float64(i))
		q.Check(now, nil, onlyEntry)

		if i%6 == 0 {
			q.MarkAnswered(content)
		}

		for target := range 4 {
			end := newRequestEnd(fmt.Sprintf("t%d-%d", i, target), now, quarantine.Part(100*i+2*target+100), content, true)
			q.Record(now, end)
		}
	}

	requireHeld(t, &q, at(90))
}

// Guards against forged or stale ends that hold a request which has just been answered, here or at another
// entry.
func TestForgedAndStaleEndsHoldNoAnsweredRequest(t *testing.T) {
	t.Parallel()

	var answered, other, stale quarantine.Quarantine

	answered.Check(at(0), nil, onlyEntry)
	answered.MarkAnswered(ownPart, content)

	var forged, old []quarantine.End

	for i := range 3 {
		when := at(1 + float64(i))
		forged = append(forged, newRequestEnd(fmt.Sprint("none", i), when, ownPart, content, true))
		old = append(old, newRequestEnd(fmt.Sprint("old", i), when.Add(-time.Hour), ownPart, content, true))
	}

	stale.Merge(at(4), old)
	require.True(t, stale.Check(at(4), []quarantine.Part{ownPart, content}, onlyEntry).Trial, "the time of the hold is over")

	other.Merge(at(4), forged)
	requireHeld(t, &other, at(4), content)

	answered.Merge(at(5), allEnds(&other))
	requireHeld(t, &answered, at(5))
	other.Merge(at(5), allEnds(&answered))
	requireHeld(t, &other, at(5))
}

// Guards against a request that is held only where its ends were noticed: elsewhere they are as late as their messages, which
// hides that each try came after the end before it.
func TestRequestTriedAgainAtOnceIsHeldWhereItsEndsAreHeardOf(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		var q quarantine.Quarantine

		latency := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(90*time.Millisecond)).Draw(t, "nanoseconds"))
		})
		sentAt, heardAt := at(0), at(0)

		for i := range 3 {
			endedAt := sentAt.Add(latency.Draw(t, "time to the end"))
			end := quarantine.End{Target: fmt.Sprint("t", i), At: endedAt, Candidates: []quarantine.Candidate{{Part: content, Depth: quarantine.ContentDepth, SentAt: sentAt}}}
			if at := endedAt.Add(latency.Draw(t, "latency")); at.After(heardAt) {
				heardAt = at
			}

			q.Merge(heardAt, quarantine.EndsFromWire(quarantine.EndsToWire([]quarantine.End{end}, endedAt), heardAt))

			sentAt = endedAt.Add(time.Microsecond)
		}

		require.True(t, q.Check(heardAt, []quarantine.Part{content}, onlyEntry).Held)
	})
}

// Guards against a request that is held because a loss of power ended three targets at once that had it.
func TestRequestAtManyTargetsIsNotHeldAfterALossOfPower(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		now := at(10 + 0.001*float64(i))
		q.Record(now, quarantine.End{Target: fmt.Sprint("t", i), At: now, Candidates: []quarantine.Candidate{{Part: content, Depth: quarantine.ContentDepth, SentAt: at(9.8)}}})
	}

	require.False(t, q.Check(at(11), []quarantine.Part{content}, onlyEntry).Held)
}
