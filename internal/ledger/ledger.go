// Package ledger implements the replicated state of parsleygate: services, zones,
// target policies, workspaces, expert maps, planned stops, the directory of processes,
// the claims of non-idempotent requests, and the operators' decisions. It is a
// deterministic state machine over committed commands: it reads no clock and starts no
// goroutine, and equal commands produce equal states, results and snapshots.
package ledger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Ledger is the replicated state. It must be used by one goroutine. Limits must be
// equal on all control VMs, since results depend on them.
type Ledger struct {
	Limits Limits
	// OnGroupEntry, if set, is called after each entry about an expert map.
	OnGroupEntry func(index uint64, e *wire.GroupEntry)

	index      uint64
	changes    uint64
	clock      clock
	records    recordTable
	departures departureTable
	claims     claimTable
	decisions  decisionTable
	groups     groupTable
	documents  documentTable
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	l := &Ledger{Limits: limits}
	l.reset()

	return l
}

func (l *Ledger) reset() {
	l.index = 0
	l.clock = clock{}
	l.records = newRecordTable(l.Limits.MaxTombstones)
	l.departures = newDepartureTable(l.Limits)
	l.claims = newClaimTable(l.Limits)
	l.decisions = newDecisionTable(l.Limits)
	l.groups = groupTable{}
	l.documents = documentTable{}
}

// Index returns the log index of the last applied command.
func (l *Ledger) Index() uint64 { return l.index }

// Now returns the state's own time, which only ticks advance. It starts at the Unix
// epoch and is unrelated to the time of day.
func (l *Ledger) Now() time.Time { return l.clock.now() }

// Apply applies the command that was committed at index and returns its result. A
// command at an index that was already applied changes nothing.
func (l *Ledger) Apply(index uint64, command []byte) []byte {
	if index <= l.index {
		return encode(&wire.Result{Fault: "the index was applied before"})
	}

	l.index = index

	cmd := &wire.Command{}
	if err := proto.Unmarshal(command, cmd); err != nil {
		return encode(&wire.Result{Fault: "the command cannot be read"})
	}

	version, decided, lastTick, document := l.records.version, l.decisions.lastIndex(), l.clock.lastTick, l.documents.index
	result := encode(l.dispatch(index, cmd))

	if l.records.version != version || l.decisions.lastIndex() != decided ||
		l.clock.lastTick != lastTick || l.documents.index != document {
		l.changes++
	}

	return result
}

func (l *Ledger) dispatch(index uint64, cmd *wire.Command) *wire.Result {
	switch kind := cmd.Kind.(type) {
	case *wire.Command_Tick:
		l.applyTick(index, kind.Tick)
		return &wire.Result{}
	case *wire.Command_NodeReports:
		return &wire.Result{Count: l.applyReports(index, kind.NodeReports)}
	case *wire.Command_Expiry:
		return &wire.Result{Count: l.applyExpiry(index, kind.Expiry)}
	case *wire.Command_Claim:
		return &wire.Result{Claim: l.claims.claim(l.clock.now(), kind.Claim)}
	case *wire.Command_Settle:
		return &wire.Result{Settle: l.claims.settle(kind.Settle)}
	case *wire.Command_StorePlan:
		return &wire.Result{PlanID: l.decisions.storePlan(index, kind.StorePlan)}
	case *wire.Command_Decision:
		return &wire.Result{Decision: l.decide(index, kind.Decision)}
	case *wire.Command_ExpertMap:
		return &wire.Result{Map: l.putMap(index, kind.ExpertMap)}
	case *wire.Command_GroupEntry:
		l.groups.apply(index, kind.GroupEntry)

		if l.OnGroupEntry != nil {
			l.OnGroupEntry(index, kind.GroupEntry)
		}

		return &wire.Result{}
	case *wire.Command_Document:
		l.applyDocument(index, kind.Document)
		return &wire.Result{}
	case *wire.Command_ZoneOrder:
		l.setZoneOut(index, kind.ZoneOrder)
		return &wire.Result{}
	default:
		return &wire.Result{Fault: "the command has no known kind"}
	}
}

// Records returns the current configuration as an immutable value.
func (l *Ledger) Records() Records { return l.records.current() }

// Decisions returns the stored decisions, the earliest first, and the largest number
// whose answer was dropped.
func (l *Ledger) Decisions() (entries []*wire.DecisionEntry, floor uint64) {
	return l.decisions.entries, l.decisions.floor
}

// ChangeCount returns a counter that grows whenever a command changes what Records,
// Decisions, TickIndex or Document return.
func (l *Ledger) ChangeCount() uint64 { return l.changes }

// ClaimCount returns the number of claims held.
func (l *Ledger) ClaimCount() int { return len(l.claims.byKey) }

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Results hold only valid UTF-8 and no required fields, so Marshal cannot
		// fail.
		panic(err)
	}

	return data
}
