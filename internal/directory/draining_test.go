package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/directory"
)

// Guards against a draining target that a control VM heard of from another one, and that counts there as ended, or as
// ready again, because it does not announce itself to it.
func TestReportedDraining(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		name string
		do   func(r *directory.Registry)
		want map[string]directory.State
	}{
		{"reported", func(*directory.Registry) {}, map[string]directory.State{"i1": directory.Draining}},
		{"for a minute", func(r *directory.Registry) { r.Tick(begin.Add(time.Minute)) }, map[string]directory.State{"i1": directory.Draining}},
		{"for longer than targets drain", func(r *directory.Registry) { r.Tick(begin.Add(3 * time.Minute)) }, map[string]directory.State{}},
		{"an earlier announcement is late", func(r *directory.Registry) { r.Announce(begin, newTarget("i1", 5, 2, nil)) }, map[string]directory.State{"i1": directory.Draining}},
		{"the target announces itself here, and then to none", func(r *directory.Registry) {
			r.Announce(begin.Add(time.Second), newTarget("i1", 5, 4, draining))
			r.Tick(begin.Add(5 * time.Second))
		}, map[string]directory.State{}},
		{"the target has ended", func(r *directory.Registry) {
			r.Leave(begin.Add(time.Second), "i1", 1)
			r.RecordDraining(begin.Add(2*time.Second), newTarget("i1", 5, 9, draining))
		}, map[string]directory.State{}},
		{"a later incarnation runs", func(r *directory.Registry) {
			r.Announce(begin.Add(time.Second), newTarget("i1", 6, 1, nil))
			r.RecordDraining(begin.Add(2*time.Second), newTarget("i1", 5, 9, draining))
		}, map[string]directory.State{"i1": directory.Ready}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			w := newFixture()
			w.registry.RecordDraining(begin, newTarget("i1", 5, 3, draining))
			c.do(&w.registry)
			require.Equal(t, c.want, w.states())
		})
	}
}
