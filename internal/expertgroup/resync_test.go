package expertgroup_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against a stale map being confirmed to a restarted rank, which would corrupt the
// responses of the whole group. A control VM stalls while thousands of entries are applied, so
// that its director's event queue overflows and drops the last ones, among them the commit of
// a new map. Then the VM becomes the leader, and the rank asks which map is in force.
func TestMissedLogEntriesCauseResync(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const entries = 6000

		status := &wire.RankStatus{Incarnation: 7}
		confirmations := make(chan *wire.RankOrder, 1)

		d := &expertgroup.Director{
			IsLeader: func() bool { return true },
			Barrier:  func(context.Context) error { return nil },
			Groups:   func() []*wire.Group { return []*wire.Group{{Name: groupName, Ranks: 1, Experts: 2, Layers: 1}} },
			RankAgents: func(string) []expertgroup.RankAgent {
				return []expertgroup.RankAgent{{Address: netip.AddrPortFrom(netip.IPv6Loopback(), 1)}}
			},
			SendOrder: func(_ context.Context, _ netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error) {
				if o.GetKind() == wire.RankOrderKind_RankOrderConfirm {
					confirmations <- o
				}

				return status, nil
			},
			FetchReport: func(context.Context, netip.AddrPort, *wire.RankQuestion) (*wire.RankReport, error) {
				return nil, errLost
			},
			Settings: expertgroup.DefaultSettings(),
			Logger:   slog.New(slog.DiscardHandler),
		}
		d.Init()

		at := func(i uint64) []*wire.GroupState {
			return []*wire.GroupState{{Group: groupName, Record: &wire.GroupRecord{AsOf: i, RulingVersion: i}}}
		}

		var mu sync.Mutex

		last := uint64(entries)
		d.Propose = func(_ context.Context, e *wire.GroupEntry) error {
			mu.Lock()
			defer mu.Unlock()

			last++
			state := at(last)
			state[0].Record.RulingVersion = entries
			d.OnApplied(last, e, state)

			return nil
		}

		for i := uint64(1); i <= entries; i++ {
			d.OnApplied(i, &wire.GroupEntry{Group: groupName}, at(i))
		}

		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})

		go func() {
			defer close(done)

			_ = d.Run(ctx)
		}()

		select {
		case o := <-confirmations:
			require.Equal(t, uint64(entries), o.GetRecord().GetRulingVersion())
		case <-time.After(time.Minute):
			t.Error("the rank got no confirmation within a minute")
		}

		stop()
		<-done
		time.Sleep(time.Minute)
	})
}
