package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/placement"
)

const none = placement.None

func TestValidate(t *testing.T) {
	t.Parallel()

	small := placement.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 2, Experts: 3}
	cases := []struct {
		name  string
		slots []placement.Expert
		want  string
	}{
		{"complete", []placement.Expert{0, 1, 2, none}, ""},
		{"replicated", []placement.Expert{0, 1, 2, 0}, ""},
		{"lacks an expert", []placement.Expert{0, 1, none, 0}, "layer 0, rank -1, expert 2: no replica"},
		{"holds one twice", []placement.Expert{0, 1, 2, 2}, "layer 0, rank 1, expert 2: duplicate replica on the same rank"},
		{"unknown expert", []placement.Expert{0, 1, 2, 3}, "layer 0, rank 1, expert 3: expert number out of range"},
		{"too few slots", []placement.Expert{0, 1, 2}, "invalid map shape: 1 layers, 2 ranks of 2 slots each, 3 experts"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m := &placement.Map{Shape: small, Slots: c.slots}
			err := m.Validate()
			if c.want == "" {
				require.NoError(t, err)
				back, err := placement.Decode(m.Encode())
				require.NoError(t, err)
				require.Equal(t, m, back)

				return
			}
			require.EqualError(t, err, c.want)
			_, err = placement.Decode(m.Encode())
			require.Error(t, err)
		})
	}
}

func TestShapeCheck(t *testing.T) {
	t.Parallel()

	bad := []placement.Shape{
		{},
		{Layers: 1, Ranks: 2, SlotsPerRank: 1, Experts: 3},
		{Layers: 1, Ranks: 65, SlotsPerRank: 1, Experts: 3},
		{Layers: 1, Ranks: 1, SlotsPerRank: 1 << 20, Experts: 1 << 16},
		{Layers: -1, Ranks: 2, SlotsPerRank: 2, Experts: 3},
	}
	for _, s := range bad {
		_, err := placement.NewMap(s)
		var e *placement.ShapeError
		require.ErrorAs(t, err, &e, "%+v", s)
	}
	for _, b := range [][]byte{nil, {0xff}, {8, 1, 16, 2}} {
		_, err := placement.Decode(b)
		require.Error(t, err)
	}
}
