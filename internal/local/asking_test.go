package local

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
)

// The leader is lost just as the exercise takes a zone out. The control VM that it
// asked says that it is not current and to ask another one; the exercise gave up then.
func TestAnotherControlIsAsked(t *testing.T) {
	t.Parallel()

	lost := twirp.NewError(twirp.Unavailable, "not current; ask another")
	wrong := twirp.InvalidArgumentError("Zone", "is not known")

	synctest.Test(t, func(t *testing.T) {
		var asked []int

		ask := func(answers ...error) (string, error) {
			asked = nil

			return askEach(context.Background(), 3, func(i int) (string, error) {
				asked = append(asked, i)
				if n := len(asked); n <= len(answers) {
					return "", answers[n-1]
				}

				return "planned", nil
			})
		}

		got, err := ask(lost, lost, lost, lost)
		require.NoError(t, err)
		require.Equal(t, "planned", got)
		require.Equal(t, []int{0, 1, 2, 0, 1}, asked)

		_, err = ask(lost, wrong)
		require.ErrorIs(t, err, wrong)
		require.Equal(t, []int{0, 1}, asked, "another one would say the same")

		began := time.Now()
		_, err = askEach(context.Background(), 3, func(int) (string, error) { return "", lost })
		require.ErrorIs(t, err, lost)
		require.Equal(t, forceBound, time.Since(began))
	})
}
