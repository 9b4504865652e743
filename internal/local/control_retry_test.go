package local

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
)

// The leader fails while the exercise takes a zone out, and the control VM that is
// asked answers Unavailable because it is not current. The exercise must try the
// other control VMs until controlTimeout instead of failing.
func TestUnavailableControlVMIsSkipped(t *testing.T) {
	t.Parallel()

	unavailable := twirp.NewError(twirp.Unavailable, "not current; ask another")
	invalid := twirp.InvalidArgumentError("Zone", "is not known")

	synctest.Test(t, func(t *testing.T) {
		var called []int

		try := func(answers ...error) (string, error) {
			called = nil

			return tryEachControl(context.Background(), 3, func(i int) (string, error) {
				called = append(called, i)
				if n := len(called); n <= len(answers) {
					return "", answers[n-1]
				}

				return "planned", nil
			})
		}

		got, err := try(unavailable, unavailable, unavailable, unavailable)
		require.NoError(t, err)
		require.Equal(t, "planned", got)
		require.Equal(t, []int{0, 1, 2, 0, 1}, called)

		_, err = try(unavailable, invalid)
		require.ErrorIs(t, err, invalid)
		require.Equal(t, []int{0, 1}, called, "other errors are not retried")

		began := time.Now()
		_, err = tryEachControl(context.Background(), 3, func(int) (string, error) { return "", unavailable })
		require.ErrorIs(t, err, unavailable)
		require.Equal(t, controlTimeout, time.Since(began))
	})
}
