// Package directory holds the targets that announce themselves. A control VM keeps the
// announcements that it received in a Registry; an entry merges what several control VMs
// publish in MergedTargets. The directory does not depend on this VM's time of day, and it
// is not replicated through the log: a target unknown to a restarted control VM announces
// itself again.
package directory

import (
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// State is the state that a target announced, or Unresponsive if announcements are missing.
type State uint8

// The states of a target, in the order in which they normally follow each other.
const (
	Ready State = iota
	// Draining targets accept no new work and finish their requests.
	Draining
	// Removed targets have ended.
	Removed
	// Unresponsive targets have not announced themselves for several intervals. They may
	// still serve requests.
	Unresponsive
)

// Group is a target's membership in an expert group. Name is empty if it has none.
type Group struct {
	Name   string
	Epoch  uint64
	Rank   int
	Size   int
	Broken bool
}

// Target is the latest announcement of one incarnation of a target.
type Target struct {
	ID string
	// StartTime is the target's start time by its own clock. It orders the incarnations
	// with one ID and the targets at one address. Sequence orders the announcements of one
	// incarnation.
	StartTime int64
	Sequence  uint64
	Service   string
	Address   netip.AddrPort
	Zone      string
	State     State
	Slots     int
	// ColdUntil is when the target will be warm, on this VM's monotonic clock. It is zero
	// for a warm target.
	ColdUntil time.Time
	Group     Group
}

// supersedes reports whether announcement a is newer than b, for the same ID.
func supersedes(a, b *Target) bool {
	if a.StartTime != b.StartTime {
		return a.StartTime > b.StartTime
	}

	return a.Sequence > b.Sequence
}

// equivalent reports whether a and b say the same, so that b need not be published after a.
func equivalent(a, b *Target, tolerance time.Duration) bool {
	shift := b.ColdUntil.Sub(a.ColdUntil)
	if a.ColdUntil.IsZero() != b.ColdUntil.IsZero() || shift > tolerance || shift < -tolerance {
		return false
	}

	return a.StartTime == b.StartTime && a.Service == b.Service && a.Address == b.Address &&
		a.Zone == b.Zone && a.State == b.State && a.Slots == b.Slots && a.Group == b.Group
}

// ToWire returns the wire form of t at the time now.
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

// FromWire decodes a target that this VM received at now or earlier. The remaining cold
// time counts from now.
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

	return t, eris.Wrap(err, "parse the address of a target")
}
