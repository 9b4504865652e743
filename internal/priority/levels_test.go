package priority_test

import (
	"errors"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/priority"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // constant

func entry(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7341)
}

// Guards against rates that include more or less than one second, also after a pause.
func TestCountsCoverTheLastSecond(t *testing.T) {
	t.Parallel()

	var c priority.Counter

	for i := range 30 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		c.At(now)[3].Demand++

		if i >= 15 {
			n := c.LastSecond(now)[3].Demand
			require.InDelta(t, 10, n, 0)
		}
	}

	last := c.LastSecond(start.Add(3500 * time.Millisecond))
	require.InDelta(t, 5, last[3].Demand, 1)
	require.Zero(t, c.LastSecond(start.Add(time.Minute)))
	require.Zero(t, c.LastSecond(start.Add(-time.Minute)), "the clock is set back")
}

// Guards against reports that count after they are too old, and against memory that grows with the
// number of entries.
func TestReportsExpireAndAreBounded(t *testing.T) {
	t.Parallel()

	var s priority.Sums

	c := priority.Counts{2: {Demand: 2, Placed: 1, Refused: 1}}

	for i := range 300 {
		s.Report(start, entry(i), c, 289)
	}

	sum := s.At(start)
	require.Equal(t, 64, sum.Reports)
	require.Equal(t, priority.Count{Demand: 578, Placed: 289, Refused: 289}, sum.Counts[2], "scaled to 289 entries")

	// A single entry with a wrong number of entries does not scale the sums.
	s.Report(start, entry(0), c, math.MaxInt32)
	require.Equal(t, sum.Counts, s.At(start).Counts)

	s.Report(start.Add(priority.ReportTTL/2), entry(1), c, 289)

	sum = s.At(start.Add(priority.ReportTTL))
	require.Equal(t, 1, sum.Reports)
	require.Equal(t, c, sum.Counts)
}

// Guards against an entry whose counts no entry can have, by which all others would refuse what is
// less urgent. Ordinary unevenness must not exclude an entry.
func TestAbsurdReportsAreLeftOut(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name     string
		demand   uint32
		others   int
		excluded bool
	}{
		{"Huge", math.MaxUint32, 13, true},
		{"TenTimesTheOthers", 100, 13, true},
		{"FiveTimesTheOthers", 50, 13, false},
		{"TenTimesOfManyOthers", 100, 60, false},
		{"FewOthers", 100, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			var s priority.Sums

			for i := range c.others {
				s.Report(start, entry(i+1), priority.Counts{1: {Demand: 10, Placed: 8, Refused: 2}}, c.others+1)
			}

			s.Report(start, entry(0), priority.Counts{0: {Demand: c.demand}}, c.others+1)

			sum := s.At(start)
			require.Equal(t, c.excluded, sum.Counts[0].Demand == 0)
			require.Equal(t, c.excluded, len(sum.Excluded) == 1)
			require.Equal(t, uint32(10*c.others), sum.Counts[1].Demand)
		})
	}
}

// overload has 90 placements for 150 requests at three levels.
func overload() priority.Counts {
	return priority.Counts{0: {Demand: 50, Placed: 50}, 1: {Demand: 50, Placed: 35, Refused: 15}, 6: {Demand: 50, Placed: 5, Refused: 45}}
}

// admitted returns the part of n requests of a level that is admitted.
func admitted(a *priority.Admission, now time.Time, l priority.Level) float64 {
	const n = 2000

	admitted := 0

	for range n {
		a.Arrive(now, l, "w")

		if a.Admit(now, l, "w") {
			admitted++
		}
	}

	return float64(admitted) / n
}

var groups = []string{"g"} //nolint:gochecknoglobals // constant

// Guards against levels that are admitted out of order, beyond the capacity, or below their floor.
func TestLevelsAreAdmittedUpToTheCapacity(t *testing.T) {
	t.Parallel()

	a := priority.Admission{Phase: 0.3}
	require.InDelta(t, 1, admitted(&a, start, 6), 0, "without sums all levels are admitted")

	a.SetSums(start, "g", overload(), groups)

	one, marginal, last := admitted(&a, start, 0), admitted(&a, start, 1), admitted(&a, start, 6)
	require.InDelta(t, 1, one, 0)
	require.InDelta(t, 0.05, last, 0.002)
	// 5% more than the 90 placements.
	require.InDelta(t, 94.5, 50*(one+marginal+last), 0.2)
	require.True(t, a.MayExceedShare(start, 1))
	require.False(t, a.MayExceedShare(start, 6))

	// Level 1 is admitted whole in less than a second, level 6 a second later.
	require.Less(t, a.AdmittedAt(start, 1).Sub(start), time.Second)
	require.Equal(t, time.Second, a.AdmittedAt(start, 6).Sub(a.AdmittedAt(start, 1)).Round(time.Millisecond))
}

// Guards against requests of the only level that are refused for its own sake: the order within a
// level is that of each entry.
func TestTheMostUrgentLevelIsNotRestricted(t *testing.T) {
	t.Parallel()

	var a priority.Admission

	a.SetSums(start, "g", priority.Counts{5: {Demand: 100, Placed: 20, Refused: 80}}, groups)
	require.InDelta(t, 1, admitted(&a, start, 5), 0)
	require.InDelta(t, 0.05, admitted(&a, start, 9), 0.002)
	// The demand of the level does not fit, so its requests stay within the entries' shares in part.
	limit, _ := a.Limit(start)
	require.Less(t, limit, 6.)
}

// Guards against an admission level that swings: it falls at once and rises by a level a second.
func TestLevelFallsAtOnceAndRisesSlowly(t *testing.T) {
	t.Parallel()

	var a priority.Admission

	now := start
	set := func(c priority.Counts) float64 {
		a.SetSums(now, "g", c, groups)

		limit, valid := a.Limit(now)
		require.True(t, valid)

		return limit
	}
	calm := priority.Counts{0: {Demand: 50, Placed: 50}, 1: {Demand: 50, Placed: 50}, 6: {Demand: 50, Placed: 50}}

	require.InDelta(t, priority.NumLevels, set(calm), 0)

	low := set(overload())
	require.Less(t, low, 2.)

	// Levels 2 to 5 have no demand and take no time.
	risen := low

	for range 4 {
		now = now.Add(250 * time.Millisecond)

		limit := set(calm)
		if limit >= 6 {
			limit -= 4
		}

		require.InDelta(t, risen+0.25, limit, 1e-9)

		risen = limit
	}

	require.Equal(t, low, set(overload())) //nolint:testifylint // the same computation
}

// Guards against deciding from sums that are old or of a part of the groups.
func TestWithoutValidSumsEachEntryDecidesAlone(t *testing.T) {
	t.Parallel()

	var a priority.Admission

	a.SetSums(start, "g", overload(), groups)
	require.True(t, a.InForce(start.Add(priority.ReportTTL-1)))
	require.False(t, a.InForce(start.Add(priority.ReportTTL)))
	require.InDelta(t, 1, admitted(&a, start.Add(priority.ReportTTL), 6), 0)

	both := []string{"g", "h"}
	a.SetSums(start, "g", overload(), both)
	require.False(t, a.InForce(start))

	// Each group reports the demand of the service, and its own placements.
	h := priority.Counts{0: {Demand: 50, Placed: 20}, 1: {Demand: 50}, 6: {Demand: 50, Refused: 45}}
	a.SetSums(start.Add(time.Millisecond), "h", h, both)
	require.True(t, a.InForce(start.Add(time.Millisecond)))

	limit, _ := a.Limit(start.Add(time.Millisecond))
	require.InDelta(t, 6+(1.05*110-0.05*150-0.95*100)/(0.95*50), limit, 1e-9)
	require.False(t, a.InForce(start.Add(priority.ReportTTL)), "the sums of one group are too old")
}

// Guards against sums that no group can cause.
func TestSumsBeyondTheCapacityAreInvalid(t *testing.T) {
	t.Parallel()

	valid := overload()
	require.NoError(t, valid.Check(10, 14))

	for _, c := range []priority.Counts{{3: {Demand: 14_001}}, {3: {Placed: math.MaxUint32}}, {3: {Refused: 1 << 30}}} {
		var invalid *priority.InvalidSumError

		require.True(t, errors.As(c.Check(10, 14), &invalid))
		require.Equal(t, priority.Level(3), invalid.Level)
	}
}
