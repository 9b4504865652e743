package verdict_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

func ExampleVerdict_MayRepeat() {
	fmt.Println(verdict.NotRun.MayRepeat(false), verdict.MayHaveRun.MayRepeat(false), verdict.MayHaveRun.MayRepeat(true))
	// Output: true false true
}

// An error without a verdict counts as MayHaveRun, because a booking must never be sent
// twice.
func TestMissingVerdictMeansMayHaveRun(t *testing.T) {
	t.Parallel()

	var zero verdict.Verdict
	require.Equal(t, verdict.MayHaveRun, zero)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(errors.New("reset")))
	require.Equal(t, verdict.NotRun, verdict.Of(fmt.Errorf("try: %w", verdict.Refuse(verdict.CauseZoneOut, time.Time{}))))
}
