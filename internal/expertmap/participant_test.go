package expertmap

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start  = time.Unix(0, 0)
	first  = Record{AsOf: 5, Current: Activation{Version: 1, Previous: 1}}
	opened = Record{AsOf: 8, Current: first.Current, Open: Switch{Fence: 8, Version: 2}}
)

func order(k OrderKind, f Fence, r Record) Order {
	return Order{Kind: k, Rank: 3, Incarnation: 1 << 32, Fence: f, Version: r.Open.Version, Step: 100, Record: r}
}

// member returns a rank that runs map 1.
func member() *Participant {
	p := &Participant{Rank: 3, Incarnation: 1 << 32}
	p.Receive(start, order(OrderConfirm, 5, first))

	return p
}

// holding returns a rank whose engine holds at step 100 for the switch to map 2.
func holding() *Participant {
	p := member()
	p.Receive(start, order(OrderStage, 8, opened))
	p.Loaded(start, 2, true)
	p.Receive(start, order(OrderPrepare, 8, opened))
	p.Held(start, 8, true)

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
	foreign := Record{AsOf: 9, Current: Activation{Version: 2, Step: 100, Previous: 1, Fence: 7}}
	aborted := Record{AsOf: 9, Current: first.Current}
	other := order(OrderInform, 9, committed)
	other.Incarnation++
	cases := []struct {
		name string
		p    *Participant
		o    Order
		want []ActionKind
		v    Version // that rules at step 100 afterwards, 0 for none known
	}{
		{"stage", member(), order(OrderStage, 8, opened), []ActionKind{ActionLoad, ActionStatus}, 1},
		{"stage again", holding(), order(OrderStage, 8, opened), []ActionKind{ActionStatus}, 1},
		{"prepare before staged", member(), order(OrderPrepare, 8, opened), []ActionKind{ActionStatus}, 1},
		{"prepare again", holding(), order(OrderPrepare, 8, opened), []ActionKind{ActionStatus}, 1},
		{"committed", holding(), order(OrderInform, 9, committed), []ActionKind{ActionRun, ActionStatus}, 2},
		{"aborted", holding(), order(OrderInform, 9, aborted), []ActionKind{ActionRun, ActionStatus}, 1},
		{"still open, later log", holding(), order(OrderPrepare, 8, Record{AsOf: 9, Current: first.Current, Open: opened.Open}), []ActionKind{ActionStatus}, 1},
		{"committed without this rank", member(), order(OrderInform, 9, committed), []ActionKind{ActionHold, ActionStatus}, 0},
		{"another switch committed", holding(), order(OrderInform, 9, foreign), []ActionKind{ActionHold, ActionStatus}, 0},
		{"old fencing number", holding(), order(OrderInform, 7, committed), []ActionKind{ActionStatus}, 1},
		{"other incarnation", holding(), other, []ActionKind{ActionStatus}, 1},
		{"confirm from an open switch", &Participant{Rank: 3, Incarnation: 1 << 32}, order(OrderConfirm, 8, opened), []ActionKind{ActionStatus}, 0},
		{"inform a rank that knows nothing", &Participant{Rank: 3, Incarnation: 1 << 32}, order(OrderInform, 9, committed), []ActionKind{ActionStatus}, 0},
	}
	for _, c := range cases {
		require.Equal(t, c.want, kinds(c.p.Receive(start, c.o)), c.name)
		require.Equal(t, c.v != 0, c.p.known, c.name)
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
		{"begin", first, Entry{Kind: EntryBegin, Version: 2}, Record{AsOf: 20, Current: first.Current, Open: Switch{Fence: 20, Version: 2}}},
		{"begin an old map", first, Entry{Kind: EntryBegin, Version: 1}, Record{AsOf: 20, Current: first.Current}},
		{"begin twice", opened, Entry{Kind: EntryBegin, Version: 3}, Record{AsOf: 20, Current: first.Current, Open: opened.Open}},
		{"commit", opened, Entry{Kind: EntryCommit, Fence: 8, Step: 9}, Record{AsOf: 20, Current: Activation{Version: 2, Step: 9, Previous: 1, Fence: 8}}},
		{"commit of another", opened, Entry{Kind: EntryCommit, Fence: 7, Step: 9}, Record{AsOf: 20, Current: first.Current, Open: opened.Open}},
		{"commit after abort", first, Entry{Kind: EntryCommit, Fence: 0, Step: 9}, Record{AsOf: 20, Current: first.Current}},
		{"abort", opened, Entry{Kind: EntryAbort, Fence: 8}, Record{AsOf: 20, Current: first.Current}},
		{"abort of another", opened, Entry{Kind: EntryAbort, Fence: 7}, Record{AsOf: 20, Current: first.Current, Open: opened.Open}},
	}
	for _, c := range cases {
		r := c.from
		r.Apply(20, c.e)
		require.Equal(t, c.want, r, c.name)
		r.Apply(20, Entry{Kind: EntryBegin, Version: 9})
		require.Equal(t, c.want, r, "an entry counts once")
	}
}

func TestProposeRefuses(t *testing.T) {
	t.Parallel()

	c := &Coordinator{Ranks: 1, StageTimeout: time.Minute}
	c.Start(first)
	_, err := c.Propose(start, 2)
	require.EqualError(t, err, "expert map 2: this VM does not lead")
	c.Lead(start)
	_, err = c.Propose(start, 1)
	require.EqualError(t, err, "expert map 1: not newer than the ruling map")
	_, err = c.Propose(start, 2)
	require.NoError(t, err)
	_, err = c.Propose(start, 3)
	require.EqualError(t, err, "expert map 3: another switch is open")
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
	require.EqualError(t, e.Do(context.Background(), Action{Kind: ActionQueryPeers}), "action 5 is none of the engine's")
}
