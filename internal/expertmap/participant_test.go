package expertmap

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	startTime   = time.Unix(0, 0)
	firstRecord = Record{AsOf: 5, Current: Activation{Version: 1, Previous: 1}}
	openRecord  = Record{AsOf: 8, Current: firstRecord.Current, Open: Switch{Fence: 8, Version: 2}}
)

func newTestOrder(k OrderKind, f Fence, r Record) Order {
	return Order{Kind: k, Rank: 3, Incarnation: 1 << 32, Fence: f, Version: r.Open.Version, Step: 100, Record: r}
}

// confirmedRank returns a rank that runs map 1.
func confirmedRank() *Participant {
	p := &Participant{Rank: 3, Incarnation: 1 << 32}
	p.Receive(startTime, newTestOrder(OrderConfirm, 5, firstRecord))

	return p
}

// holdingRank returns a rank whose engine holds at step 100 for the switch to
// map 2.
func holdingRank() *Participant {
	p := confirmedRank()
	p.Receive(startTime, newTestOrder(OrderStage, 8, openRecord))
	p.Loaded(startTime, 2, true)
	p.Receive(startTime, newTestOrder(OrderPrepare, 8, openRecord))
	p.Held(startTime, 8, true)

	return p
}

func kinds(actions []Action) (k []ActionKind) {
	for _, a := range actions {
		k = append(k, a.Kind)
	}

	return k
}

func TestReceive(t *testing.T) {
	t.Parallel()

	committed := Record{AsOf: 9, Current: Activation{Version: 2, Step: 100, Previous: 1, Fence: 8}}
	otherSwitch := Record{AsOf: 9, Current: Activation{Version: 2, Step: 100, Previous: 1, Fence: 7}}
	aborted := Record{AsOf: 9, Current: firstRecord.Current}
	otherIncarnation := newTestOrder(OrderInform, 9, committed)
	otherIncarnation.Incarnation++
	cases := []struct {
		name string
		p    *Participant
		o    Order
		want []ActionKind
		v    Version // in force at step 100 afterwards, 0 if the rank has no confirmed record
	}{
		{"stage", confirmedRank(), newTestOrder(OrderStage, 8, openRecord), []ActionKind{ActionLoad, ActionStatus}, 1},
		{"stage repeated", holdingRank(), newTestOrder(OrderStage, 8, openRecord), []ActionKind{ActionStatus}, 1},
		{"prepare before staged", confirmedRank(), newTestOrder(OrderPrepare, 8, openRecord), []ActionKind{ActionStatus}, 1},
		{"prepare repeated", holdingRank(), newTestOrder(OrderPrepare, 8, openRecord), []ActionKind{ActionStatus}, 1},
		{"committed", holdingRank(), newTestOrder(OrderInform, 9, committed), []ActionKind{ActionRun, ActionStatus}, 2},
		{"aborted", holdingRank(), newTestOrder(OrderInform, 9, aborted), []ActionKind{ActionRun, ActionStatus}, 1},
		{"still open, newer record", holdingRank(), newTestOrder(OrderPrepare, 8, Record{AsOf: 9, Current: firstRecord.Current, Open: openRecord.Open}), []ActionKind{ActionStatus}, 1},
		{"committed without this rank", confirmedRank(), newTestOrder(OrderInform, 9, committed), []ActionKind{ActionHold, ActionStatus}, 0},
		{"another switch committed", holdingRank(), newTestOrder(OrderInform, 9, otherSwitch), []ActionKind{ActionHold, ActionStatus}, 0},
		{"old fencing number", holdingRank(), newTestOrder(OrderInform, 7, committed), []ActionKind{ActionStatus}, 1},
		{"other incarnation", holdingRank(), otherIncarnation, []ActionKind{ActionStatus}, 1},
		{"confirm during an open switch", &Participant{Rank: 3, Incarnation: 1 << 32}, newTestOrder(OrderConfirm, 8, openRecord), []ActionKind{ActionStatus}, 0},
		{"inform a rank without a confirmed record", &Participant{Rank: 3, Incarnation: 1 << 32}, newTestOrder(OrderInform, 9, committed), []ActionKind{ActionStatus}, 0},
	}
	for _, c := range cases {
		require.Equal(t, c.want, kinds(c.p.Receive(startTime, c.o)), c.name)
		require.Equal(t, c.v != 0, c.p.confirmed, c.name)
		if c.v != 0 {
			require.Equal(t, c.v, c.p.record.Current.VersionAt(100), c.name)
		}
	}
}

func TestRecordApply(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name string
		from Record
		e    Entry
		want Record
	}{
		{"begin", firstRecord, Entry{Kind: EntryBegin, Version: 2}, Record{AsOf: 20, Current: firstRecord.Current, Open: Switch{Fence: 20, Version: 2}}},
		{"begin an old map", firstRecord, Entry{Kind: EntryBegin, Version: 1}, Record{AsOf: 20, Current: firstRecord.Current}},
		{"begin twice", openRecord, Entry{Kind: EntryBegin, Version: 3}, Record{AsOf: 20, Current: firstRecord.Current, Open: openRecord.Open}},
		{"commit", openRecord, Entry{Kind: EntryCommit, Fence: 8, Step: 9}, Record{AsOf: 20, Current: Activation{Version: 2, Step: 9, Previous: 1, Fence: 8}}},
		{"commit of another", openRecord, Entry{Kind: EntryCommit, Fence: 7, Step: 9}, Record{AsOf: 20, Current: firstRecord.Current, Open: openRecord.Open}},
		{"commit after abort", firstRecord, Entry{Kind: EntryCommit, Fence: 0, Step: 9}, Record{AsOf: 20, Current: firstRecord.Current}},
		{"abort", openRecord, Entry{Kind: EntryAbort, Fence: 8}, Record{AsOf: 20, Current: firstRecord.Current}},
		{"abort of another", openRecord, Entry{Kind: EntryAbort, Fence: 7}, Record{AsOf: 20, Current: firstRecord.Current, Open: openRecord.Open}},
	}
	for _, c := range cases {
		r := c.from
		r.Apply(20, c.e)
		require.Equal(t, c.want, r, c.name)
		r.Apply(20, Entry{Kind: EntryBegin, Version: 9})
		require.Equal(t, c.want, r, "an entry is applied once")
	}
}

func TestProposeErrors(t *testing.T) {
	t.Parallel()

	c := &Coordinator{Ranks: 1, StageTimeout: time.Minute}
	c.Start(firstRecord)
	_, err := c.Propose(startTime, 2)
	require.EqualError(t, err, "expert map 2: this VM is not the leader")
	c.Lead(startTime)
	_, err = c.Propose(startTime, 1)
	require.EqualError(t, err, "expert map 1: version is not newer than the current map")
	_, err = c.Propose(startTime, 2)
	require.NoError(t, err)
	_, err = c.Propose(startTime, 3)
	require.EqualError(t, err, "expert map 3: another switch is in progress")
	require.Equal(t, []Action{{Kind: ActionDone, Version: 2, Outcome: Unknown}}, c.Follow())
}

func TestEngineDo(t *testing.T) {
	t.Parallel()

	fault := errors.New("begun")
	e := &Engine{Hold: func(_ context.Context, f Fence, s Step) error {
		require.Equal(t, Fence(8), f)
		require.Equal(t, Step(100), s)

		return fault
	}}
	require.ErrorIs(t, e.Do(context.Background(), Action{Kind: ActionHold, Fence: 8, Step: 100}), fault)
	require.EqualError(t, e.Do(context.Background(), Action{Kind: ActionQueryPeers}), "action 5 is not an engine action")
}
