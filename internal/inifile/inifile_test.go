package inifile_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/inifile"
)

func ExampleRead() {
	f, err := inifile.Read("intent.ini", []byte("# today\n[Zone \"ayutthaya\"]\nOut = true\n"), 1024)
	if err != nil {
		return
	}

	s := f.Sections[0]
	fmt.Println(s.Name, s.Line, s.Settings[0].Key, s.Settings[0].Value, s.Settings[0].Line)
	// Output: Zone "ayutthaya" 2 Out true 3
}

// An operator's mistake must be reported with its position. If a duplicate section were
// merged or dropped, it could silently undo part of an operator's decision.
func TestErrorsNamePlaceAndAllowedValues(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name, data, want string
	}{
		{"duplicate section", "[A]\nX = 1\n[A]\n", "f:3: [A] already given in line 1; allowed: one of each"},
		{"duplicate key", "[A]\nX = 1\nX = 2\n", "f:3: [A] X: already given in line 2; allowed: one of each"},
		{"key before a section", "X = 1\n", "f:1: X: stands before the first section; allowed: a section first"},
		{"unclosed section header", "[A\n", "f:1: the section's head is not closed; allowed: [Section] or [Kind \"name\"]"},
		{"not a setting", "[A]\nX\n", "f:2: [A] X: is no setting; allowed: Key = value"},
		{"quote", "[A]\nX = \"1\"\n", "f:2: [A] X: holds a quote; allowed: plain text without quotes, on one line"},
		{"too long", "[A]\nX = 123456789012345678901234567890\n", "f: the file is too long; allowed: 32 bytes"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			_, err := inifile.Read("f", []byte(c.data), 32)
			require.EqualError(t, err, c.want)
		})
	}
}
