// Package directory keeps the targets that announce themselves. A control VM
// holds what it heard; an entry merges what several control VMs publish. Nothing
// in it rests on the time of day of this VM, and nothing goes through the log: a
// target that a restarted control VM does not know yet announces itself again.
package directory

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// State is what a target says of itself, or what its silence says.
type State uint8

// The states, in the order in which a target usually passes through them.
const (
	Ready State = iota
	// Draining targets take no new work and finish what they have.
	Draining
	// Removed targets said that they end.
	Removed
	// Unresponsive targets have announced nothing for some beats. They may still serve.
	Unresponsive
)

// Group is a target's part in an expert group; Name is empty for none.
type Group struct {
	Name   string
	Epoch  uint64
	Rank   int
	Size   int
	Broken bool
}

// Target is one incarnation of a target, as it announced itself last.
type Target struct {
	ID string
	// StartTime orders the incarnations under one ID and at one address, and Sequence
	// what one incarnation says. Born is the target's own mark of its start.
	StartTime int64
	Sequence  uint64
	Service   string
	Address   netip.AddrPort
	Zone      string
	State     State
	Slots     int
	// ColdUntil is when it will be warm, on this VM's steady clock; zero: it is warm.
	ColdUntil time.Time
	Group     Group
}

// supersedes reports whether a's word goes before b's, for one ID.
func supersedes(a, b *Target) bool {
	if a.StartTime != b.StartTime {
		return a.StartTime > b.StartTime
	}

	return a.Sequence > b.Sequence
}

// equivalent reports whether entries need not be told of b after a.
func equivalent(a, b *Target, tolerance time.Duration) bool {
	shift := b.ColdUntil.Sub(a.ColdUntil)
	if a.ColdUntil.IsZero() != b.ColdUntil.IsZero() || shift > tolerance || shift < -tolerance {
		return false
	}

	return a.StartTime == b.StartTime && a.Service == b.Service && a.Address == b.Address &&
		a.Zone == b.Zone && a.State == b.State && a.Slots == b.Slots && a.Group == b.Group
}

// ToWire returns t as it travels at now.
func (t *Target) ToWire(now time.Time) *wire.TargetEntry {
	out := &wire.TargetEntry{
		ID: t.ID, Born: t.StartTime, Sequence: t.Sequence, Service: t.Service, Address: t.Address.String(),
		Zone: t.Zone, State: wire.TargetState(t.State), Slots: uint32(t.Slots),
		Group: t.Group.Name, GroupEpoch: t.Group.Epoch, Rank: uint32(t.Group.Rank),
		GroupSize: uint32(t.Group.Size), GroupBroken: t.Group.Broken,
	}

	if remaining := t.ColdUntil.Sub(now); remaining > 0 {
		out.ColdMillis = uint64(remaining.Milliseconds()) + 1
	}

	return out
}

// FromWire reads a target that was sent at sent, by this VM's clock, or later.
func FromWire(w *wire.TargetEntry, now time.Time) (Target, error) {
	t := Target{
		ID: w.GetID(), StartTime: w.GetBorn(), Sequence: w.GetSequence(), Service: w.GetService(), Zone: w.GetZone(),
		State: State(w.GetState()), Slots: int(w.GetSlots()),
		Group: Group{
			Name: w.GetGroup(), Epoch: w.GetGroupEpoch(), Rank: int(w.GetRank()), Size: int(w.GetGroupSize()),
			Broken: w.GetGroupBroken(),
		},
	}

	if w.GetColdMillis() > 0 {
		t.ColdUntil = now.Add(time.Duration(w.GetColdMillis()) * time.Millisecond)
	}

	if w.GetAddress() == "" && t.State == Removed {
		return t, nil
	}

	var err error

	t.Address, err = netip.ParseAddrPort(w.GetAddress())

	return t, eris.Wrap(err, "read target")
}
