package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/relay"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/view"
)

// fleetState returns the state of a deployment with five lock-step groups and a booking
// service.
func fleetState(b *testing.B, entries, targets int) *view.ClusterState {
	b.Helper()

	s := &view.ClusterState{Entries: entries, Table: &routes.Table{Declaration: routes.Declaration{Services: []routes.Service{{Name: "assist"}, {Name: "desk"}}}}}

	for i := range entries {
		s.Roster = append(s.Roster, shares.Node{ID: fmt.Sprintf("entry-%04d", i), Zone: fmt.Sprint("z", i%5)})
	}

	for i := range targets {
		t := directory.Target{
			ID: fmt.Sprintf("target-%04d", i), StartTime: 1, Service: "assist", Zone: fmt.Sprint("z", i/5%5), Slots: 6,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
			Group:   directory.Group{Name: fmt.Sprint("g", i%5), Rank: i / 5, Size: targets / 5},
		}
		if i%12 == 0 {
			t.Service, t.Group = "desk", directory.Group{}
		}

		s.Targets = append(s.Targets, t)
	}

	return s
}

// BenchmarkApply measures what a change of one target, and one of one entry, costs an entry.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{{14, 75}, {289, 705}, {578, 1410}} {
		for _, kind := range []string{"target", "entry"} {
			b.Run(fmt.Sprintf("entries=%d/targets=%d/%s", size.entries, size.targets, kind), func(b *testing.B) {
				now := time.Unix(1000, 0)
				state := fleetState(b, size.entries, size.targets)
				r := &relay.Relay{
					ID: "entry-0000", Zone: "z0", State: func() *view.ClusterState { return state }, Budget: &retries.SharedBudget{},
					Rand: rand.New(rand.NewPCG(1, 2)), Now: func() time.Time { return now },
				}
				r.Init()
				r.Apply(state)
				b.ReportAllocs()

				for i := 0; b.Loop(); i++ {
					now = now.Add(2 * time.Second)

					if kind == "target" {
						state.Targets[1].State = directory.State(i % 2)
					} else {
						state.Roster[1].ID = fmt.Sprint("entry-new-", i)
					}

					r.Apply(state)
				}
			})
		}
	}
}
