package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/wire"
)

func (e *fleetEntry) changedSince(revision uint64) ([]quarantine.End, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.evidence.ChangedSince(revision)
}

func (e *fleetEntry) merge(ends []quarantine.End) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.evidence.Merge(time.Now(), ends)
}

// soundParts returns parts of the requests in record that are in most other requests too.
func soundParts() []quarantine.Part { return []quarantine.Part{0, 1} }

// requestsAtTarget is how many requests a target has when it ends.
const requestsAtTarget = 12

// record records the end of a target with requests of five shared parts in all, which began 100 ms ago.
func (e *fleetEntry) record(target string) {
	now := time.Now()
	end := quarantine.End{Target: target, StartTime: now.UnixNano(), Group: "assist-0", At: now}

	parts := append(soundParts(), quarantine.PartOf("assist", "culprit"), quarantine.PartOf("assist", target), quarantine.PartOf("assist", target+"b"))
	for i, p := range parts {
		end.Candidates = append(end.Candidates, quarantine.Candidate{Part: p, Depth: i, SentAt: now.Add(-100 * time.Millisecond)})
	}

	for i := range requestsAtTarget {
		for _, depth := range []int{quarantine.OwnPartDepth, quarantine.ContentDepth} {
			part := quarantine.PartOf("assist", fmt.Sprint(target, i, depth))
			end.Candidates = append(end.Candidates, quarantine.Candidate{Part: part, Depth: depth, SentAt: now.Add(-100 * time.Millisecond)})
		}
	}

	e.mu.Lock()
	changed := e.evidence.Record(now, end)
	e.mu.Unlock()

	if changed {
		e.follower.NotifyEvidence()
	}
}

func (e *fleetEntry) markSound(parts ...quarantine.Part) {
	e.mu.Lock()
	urgent := e.evidence.MarkSound(parts...)
	e.mu.Unlock()

	if urgent {
		e.follower.NotifyEvidence()
	}
}

func (e *fleetEntry) ends() []quarantine.End {
	ends, _ := e.changedSince(0)

	return ends
}

// replaceControl starts a control VM anew that knows nothing.
func (f *fleet) replaceControl(i int) {
	s := newDocumentServer()
	s.Zones, s.AnnounceInterval, s.ControlAddresses = f.controls[i].Zones, f.controls[i].AnnounceInterval, f.controls[i].ControlAddresses
	runDocumentServer(f.t, s)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.controls[i] = s
}

// Guards against an entry that tells of an end only when its polls end by themselves.
func TestNewsOfAnEndReachesAllEntriesSoon(t *testing.T) {
	t.Parallel()

	for _, size := range []fleetSize{{controls: 1, entries: 2, targets: 5}, {controls: 7, entries: 39, targets: 20}, {controls: 7, entries: 289, targets: 20}} {
		t.Run(fmt.Sprintf("%+v", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.run(settled)

				for i := range 2 {
					time.Sleep(time.Duration(2000+37*i) * time.Millisecond)
					f.entries[i%size.entries].record(fmt.Sprint("t", i))
					time.Sleep(200 * time.Millisecond)

					for _, e := range f.entries {
						require.Len(t, e.ends(), i+1, e.id)
					}
				}
			})
		})
	}
}

// Guards against a part that stays held at other entries after an answer to it has begun.
func TestNewsOfASoundAnswerReachesAllEntriesSoon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 3, entries: 7, targets: 5})
		f.run(settled)

		part := quarantine.PartOf("assist", "p")

		for i := range 3 {
			now := time.Now()
			f.entries[0].mu.Lock()
			f.entries[0].evidence.Record(now, quarantine.End{
				Target: fmt.Sprint("t", i), StartTime: 1, At: now, Candidates: []quarantine.Candidate{{Part: part, SentAt: now.Add(-time.Millisecond)}},
			})
			f.entries[0].mu.Unlock()
			f.entries[0].follower.NotifyEvidence()
			time.Sleep(200 * time.Millisecond)
		}

		held := func(e *fleetEntry) map[quarantine.Part]quarantine.Hold {
			e.mu.Lock()
			defer e.mu.Unlock()

			return e.evidence.Held(time.Now())
		}

		for _, e := range f.entries {
			require.Contains(t, held(e), part)
		}

		f.entries[3].markSound(part)
		time.Sleep(200 * time.Millisecond)

		for _, e := range f.entries {
			require.Empty(t, held(e))
		}
	})
}

// Guards against ends that are lost when all control VMs start anew without a saved directory.
func TestEntriesBringEndsBackToRestartedControlVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 3, entries: 7, targets: 5})
		f.run(settled)
		f.entries[0].record("t0")
		f.entries[1].record("t1")
		f.run(settled)

		for i := range f.controls {
			f.replaceControl(i)
		}

		f.run(settled)

		late := &fleetEntry{id: "late"}
		f.entries = append(f.entries, late)
		f.start(late)
		f.run(settled)
		require.Len(t, late.ends(), 2)
	})
}

// Guards against ends that are lost with an answer, or with a poll: the entry must not count them as
// sent.
func TestEndsOfFailedPollsAreSentAgain(t *testing.T) {
	t.Parallel()

	for _, arrives := range []bool{false, true} {
		t.Run(fmt.Sprint("the poll arrives: ", arrives), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize{controls: 2, entries: 3, targets: 5})
				f.run(settled)

				var lost atomic.Int64

				lossy := pollFunc(func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
					if len(r.GetEnds()) == 0 || lost.Add(1) > 5 {
						return f.answer(ctx, at, r)
					}

					if arrives {
						_, _ = f.answer(ctx, at, r)
					}

					return nil, context.DeadlineExceeded
				})
				f.intercept.Store(&lossy)
				f.entries[0].record("t0")
				f.run(settled)
				require.GreaterOrEqual(t, lost.Load(), int64(5))

				for _, e := range f.entries {
					require.Len(t, e.ends(), 1, e.id)
				}
			})
		})
	}
}

// Guards against a control VM that answers nothing more and delays news that others could pass on.
func TestNewsIsSentToAnotherControlVMIfOneIsUnresponsive(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 3, entries: 3, targets: 5})
		f.run(settled)

		var unresponsive atomic.Value

		frozen := pollFunc(func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
			if len(r.GetEnds()) > 0 && unresponsive.CompareAndSwap(nil, at) || unresponsive.Load() == at {
				<-ctx.Done()

				return nil, ctx.Err()
			}

			return f.answer(ctx, at, r)
		})
		f.intercept.Store(&frozen)
		f.entries[0].record("t0")
		time.Sleep(300 * time.Millisecond)

		for _, e := range f.entries {
			require.Len(t, e.ends(), 1, e.id)
		}

		require.NotNil(t, unresponsive.Load())
	})
}

// Guards against a storm of crashes that multiplies the polls of an entry.
func TestStormOfEndsSendsFewPolls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 3, entries: 2, targets: 5})
		f.run(settled)

		var early atomic.Int64

		counting := pollFunc(func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
			if r.GetWaitMillis() == 0 {
				early.Add(1)
			}

			return f.answer(ctx, at, r)
		})
		f.intercept.Store(&counting)

		for i := range 400 {
			f.entries[0].record(fmt.Sprint("t", i))
			time.Sleep(5 * time.Millisecond)
		}

		time.Sleep(time.Second)
		require.LessOrEqual(t, early.Load(), int64(21))
		require.GreaterOrEqual(t, early.Load(), int64(5))
		require.Len(t, f.entries[1].ends(), 128)
	})
}

// Guards against ends, or requests for them, that a control VM of the release before cannot read.
func TestControlVMsOfTheReleaseBeforeAreSentNoEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 2, entries: 2, targets: 5})

		var ends, polls atomic.Int64

		old := pollFunc(func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
			isOld := at == f.controlAddress(0)
			if isOld {
				polls.Add(1)
				ends.Add(int64(len(r.GetEnds())))

				r = proto.CloneOf(r)
				r.Ends, r.WithEvidence, r.EvidenceRevision = nil, false, 0
			}

			return f.answer(ctx, at, r)
		})
		f.intercept.Store(&old)

		// The first polls were answered before the interception.
		for i := range f.controls {
			f.replaceControl(i)
		}

		f.run(settled)
		ends.Store(0)
		polls.Store(0)
		f.entries[0].record("t0")
		f.run(settled)
		require.Len(t, f.entries[1].ends(), 1)
		require.Zero(t, ends.Load())
		require.LessOrEqual(t, polls.Load(), int64(2*9*2*2), "polls are held")
	})
}

// Guards against entries that send each other's ends back and forth: at twice the entries, an end
// must cost an entry the same.
func TestAnEndCostsAnEntryTheSameAtTwiceTheSize(t *testing.T) {
	t.Parallel()

	messages, bytes := costOfEnds(t, fleetSize{controls: 7, entries: 20, targets: 20}, 3)
	messagesAtTwice, bytesAtTwice := costOfEnds(t, fleetSize{controls: 7, entries: 40, targets: 20}, 3)

	require.LessOrEqual(t, messagesAtTwice, 1.2*messages)
	require.LessOrEqual(t, bytesAtTwice, 1.2*bytes)
}

// costOfEnds returns what one end costs an entry beyond a quiet time, in messages and bytes.
func costOfEnds(t *testing.T, size fleetSize, ends int) (messages, bytes float64) {
	t.Helper()

	const spacing = 4 * time.Second

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		f.run(settled)

		// Every second entry remembers sound answers with the parts that requests share.
		for i, e := range f.entries {
			if i%2 == 1 {
				e.mu.Lock()
				e.evidence.Merge(time.Now(), nil)
				e.mu.Unlock()
				e.markSound(soundParts()...)
			}
		}

		duration := time.Duration(ends) * spacing
		quietMessages, quietBytes := f.perEntry(func() { f.run(duration) })

		allMessages, allBytes := f.perEntry(func() {
			for i := range ends {
				f.entries[i].record(fmt.Sprint("i-98dce4503", i))
				f.run(spacing)
			}
		})

		messages = (allMessages - quietMessages) * spacing.Seconds()
		bytes = (allBytes - quietBytes) * spacing.Seconds()
		t.Logf("%+v: quiet %.1f messages/s, %.0f bytes/s per entry; an end costs %.1f messages, %.0f bytes per entry, %.0f bytes in all",
			size, quietMessages, quietBytes, messages, bytes, bytes*float64(size.entries))
	})

	return messages, bytes
}

// Guards against an end whose cost grows faster than the fleet.
func TestCostOfAnEndAt289Entries(t *testing.T) {
	t.Parallel()

	_, bytes := costOfEnds(t, fleetSize{controls: 7, entries: 289, targets: 20}, 2)
	require.LessOrEqual(t, bytes, 7_000.0, "a second of an entry's bytes for control")
}
