package control_test

import (
	"fmt"
	"maps"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/retries"
)

const fleetRetryWindow = 10 * time.Second

func (e *fleetEntry) retryUsage() map[string]retries.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()

	return maps.Clone(e.usage)
}

func (e *fleetEntry) setRetryUsage(usage map[string]retries.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.usage = usage
}

func (e *fleetEntry) setRetryReport(control netip.AddrPort, r retries.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.reports == nil {
		e.reports = make(map[netip.AddrPort]retries.Report)
	}

	e.reports[control] = r
}

// mostRetries returns the most retries of other entries that a control VM has reported.
func (e *fleetEntry) mostRetries(service string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	n := 0
	for _, r := range e.reports {
		n = max(n, r.Usage[service].Retries)
	}

	return n
}

// Guards against retries that nobody else hears of: those of other entries, and those that an entry made
// before it started again.
func TestRetriesAreReportedToOtherEntries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 3, entries: 4, targets: 5})
		f.run(settled)

		for _, e := range f.entries[:3] {
			e.setRetryUsage(map[string]retries.Usage{"assist": {Requests: 100, Retries: 7}})
		}

		time.Sleep(2 * time.Second)
		require.Equal(t, 14, f.entries[0].mostRetries("assist"), "its own retries are not among them")
		require.Equal(t, 21, f.entries[3].mostRetries("assist"))
		require.Zero(t, f.entries[3].mostRetries("desk"))

		f.entries[0].stop()
		f.entries[0].setRetryUsage(nil)
		f.start(f.entries[0])
		time.Sleep(2 * time.Second)
		require.Equal(t, 21, f.entries[0].mostRetries("assist"))
		require.Equal(t, 21, f.entries[3].mostRetries("assist"))

		time.Sleep(fleetRetryWindow)
		require.Equal(t, 14, f.entries[0].mostRetries("assist"))

		for _, e := range f.entries {
			e.setRetryUsage(nil)
		}

		time.Sleep(2 * time.Second)
		require.Zero(t, f.entries[3].mostRetries("assist"))
	})
}

// recordedFor returns for how long a control VM knows the retries of the others, at most.
func (e *fleetEntry) recordedFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	longest := time.Duration(0)
	for _, r := range e.reports {
		longest = max(longest, time.Since(r.RecordedSince))
	}

	return longest
}

// Guards against entries that retry next to nothing for a window after all control VMs have started
// again, though the entries know what they have spent; and against reports that count as complete while
// an entry has started again and nobody knows what it had spent before.
func TestReportsAreCompleteOnceAllEntriesHaveReported(t *testing.T) {
	t.Parallel()

	for _, restarted := range []int{0, 1} {
		t.Run(fmt.Sprint("restarted entries: ", restarted), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize{controls: 3, entries: 4, targets: 5})
				f.run(2 * settled)

				for i := range f.controls {
					f.replaceControl(i)
				}

				for _, e := range f.entries[:restarted] {
					e.stop()
					f.start(e)
				}

				for _, e := range f.entries {
					e.mu.Lock()
					e.reports = nil
					e.mu.Unlock()
				}

				time.Sleep(2 * time.Second)

				for _, e := range f.entries {
					require.Less(t, e.recordedFor(), fleetRetryWindow, e.id)
				}

				time.Sleep(5 * time.Second)

				for _, e := range f.entries {
					require.Equal(t, restarted == 0, e.recordedFor() >= fleetRetryWindow, e.id)
				}

				time.Sleep(fleetRetryWindow)

				for _, e := range f.entries {
					require.GreaterOrEqual(t, e.recordedFor(), fleetRetryWindow, e.id)
				}

				// What an entry has spent before it starts again has been recorded now.
				f.entries[3].stop()
				f.start(f.entries[3])
				time.Sleep(2 * time.Second)

				for _, e := range f.entries {
					require.GreaterOrEqual(t, e.recordedFor(), fleetRetryWindow, e.id)
				}
			})
		})
	}
}

// Guards against retries that are known only when polls end by themselves: an entry that ends before
// has spent them in secret.
func TestManyRetriesAreReportedSoon(t *testing.T) {
	t.Parallel()

	for _, size := range []fleetSize{{controls: 1, entries: 3, targets: 5}, {controls: 6, entries: 20, targets: 20}} {
		t.Run(fmt.Sprintf("%+v", size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, size)
				f.run(settled)

				for _, e := range f.entries {
					e.setRetryUsage(map[string]retries.Usage{"assist": {Requests: 100, Retries: 5}})
					e.follower.NotifyRetries()
				}

				time.Sleep(50 * time.Millisecond)

				// All entries end at once.
				for _, e := range f.entries {
					e.stop()
					e.setRetryUsage(nil)
				}

				for _, e := range f.entries {
					f.start(e)
				}

				time.Sleep(3 * time.Second)

				for _, e := range f.entries {
					require.Equal(t, 5*size.entries, e.mostRetries("assist"), e.id)
				}
			})
		})
	}
}

// Guards against reports that grow with the number of entries.
func TestRetryReportsCostAnEntryTheSameAtTwiceTheSize(t *testing.T) {
	t.Parallel()

	_, quiet := measureFleet(t, smallFleet, nil)
	messages, bytes := measureFleet(t, smallFleet, reportRetries(10))
	messagesAtTwice, bytesAtTwice := measureFleet(t, smallFleet.twice(), reportRetries(10))

	require.Greater(t, bytes, quiet)
	require.LessOrEqual(t, messagesAtTwice, 1.1*messages)
	require.LessOrEqual(t, bytesAtTwice, 1.2*bytes)
}

// reportRetries lets all entries report retries of requests for a number of services.
func reportRetries(services int) func(*fleet, int) {
	return func(f *fleet, _ int) {
		for _, e := range f.entries {
			usage := make(map[string]retries.Usage)
			for i := range services {
				usage[fmt.Sprint("service-", i)] = retries.Usage{Requests: 300, Retries: 40}
			}

			e.setRetryUsage(usage)
		}
	}
}

// Guards against reports of retries that cost an entry more than it has for control in a large fleet.
func TestCostOfRetryReportsAt289Entries(t *testing.T) {
	t.Parallel()

	_, bytes := measureFleet(t, fleetSize{controls: 7, entries: 289, targets: 20}, reportRetries(2))
	require.LessOrEqual(t, bytes, 7_000.0, "an entry's bytes a second for control")
}
