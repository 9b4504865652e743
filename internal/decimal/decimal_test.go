package decimal_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/decimal"
)

func ExampleParse() {
	fmt.Println(decimal.Parse(" 1.5 ", 10))
	fmt.Println(decimal.Parse("-1", 10))
	fmt.Println(decimal.Parse("soon", 10))
	// Output:
	// 1.5 <nil>
	// 0 "-1" is not between 0 and 10
	// 0 "soon" is not a number
}

func ExampleParseDelay() {
	fmt.Println(decimal.ParseDelay("0.25"))
	fmt.Println(decimal.ParseDelay("86400"))
	// Output:
	// 250ms <nil>
	// 0s "86400" is not between 0 and 3600
}

// Guards against values that compare as neither too large nor too small.
func TestParseRejectsWhatIsNoFiniteNumber(t *testing.T) {
	t.Parallel()

	for _, s := range []string{"", "NaN", "Inf", "+Inf", "-Inf", "1e999", "1,2", "0x", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		_, err := decimal.Parse(s, 1e6)
		require.Error(t, err, s)
	}
}
