package routes_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/routes"
)

// validDeclaration returns a valid declaration to which edit, if not nil, is applied.
func validDeclaration(edit func(d *routes.Declaration)) routes.Declaration {
	d := routes.Declaration{
		Number: 7,
		Services: []routes.Service{
			{Name: "drafts", MaxConnections: 298, ColdDuration: 3 * time.Second, ColdPerSecond: 26, HealthPath: "/health", Slots: 12, Experts: routes.ExpertShape{Sets: 4, Experts: 72, Slots: 8, SpareSlots: 3, CopyTime: 98 * time.Millisecond}, Engine: routes.EngineFigures{
				Stride: 4, StepTime: 4550 * time.Microsecond, SequenceTime: 905 * time.Microsecond, ContextTime: 18300 * time.Nanosecond,
				PromptTokensPerSecond: 61400, ChunkTokens: 512, PairTime: 525 * time.Microsecond, ExpertShare: 0.85, UsualPromptTokens: 835, UsualAnswerTokens: 97,
			}},
			{Name: "desk", MaxConnections: 120},
		},
		Routes: []routes.Route{
			{Name: "a", Host: "Desk.example", Prefix: "/kiln/", Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxTargets: 1, Shares: []routes.Share{{Service: "desk", Weight: 1}}},
			{Name: "b", Host: "desk.example", Prefix: "/kiln/drafts/", Retry: routes.RetryResume, Stream: true, Timeout: 8 * time.Second, EventGapTarget: 120 * time.Millisecond, Priority: 1, Shares: []routes.Share{{Service: "drafts", Weight: 90}, {Service: "desk", Weight: 10}}},
		},
		Workspaces: []routes.Workspace{{Name: "coopers", Keys: []string{"k1", "k2"}, Priority: 1}},
		Limits:     routes.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if edit != nil {
		edit(&d)
	}

	return d
}

// An invalid declaration must be rejected with an error that names the invalid part and
// the problem.
func TestInvalidDeclarationsAreRejected(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name string
		edit func(d *routes.Declaration)
		want string
	}{
		{name: "unknown service", edit: func(d *routes.Declaration) { d.Routes[0].Shares[0].Service = "gone" }, want: `route "a": service "gone" is not declared`},
		{name: "zero weight", edit: func(d *routes.Declaration) { d.Routes[0].Shares[0].Weight = 0 }, want: `route "a": the weights add up to 0`},
		{name: "no share", edit: func(d *routes.Declaration) { d.Routes[0].Shares = nil }, want: `route "a": the weights add up to 0`},
		{name: "no timeout", edit: func(d *routes.Declaration) { d.Routes[1].Timeout = 0 }, want: `route "b": the timeout is not above 0`},
		{name: "same host and prefix", edit: func(d *routes.Declaration) { d.Routes[1].Prefix = "/kiln/" }, want: `route "b": another route has the same host and prefix`},
		{name: "prefix without final slash", edit: func(d *routes.Declaration) { d.Routes[0].Prefix = "/kiln" }, want: `route "a": the prefix does not begin and end with a slash`},
		{name: "duplicate service", edit: func(d *routes.Declaration) { d.Services[1].Name = "drafts" }, want: `service "drafts": has no name or is declared twice`},
		{name: "shared key", edit: func(d *routes.Declaration) {
			d.Workspaces = append(d.Workspaces, routes.Workspace{Name: "makers", Keys: []string{"k2"}})
		}, want: `workspace "makers": shares a key with workspace "coopers"`},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			_, err := routes.NewTable(validDeclaration(c.edit))
			require.EqualError(t, err, c.want)

			var invalid *routes.InvalidError

			require.ErrorAs(t, err, &invalid)
		})
	}
}

func TestFind(t *testing.T) {
	t.Parallel()

	table, err := routes.NewTable(validDeclaration(nil))
	require.NoError(t, err)

	cases := []struct{ host, path, want string }{
		{"desk.example", "/kiln/7", "a"},
		{"DESK.example", "/kiln/", "a"},
		{"desk.example", "/kiln/drafts/x/y", "b"},
		{"desk.example", "/kiln/draftsx", "a"},
		{"desk.example", "/kiln", ""},
		{"desk.example", "/", ""},
		{"desk.example", "", ""},
		{"other.example", "/kiln/7", ""},
		{"desk.example", "*", ""},
	}
	for _, c := range cases {
		r := table.Find(c.host, c.path)
		if c.want == "" {
			require.Nil(t, r, c.path)

			continue
		}

		require.NotNil(t, r, c.path)
		require.Equal(t, c.want, r.Name, c.path)
	}

	require.Equal(t, "coopers", table.Workspace("k2").Name)
	require.Nil(t, table.Workspace(""))
	require.True(t, table.RequiresKey())
}

func TestPickFollowsTheWeights(t *testing.T) {
	t.Parallel()

	d := validDeclaration(nil)
	r := &d.Routes[1]
	picked := map[string]int{}

	for i := range 1000 {
		picked[r.Pick(float64(i)/1000)]++
	}

	require.Equal(t, map[string]int{"drafts": 900, "desk": 100}, picked)
	// The largest number below 1 must not select past the last share.
	require.Equal(t, "desk", r.Pick(0.9999999999999999))
}

// Declarations are sent to entries in wire form. A field lost in the conversion would
// not be in force at any entry, although the operator's declaration was accepted.
func TestWireRoundTripKeepsAllFields(t *testing.T) {
	t.Parallel()

	d := validDeclaration(nil)
	want := validDeclaration(nil)
	// The routes to the desk have different priorities, and the wire form says so for processes
	// that receive no routes.
	want.Services[1].PrioritizedGap = 120 * time.Millisecond

	require.Equal(t, want, routes.FromWire(d.ToWire()))
}

func FuzzFind(f *testing.F) {
	f.Add("desk.example", "/kiln/drafts/1")

	d := validDeclaration(nil)

	table, err := routes.NewTable(d)
	require.NoError(f, err)

	f.Fuzz(func(t *testing.T, host, path string) {
		var want *routes.Route

		for i := range d.Routes {
			r := &d.Routes[i]
			if sameHost(r.Host, host) && strings.HasPrefix(path, r.Prefix) &&
				(want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}

		if got := table.Find(host, path); (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
			t.Fatalf("%q %q: got %v, want %v", host, path, got, want)
		}
	})
}

// sameHost compares hosts as Find does. strings.EqualFold would also match letters that
// have no lower case.
func sameHost(a, b string) bool {
	a, b = strings.ToLower(a), strings.ToLower(b)

	return a == b
}

// Guards against choosing by priority in a service whose routes all have the same one.
func TestPrioritiesOfAService(t *testing.T) {
	t.Parallel()

	route := func(prefix string, priority uint32, gap time.Duration, services ...string) routes.Route {
		r := routes.Route{Name: prefix, Host: "h", Prefix: prefix, Timeout: time.Second, EventGapTarget: gap, Priority: priority}
		for _, s := range services {
			r.Shares = append(r.Shares, routes.Share{Service: s, Weight: 1})
		}

		return r
	}

	table, err := routes.NewTable(routes.Declaration{
		Services: []routes.Service{{Name: "mixed"}, {Name: "plain"}},
		Routes: []routes.Route{
			route("/a/", 0, 150*time.Millisecond, "mixed"), route("/b/", 2, 120*time.Millisecond, "mixed", "plain"), route("/c/", 2, 0, "plain"),
		},
	})
	if err != nil {
		t.Fatal(err)
	}

	if !table.HasPriorities("mixed") || table.HasPriorities("plain") || table.HasPriorities("unknown") {
		t.Errorf("services with priorities: mixed %t, plain %t, unknown %t", table.HasPriorities("mixed"), table.HasPriorities("plain"), table.HasPriorities("unknown"))
	}

	if gap, timeout := table.StreamTimes("mixed"); gap != 120*time.Millisecond || timeout != time.Second {
		t.Errorf("stream times of mixed: gap %s, timeout %s", gap, timeout)
	}
}
