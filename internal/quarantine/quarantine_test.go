package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/shares"
)

// Guards against entries that each count for themselves: the ends then grow with the entries.
func TestThreeSuccessiveEndsHoldThePartAtAllEntries(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{1, 3, 7, 39, 289} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				t.Parallel()

				d := newDeployment(t, seed, entries)
				ends, sentAfterFifth := 0, 0

				for i := range 60 {
					other := quarantine.Part(100 + d.random.IntN(10))

					decision := d.request(d.anyEntry(), workspace, culprit, other, quarantine.Part(1000+i))
					if !decision.Held {
						if ends >= 5 && !decision.Trial {
							sentAfterFifth++
						}

						ends++
					}

					d.run(d.now.Add(400 * time.Millisecond))
					d.anyEntry().MarkSound(workspace, quarantine.Part(100+d.random.IntN(10)))
				}

				require.Zero(t, sentAfterFifth)
				require.LessOrEqual(t, ends, 4)
				require.GreaterOrEqual(t, ends, 3)

				for _, e := range d.entries {
					requireHeld(t, &e.Quarantine, d.now, culprit)
				}
			})
		}
	}
}

// Guards against a loss of power that holds the parts of all requests that were at targets.
func TestEndsAtTheSameTimeCountOnce(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	random := rand.New(rand.NewPCG(1, 1))

	for outage := range 2 {
		for i := range 100 {
			when := at(float64(60*outage) + random.Float64())
			end := newEnd(fmt.Sprintf("t%d-%d", outage, i), when, workspace, culprit)

			for c := range end.Candidates {
				end.Candidates[c].SentAt = at(float64(60*outage) - random.Float64())
			}

			q.Record(at(float64(60*outage+1)), end)
		}
	}

	requireHeld(t, &q, at(62))
}

// Guards against a group whose ranks give up after one was lost: requests that reached them
// meanwhile are no reason.
func TestEndsOfOneGroupCountOnce(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for loss := range 2 {
		for rank := range 12 {
			when := at(float64(10*loss) + 0.1*float64(rank))
			end := newEnd(fmt.Sprintf("t%d-%d", loss, rank), when, workspace)
			end.Candidates[0].SentAt = when.Add(-50 * time.Millisecond)
			end.Group = "g"
			q.Record(when, end)
		}
	}

	requireHeld(t, &q, at(12))
}

// Guards against ends of one group that are taken for one failure although the group was formed
// again in between.
func TestSuccessiveLossesOfAGroupCountEach(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	for i := range 3 {
		end := newEnd(fmt.Sprint("t", i), at(4*float64(i)), workspace, culprit)
		end.Group = "g"
		q.Record(at(4*float64(i)), end)
	}

	requireHeld(t, &q, at(9), culprit)
}

// Guards against a hold of the part that all requests of a workspace share.
func TestSharedFirstPartIsNeverHeld(t *testing.T) {
	t.Parallel()

	for _, soundAnswers := range []bool{false, true} {
		t.Run(fmt.Sprint("sound answers between ends: ", soundAnswers), func(t *testing.T) {
			t.Parallel()

			var q quarantine.Quarantine

			for i := range 7 {
				now := at(4 * float64(i))
				// The culprit comes in two of three ends, and the ends of other requests have the
				// shared part too if answers show that it is sound.
				if soundAnswers && i%3 == 2 {
					q.Record(now, newEnd(fmt.Sprint("t", i), now, workspace, quarantine.Part(100+i)))
				} else {
					q.Record(now, newEnd(fmt.Sprint("t", i), now, workspace, culprit, quarantine.Part(100+i)))
				}

				if soundAnswers {
					q.MarkSound(workspace)
				}

				require.NotContains(t, heldParts(&q, now), workspace)
			}

			requireHeld(t, &q, at(25), culprit)
		})
	}
}

// Guards against a part of most requests that is held, and most requests refused, because no answer
// begins while ends follow each other: it was sound before them. The ends may be heard of all at once.
func TestPartsThatWereSoundBeforeTheEndsAreNotHeld(t *testing.T) {
	t.Parallel()

	const popular = companion

	var a, b, late quarantine.Quarantine

	a.Check(at(-50), nil, onlyEntry)
	b.Check(at(-50), nil, onlyEntry)
	late.Check(at(-50), nil, onlyEntry)
	a.MarkSound(workspace)
	b.MarkSound(workspace, popular)
	late.MarkSound(workspace, popular)

	now := recordSuccessive(&a, 3, workspace, culprit, popular)
	requireHeld(t, &a, now, popular)
	late.Merge(now, allEnds(&a))
	requireHeld(t, &late, now, culprit)

	b.Merge(now, allEnds(&a))
	a.Merge(now, allEnds(&b))
	requireHeld(t, &a, now, culprit)
}

// Guards against a part that answers now and then, and ends targets for as long as its sound answers
// are remembered.
func TestReleasedPartsAreHeldAgain(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit)
	requireHeld(t, &q, now, culprit)
	require.True(t, q.MarkSound(culprit))
	requireHeld(t, &q, now)

	for i := range 3 {
		now = now.Add(4 * time.Second)
		q.Record(now, newEnd(fmt.Sprint("again", i), now, culprit))
	}

	requireHeld(t, &q, now, culprit)
}

// Guards against callers whose new parts displace the parts that others share.
func TestNewPartsDoNotDisplaceSharedOnes(t *testing.T) {
	t.Parallel()

	const popular = companion

	var q quarantine.Quarantine

	q.Check(at(-20), nil, onlyEntry)
	q.MarkSound(popular)

	for i := range 100_000 {
		q.MarkSound(quarantine.Part(1000 + i))
	}

	requireHeld(t, &q, recordSuccessive(&q, 3, workspace, culprit, popular), culprit)
}

// Guards against sound answers that are remembered too long.
func TestSoundAnswersAreRememberedForAMinuteAtMost(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	q.Check(at(-61), nil, onlyEntry)
	q.MarkSound(culprit)

	for i := range 61 {
		q.Check(at(float64(i-61)), nil, onlyEntry)
	}

	requireHeld(t, &q, recordSuccessive(&q, 3, culprit), culprit)
}

// Guards against a wrong guess that stays: the companion is deeper and came with each of three ends.
func TestNextEndCorrectsAWrongGuess(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, workspace, culprit, companion)
	requireHeld(t, &q, now, companion)

	now = now.Add(4 * time.Second)
	q.Record(now, newEnd("next", now, workspace, culprit))
	requireHeld(t, &q, now, culprit)
}

// Guards against a sound part that is held until its time ends although an answer has begun.
func TestSoundAnswerReleasesAPart(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, workspace, culprit)
	require.True(t, q.Check(now, []quarantine.Part{workspace, culprit}, onlyEntry).Held)
	require.True(t, q.MarkSound(culprit))
	require.False(t, q.Check(now, []quarantine.Part{culprit}, onlyEntry).Held)
	require.Equal(t, quarantine.Decision{}, q.Check(now, []quarantine.Part{culprit}, onlyEntry))
}

// Guards against peers that have not heard of a sound answer and bring the hold back.
func TestLateEvidenceDoesNotUndoASoundAnswer(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit)
	old, _ := q.ChangedSince(0)

	q.MarkSound(culprit)

	for _, minutes := range []float64{1, 5, 9.5} {
		require.False(t, q.Merge(now.Add(time.Duration(minutes*float64(time.Minute))), old))
		requireHeld(t, &q, now)
	}
}

// Guards against more than one trial at a time over all entries, and against holds that do not grow
// with failed trials.
func TestFewTrialsOverAllEntries(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{1, 3, 7, 39, 289} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			t.Parallel()

			d := newDeployment(t, 1, entries)
			d.loss = 0

			for range 5 {
				when := d.now
				d.targets++
				d.anyEntry().Record(when, newEnd(fmt.Sprint("t", d.targets), when, workspace, culprit))
				d.run(d.now.Add(4 * time.Second))
			}

			trials := 0

			for end := d.now.Add(40 * time.Minute); d.now.Before(end); {
				for _, e := range d.entries {
					decision := d.request(e, workspace, culprit)
					require.True(t, decision.Held || decision.Trial)

					if decision.Trial {
						trials++

						d.run(d.now.Add(200 * time.Millisecond))
					} else {
						require.True(t, decision.RetryAt.After(d.now))
					}
				}

				d.now = d.now.Add(time.Second)
			}

			require.GreaterOrEqual(t, trials, 1)
			require.LessOrEqual(t, trials, 3)
		})
	}
}

// Guards against a second request that tries a part while the first one has no result.
func TestOneTrialAtATime(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit)
	parts := []quarantine.Part{culprit}
	decision := q.Check(now, parts, onlyEntry)
	require.Equal(t, quarantine.Decision{Held: true, Part: culprit, RetryAt: now.Add(2 * time.Minute)}, decision)

	now = decision.RetryAt
	require.True(t, q.Check(now, parts, onlyEntry).Trial)

	trial := q.BeginTrial(now, parts)
	require.True(t, q.Check(now, parts, onlyEntry).Held)
	q.EndTrial(trial)
	require.True(t, q.Check(now, parts, onlyEntry).Trial, "a trial without a result lets the next one begin")

	q.BeginTrial(now, parts)
	q.EndTrial(trial)
	require.True(t, q.Check(now, parts, onlyEntry).Held, "the end of an earlier trial ends no later one")

	now = now.Add(time.Second)
	q.Record(now, newEnd("trial", now, culprit))
	require.Equal(t, now.Add(8*time.Minute), q.Held(now)[culprit].Until)
}

// Guards against trials at an entry that does not have the turn.
func TestOnlyTheEntryWithTheTurnTries(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit).Add(2 * time.Minute)
	allowed := 0

	for i := range 7 {
		share := shares.Share{Index: i, Entries: 7}

		decision := q.Check(now, []quarantine.Part{culprit}, func(quarantine.Part) shares.Share { return share })
		if decision.Trial {
			allowed++
		} else {
			require.Equal(t, share.NextUnit(now, 1), decision.RetryAt)
		}
	}

	require.LessOrEqual(t, allowed, 1)
}

// Guards against a caller that has the part of another one held by putting it beside the cause.
func TestPartBesideTheCauseIsTriedAtOnce(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit, companion)
	requireHeld(t, &q, now, companion)

	require.True(t, q.Check(now, []quarantine.Part{culprit, companion}, onlyEntry).Held)

	decision := q.Check(now, []quarantine.Part{workspace, companion}, onlyEntry)
	require.Equal(t, quarantine.Decision{Part: companion, Trial: true}, decision)

	trial := q.BeginTrial(now, []quarantine.Part{workspace, companion})
	require.True(t, q.Check(now, []quarantine.Part{workspace, companion}, onlyEntry).Held, "one at a time")
	q.MarkSound(workspace, companion)
	q.EndTrial(trial)
	requireHeld(t, &q, now, culprit)
}

// Guards against callers that send new parts with each request until the memory is full, or until
// the ends of a held part are dropped.
func TestBoundsHoldAgainstNewParts(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit)

	for i := range 300 {
		now = now.Add(10 * time.Millisecond)

		end := newEnd(fmt.Sprint("new", i), now)
		for c := range 96 {
			end.Candidates = append(end.Candidates, quarantine.Candidate{Part: quarantine.Part(1000 + 96*i + c), Depth: c % 16, SentAt: now})
		}

		q.Record(now, end)
	}

	ends, _ := q.ChangedSince(0)
	require.Len(t, ends, 128)

	for _, end := range ends {
		require.LessOrEqual(t, len(end.Candidates), 32)
	}

	requireHeld(t, &q, now, culprit)
}

// Guards against forged or damaged messages.
func TestForgedEndsAreBounded(t *testing.T) {
	t.Parallel()

	var (
		q      quarantine.Quarantine
		forged []quarantine.End
	)

	now := recordSuccessive(&q, 3, culprit)

	forged = append(
		forged,
		newEnd("", now, culprit),
		newEnd(strings.Repeat("x", 10_000), now, culprit),
		newEnd("none", now),
		newEnd("old", now.Add(-48*time.Hour), culprit),
		quarantine.End{Target: "zero", Candidates: []quarantine.Candidate{{Part: culprit}}},
	)
	require.False(t, q.Merge(now, forged))

	big := newEnd("big", now)
	for c := range 100_000 {
		big.Candidates = append(big.Candidates, quarantine.Candidate{Part: quarantine.Part(c + 10), Depth: -c, SentAt: now.Add(time.Hour)})
	}

	for i := range 10_000 {
		forged = append(forged, newEnd(fmt.Sprint("many", i), now, quarantine.Part(i+10)))
	}

	q.Merge(now, []quarantine.End{big})
	q.Merge(now, forged)

	ends, _ := q.ChangedSince(0)
	require.LessOrEqual(t, len(ends), 128)
	requireHeld(t, &q, now, culprit)

	for _, end := range ends {
		require.LessOrEqual(t, len(end.Candidates), 32)

		for _, c := range end.Candidates {
			require.False(t, c.SentAt.After(end.At))
			require.GreaterOrEqual(t, c.Depth, 0)
		}
	}
}

// Guards against parts that are held forever, and against ends that support a hold and expire
// before it.
func TestExpiry(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	q.Record(at(0), newEnd("a", at(0), companion))
	q.Record(at(1), newEnd("b", at(1), companion))

	last := recordSuccessive(&q, 3, culprit)
	require.Len(t, allEnds(&q), 5)

	requireHeld(t, &q, last.Add(16*time.Minute), culprit)
	require.Len(t, allEnds(&q), 3)

	requireHeld(t, &q, at(0).Add(24*time.Hour-time.Second), culprit)
	requireHeld(t, &q, last.Add(24*time.Hour))
	require.Empty(t, allEnds(&q))
}

// Guards against sound ends that stay.
func TestSoundEndsExpire(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	now := recordSuccessive(&q, 3, culprit)
	q.MarkSound(culprit)
	q.Expire(now)
	q.Expire(now.Add(10*time.Minute - time.Second))
	require.Len(t, allEnds(&q), 3)
	q.Expire(now.Add(10 * time.Minute))
	require.Empty(t, allEnds(&q))
}

func allEnds(q *quarantine.Quarantine) []quarantine.End {
	ends, _ := q.ChangedSince(0)

	return ends
}

// Guards against a clock that is set: back, a hold must neither end nor last longer than planned by
// the new clock; forward, the next request is a trial.
func TestClockSteps(t *testing.T) {
	t.Parallel()

	var back quarantine.Quarantine

	now := recordSuccessive(&back, 3, culprit).Add(-time.Hour)
	requireHeld(t, &back, now, culprit)
	require.Equal(t, now.Add(2*time.Minute), back.Held(now)[culprit].Until)

	back.Merge(now, []quarantine.End{newEnd("future", now.Add(time.Hour), culprit)})
	require.Equal(t, now.Add(2*time.Minute), back.Held(now)[culprit].Until, "an end from the future counts as one of now")

	now = now.Add(4 * time.Second)
	back.Record(now, newEnd("next", now, culprit))
	require.Equal(t, now.Add(8*time.Minute), back.Held(now)[culprit].Until)

	var forward quarantine.Quarantine

	now = recordSuccessive(&forward, 3, culprit).Add(time.Hour)
	requireHeld(t, &forward, now, culprit)
	require.True(t, forward.Check(now, []quarantine.Part{culprit}, onlyEntry).Trial)
}

// Guards against an entry that starts anew and lets a held part through. The ends are older than
// those that support no held part may be.
func TestRestartedEntryGetsTheEvidence(t *testing.T) {
	t.Parallel()

	var q, restarted quarantine.Quarantine

	now := recordSuccessive(&q, 6, culprit).Add(time.Hour)
	requireHeld(t, &q, now, culprit)
	require.True(t, restarted.Merge(now, allEnds(&q)))
	require.Equal(t, q.Held(now), restarted.Held(now))
	require.False(t, restarted.Merge(now, allEnds(&q)))
}

// Guards against messages without end: a time becomes later with each process that passes it on.
func TestExchangeComesToRest(t *testing.T) {
	t.Parallel()

	var a, b quarantine.Quarantine

	now := recordSuccessive(&a, 3, workspace, culprit)
	b.Merge(now, delayed(allEnds(&a), 30*time.Millisecond))

	for range 10 {
		now = now.Add(30 * time.Millisecond)
		require.False(t, a.Merge(now, delayed(allEnds(&b), 30*time.Millisecond)))
		require.False(t, b.Merge(now, delayed(allEnds(&a), 30*time.Millisecond)))
	}
}

// Guards against messages about ends that a receiver drops at once.
func TestExpiredEndsAreNoNews(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	before := q.Revision()
	require.False(t, q.Merge(at(0), []quarantine.End{newEnd("old", at(-16*60), culprit)}))
	require.Equal(t, before, q.Revision())
}

// Guards against news that wakes all entries although nobody needs it at once.
func TestOnlySoundAnswersOfHeldPartsAreUrgent(t *testing.T) {
	t.Parallel()

	var q quarantine.Quarantine

	recordSuccessive(&q, 3, workspace, culprit)
	urgent, revision := q.UrgentRevision(), q.Revision()

	require.False(t, q.MarkSound(workspace))
	require.Equal(t, urgent, q.UrgentRevision())

	changed, next := q.ChangedSince(revision)
	require.Len(t, changed, 3)

	changed, _ = q.ChangedSince(next)
	require.Empty(t, changed)

	require.True(t, q.MarkSound(culprit))
	require.Equal(t, q.Revision(), q.UrgentRevision())
}

func drawEnds(t *rapid.T, label string) []quarantine.End {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.End {
		when := at(-float64(rapid.IntRange(0, 600_000).Draw(t, "age")) / 1000)

		return quarantine.End{
			Target: fmt.Sprint("t", rapid.IntRange(0, 9).Draw(t, "target")), StartTime: int64(rapid.IntRange(0, 2).Draw(t, "start")),
			Group: rapid.SampledFrom([]string{"", "g", "h"}).Draw(t, "group"), At: when,
			Candidates: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Candidate {
				part, depth := rapid.IntRange(0, 200).Draw(t, "part"), rapid.IntRange(0, 15).Draw(t, "depth")
				if part > 60 {
					depth = quarantine.OwnPartDepth + part%2
				}

				return quarantine.Candidate{
					Part: quarantine.Part(part), Depth: depth,
					SentAt: when.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "lead")) * time.Millisecond), Sound: rapid.Bool().Draw(t, "sound"),
				}
			}), 1, 180).Draw(t, "candidates"),
		}
	}), 0, 6).Draw(t, label)
}

// Guards against entries that disagree because they heard the same ends in another order.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEnds(t, "a"), drawEnds(t, "b"), drawEnds(t, "c")
		now := at(0)

		merged := func(sets ...[]quarantine.End) *quarantine.Quarantine {
			q := &quarantine.Quarantine{}
			for _, s := range sets {
				q.Merge(now, s)
			}

			return q
		}

		all := merged(a, b, c)
		bc := merged(b, c)

		for _, other := range []*quarantine.Quarantine{merged(c, a, b), merged(c, b, a), merged(a, allEnds(bc)), merged(a, a, b, c, a, b)} {
			require.Equal(t, allEnds(all), allEnds(other))
			require.Equal(t, all.Held(now), other.Held(now))
		}

		require.False(t, all.Merge(now, allEnds(all)))
	})
}
