package routing_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = "cooper-assist"

func newChooser(seed uint64, targets ...routing.Target) *routing.Chooser {
	c := &routing.Chooser{Rand: rand.New(rand.NewPCG(seed, seed))}
	c.ChangeTargets(routing.TargetsChanged{Targets: targets})

	return c
}

func targets(n int) []routing.Target {
	zones := []string{"ayutthaya", "ang-thong", "saraburi"}
	list := make([]routing.Target, n)

	for i := range list {
		list[i] = routing.Target{
			AgentID: fmt.Sprintf("t%02d", i), Service: service, Zone: zones[i%3], Region: "central-th",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i)),
			Capacity: 8, Incarnation: 1,
		}
	}

	return list
}

func credit(c *routing.Chooser, id string, slots int, ends time.Time) {
	c.ApplyCredit(routing.CreditChanged{AgentID: id, Incarnation: 1, Slots: slots, ExpiresAt: ends})
}

func TestColdTargetWithoutCreditIsNotChosen(t *testing.T) {
	t.Parallel()

	list := targets(1)
	list[0].Cold = true
	c := newChooser(1, list...)

	_, none := c.Choose(epoch, routing.Request{Service: service})
	require.NotNil(t, none)
	require.Equal(t, verdict.CauseColdLimit, none.Cause)
	require.True(t, none.RetryAt.After(epoch))

	credit(c, "t00", 1, epoch.Add(time.Second))

	got, none := c.Choose(epoch, routing.Request{Service: service})
	require.Nil(t, none)
	require.True(t, got.Cold)

	_, none = c.Choose(epoch, routing.Request{Service: service})
	require.NotNil(t, none)
}

func TestDrainingAndZoneOutTargetsAreNotChosen(t *testing.T) {
	t.Parallel()

	list := targets(2)
	list[0].Draining = true
	list[1].ZoneOut = true

	_, none := newChooser(1, list...).Choose(epoch, routing.Request{Service: service})
	require.NotNil(t, none)
	require.Contains(t, []verdict.Cause{verdict.CauseZoneOut, verdict.CauseLeaving}, none.Cause)
}
