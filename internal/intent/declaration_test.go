package intent_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/intent"
)

func ExampleParse() {
	_, err := intent.Parse("trust.ini", []byte("[Zone \"ayutthaya\"]\nOut = yes\n"))
	fmt.Println(err)
	// Output: trust.ini:2: [Zone "ayutthaya"] Out: has the bad value "yes"; allowed: true, false
}

// An operator mistypes a declaration. If a bad line were silently ignored, a zone
// could stay in use although the file says that it is out. Every fault is therefore
// rejected with its line and the allowed values.
func TestInvalidDeclarations(t *testing.T) {
	t.Parallel()

	cases := map[string]struct {
		text string
		want []string
	}{
		"unknown section":                {"[Zones \"a\"]\nOut = true", []string{"f.ini:1", "no known section", `[Zone "name"]`}},
		"unknown key":                    {"[Zone \"a\"]\n\nout = true", []string{"f.ini:3", `[Zone "a"] out`, "Region, Out, Removed"}},
		"duplicate section":              {"[Zone \"a\"]\nOut = true\n[Zone \"a\"]\nRegion = x", []string{"f.ini:3", "already given in line 1"}},
		"duplicate key":                  {"[Zone \"a\"]\nOut = true\nOut = false", []string{"f.ini:3", "Out", "already given in line 2"}},
		"key before any section":         {"Out = true", []string{"f.ini:1", "before the first section"}},
		"line without a value":           {"[Zone \"a\"]\nOut", []string{"f.ini:2", "Key = value"}},
		"unclosed heading":               {"[Zone \"a\"", []string{"f.ini:1", "not closed"}},
		"comment after a heading":        {"[Zone \"a\"] ; out", []string{"f.ini:1", "not closed"}},
		"no name":                        {"[Zone]\nOut = true", []string{"f.ini:1", "no proper name"}},
		"name without quotes":            {"[Zone a]\nOut = true", []string{"f.ini:1", "double quotes"}},
		"bad name":                       {"[Zone \"a/b\"]\nOut = true", []string{"f.ini:1", "no proper name"}},
		"default section":                {"[DEFAULT]\nOut = true", []string{"f.ini:1", "no known section"}},
		"bad number":                     {"[Workspace \"w\"]\nWeight = -1", []string{"f.ini:2", "whole number"}},
		"zero weight":                    {"[Workspace \"w\"]\nWeight = 0", []string{"f.ini:2", "from 1 to 1000000"}},
		"bad priority":                   {"[Workspace \"w\"]\nPriority = 1001", []string{"f.ini:2", "-1000 to 1000"}},
		"bad call":                       {"[Service \"s\"]\nIdempotentCalls = GET /a, post /b", []string{"f.ini:2", "METHOD /path"}},
		"bad duration":                   {"[Service \"s\"]\nLongestRun = 90", []string{"f.ini:2", "90s"}},
		"bad size":                       {"[Service \"s\"]\nWeightBytes = 12GB", []string{"f.ini:2", "bytes"}},
		"quoted value":                   {"[Zone \"a\"]\nRegion = \"x\"", []string{"f.ini:2", "without quotes"}},
		"comment after a value":          {"[Zone \"a\"]\nOut = true ; for the storm", []string{"f.ini:2", "true, false"}},
		"Removed with other keys":        {"[Zone \"a\"]\nRemoved = true\nOut = true", []string{"f.ini:1", "alone"}},
		"Removed = false":                {"[Zone \"a\"]\nRemoved = false", []string{"f.ini:2", "leave the key out"}},
		"Removed in a ColdLimit section": {"[ColdLimit \"s\"]\nRemoved = true", []string{"f.ini:2", "Cold, Warm"}},
		"key of a single dash":           {"[Zone \"a\"]\n- = true", []string{"f.ini"}},
		"too large":                      {strings.Repeat("#", intent.MaxBytes+1), []string{"too long"}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			_, err := intent.Parse("f.ini", []byte(c.text))

			var fault *intent.Error

			require.ErrorAs(t, err, &fault)

			for _, want := range c.want {
				require.Contains(t, err.Error(), want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[Zone \"a\"]\nOut = true\n")
	f.Add("[Service \"s\"]\r\nModel = %(x)s \\\n; c\n\xef\xbb\xbf[Zone \"b\"]\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := intent.Parse("f.ini", []byte(text))
		if err == nil {
			require.NotNil(t, d)
		}
	})
}

// A resent declaration must count as the same decision if only its order or comments
// changed.
func TestDigestIgnoresOrderAndComments(t *testing.T) {
	t.Parallel()

	digest := func(text string) []byte {
		d, err := intent.Parse("f.ini", []byte(text))
		require.NoError(t, err)

		return d.Digest(false)
	}

	one := digest("[Zone \"a\"]\nOut = true\nRegion = r\n[Zone \"b\"]\nOut = false")
	require.Equal(t, one, digest("# storm\n[Zone \"b\"]\nOut = false\n\n[Zone \"a\"]\nRegion = r\nOut = true"))
	require.NotEqual(t, one, digest("[Zone \"a\"]\nOut = true\nRegion = r\n[Zone \"b\"]\nOut = true"))
}
