package slopes_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	groupRanks   = 32
	groupExperts = 128
	groupLayers  = 60
	groupSlots   = 5
	// directorMeasureTime is how long an idle director is measured. It is too short for
	// the director to evaluate a new map.
	directorMeasureTime = 5 * time.Second
)

// rankStub is the agent of every rank. It reports that the rank has joined and has no
// load.
type rankStub struct {
	orders atomic.Int64
}

func (s *rankStub) Order(_ context.Context, o *wire.RankOrder) (*wire.RankStatus, error) {
	s.orders.Add(1)

	return &wire.RankStatus{Rank: o.GetRank(), Incarnation: 1, Known: true, Joined: 2, Staged: 2, Highest: o.GetFence()}, nil
}

func (s *rankStub) Ask(context.Context, *wire.RankQuestion) (*wire.RankAnswer, error) {
	return &wire.RankAnswer{}, nil
}

func (s *rankStub) Report(context.Context, *wire.RankQuestion) (*wire.RankReport, error) {
	return &wire.RankReport{}, nil
}

// BenchmarkDirector measures the cost of the director at the control leader while no map
// changes. It polls the status of every rank once a second. The processor time includes
// that of the stub ranks. With kept=true each group has switched from its initial map.
func BenchmarkDirector(b *testing.B) {
	for _, groups := range []int{5, 19, 150} {
		for _, mapsKept := range []bool{false, true} {
			b.Run(fmt.Sprintf("groups=%d/kept=%t", groups, mapsKept), func(b *testing.B) {
				var (
					stub    rankStub
					traffic byteCounter
				)

				server := &http.Server{Handler: wire.NewRankServer(&stub), ReadHeaderTimeout: time.Second}
				listener := listen(b, &traffic)

				go func() { _ = server.Serve(listener) }()

				defer server.Close()

				for b.Loop() {
					measureDirector(b, groups, mapsKept, netip.MustParseAddrPort(listener.Addr().String()), &traffic, &stub)
				}
			})
		}
	}
}

func measureDirector(b *testing.B, groups int, mapsKept bool, address netip.AddrPort, traffic *byteCounter, stub *rankStub) {
	b.Helper()

	transport := &http.Transport{MaxIdleConnsPerHost: groups * groupRanks}
	client := wire.NewRankProtobufClient("http://"+address.String(), &http.Client{Transport: transport})
	d := &expertgroup.Director{
		IsLeader:   func() bool { return true },
		Barrier:    func(context.Context) error { return nil },
		Propose:    func(context.Context, *wire.GroupEntry) error { return nil },
		Groups:     func() []*wire.Group { return declaredGroups(groups) },
		RankAgents: func(string) []expertgroup.RankAgent { return rankAgents(address) },
		SendOrder: func(ctx context.Context, _ netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error) {
			return client.Order(ctx, o)
		},
		FetchReport: func(ctx context.Context, _ netip.AddrPort, q *wire.RankQuestion) (*wire.RankReport, error) {
			return client.Report(ctx, q)
		},
		Settings: expertgroup.DefaultSettings(), Logger: logs.Discard(),
	}
	d.Init()

	before := heapAlloc()

	if mapsKept {
		d.OnApplied(1, nil, groupStates(b, groups))
	}

	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})

	go func() { defer close(done); _ = d.Run(ctx) }()

	time.Sleep(2 * time.Second)

	bytesBefore, cpuBefore, ordersBefore := traffic.bytes.Load(), cpuTime(b), stub.orders.Load()

	time.Sleep(directorMeasureTime)

	seconds := directorMeasureTime.Seconds()
	b.ReportMetric(float64(traffic.bytes.Load()-bytesBefore)/seconds, "B/s")
	b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/seconds*100, "%core")
	b.ReportMetric(float64(stub.orders.Load()-ordersBefore)/seconds, "orders/s")
	b.ReportMetric(heapAlloc()-before, "heap-B")
	require.Greater(b, stub.orders.Load(), ordersBefore)

	cancel()
	<-done
	transport.CloseIdleConnections()
}

func declaredGroups(groups int) []*wire.Group {
	var out []*wire.Group
	for i := range groups {
		out = append(out, &wire.Group{
			Name: fmt.Sprintf("group-%d", i), Service: "assistant",
			Ranks: groupRanks, Experts: groupExperts, Layers: groupLayers, Slots: groupSlots,
		})
	}

	return out
}

func rankAgents(address netip.AddrPort) []expertgroup.RankAgent {
	var out []expertgroup.RankAgent
	for r := range groupRanks {
		out = append(out, expertgroup.RankAgent{Rank: r, Address: address})
	}

	return out
}

// groupStates returns groups whose current map is version 2, as kept in the log.
func groupStates(b *testing.B, groups int) []*wire.GroupState {
	b.Helper()

	m, err := placement.NewMap(placement.Shape{
		Layers: groupLayers, Ranks: groupRanks, SlotsPerRank: groupSlots, Experts: groupExperts,
	})
	require.NoError(b, err)

	record := ledger.InitialRecord()
	record.Current.Version = 2

	var out []*wire.GroupState
	for i := range groups {
		out = append(out, &wire.GroupState{
			Group: fmt.Sprintf("group-%d", i), Record: expertmap.RecordToWire(record),
			Maps: []*wire.GroupMap{{Version: 2, Placement: m.Encode()}},
		})
	}

	return out
}
