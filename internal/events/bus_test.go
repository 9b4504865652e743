package events_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/events"
)

// Each event reaches every handler of its topic once, and no handler of another topic.
func TestEventsReachOnlyHandlersOfTheirTopic(t *testing.T) {
	t.Parallel()

	b, err := events.NewBus(slog.New(slog.DiscardHandler))
	require.NoError(t, err)

	const changes = 20

	first, second := make(chan uint64, 2*changes), make(chan uint64, 2*changes)
	stopping := make(chan string, 2)

	b.OnConfigurationChanged("first", func(e events.ConfigurationChanged) { first <- e.Version })
	b.OnConfigurationChanged("second", func(e events.ConfigurationChanged) { second <- e.Version })
	b.OnProcessStopping("third", func(e events.ProcessStopping) { stopping <- e.ID })

	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)

	go func() { done <- b.Run(ctx) }()

	<-b.Running()

	var want []uint64
	for v := uint64(1); v <= changes; v++ {
		want = append(want, v)
		require.NoError(t, b.ConfigurationChanged(events.ConfigurationChanged{Version: v}))
	}

	require.NoError(t, b.ProcessStopping(events.ProcessStopping{ID: "entry-1"}))

	for _, from := range []chan uint64{first, second} {
		var got []uint64
		for range changes {
			got = append(got, <-from)
		}

		require.ElementsMatch(t, want, got)
	}

	require.Equal(t, "entry-1", <-stopping)
	stop()
	require.NoError(t, <-done)
	require.Empty(t, first)
	require.Empty(t, second)
	require.Empty(t, stopping)
}
