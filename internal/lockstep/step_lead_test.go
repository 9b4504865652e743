package lockstep

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With one order in ten unanswered, commits took 125, 94 and then 276 ms, after some of 45 to 65 ms.
// Guards against a step that is due before such a commit is done, although a later one would have
// cost nothing.
func TestLongLeadCoversCommitsWithUnansweredOrders(t *testing.T) {
	t.Parallel()

	s := &Switcher{Settings: DefaultSettings(), longLead: true}

	for _, ms := range []int{42, 51, 63, 45, 50, 62, 125, 94} {
		s.commitTimes.Observe(time.Duration(ms)*time.Millisecond, commitTimeWindow)
	}

	require.GreaterOrEqual(t, s.stepLead(), 276*time.Millisecond)

	s.longLead = false
	require.LessOrEqual(t, s.stepLead(), s.Settings.MaxStepLead, "the lead of groups with long steps is unchanged")
}

// Guards against a long lead that keeps a map in use with which passes exceed the gap that callers
// accept, and against one in groups whose gap is not known.
func TestLongLeadOnlyWhileStepsRemainShort(t *testing.T) {
	t.Parallel()

	const gap = 150 * time.Millisecond

	start := time.Unix(1700000000, 0)

	for _, c := range []struct {
		name   string
		length time.Duration
		gap    time.Duration
		factor float64
		want   bool
	}{
		{"light load, doubled skew", 53 * time.Millisecond, gap, 2, true},
		{"busy group, doubled skew", 76 * time.Millisecond, gap, 2, false},
		{"busy group, same skew", 76 * time.Millisecond, gap, 1, true},
		{"no gap declared", 53 * time.Millisecond, 0, 2, false},
		{"no step seen", 0, gap, 2, false},
	} {
		var l stepLength

		for i := range 12 {
			if c.length > 0 {
				l.observe(start.Add(time.Duration(i)*c.length), uint64(i+1))
			}
		}

		require.Equal(t, c.want, l.staysBelow(c.gap, c.factor), c.name)
	}
}

// Guards against taking the time in which a group was idle or held a step for the length of steps.
func TestIdleTimeIsNoStepLength(t *testing.T) {
	t.Parallel()

	var l stepLength

	start := time.Unix(1700000000, 0)
	l.observe(start, 1)
	l.observe(start.Add(60*time.Millisecond), 2)
	l.observe(start.Add(5*time.Second), 3)
	require.Equal(t, 60*time.Millisecond, l.mean)
}
