// Package directory holds the targets that announce themselves. A control VM keeps the
// announcements that it received in a Registry; an entry merges what several control VMs
// publish in MergedTargets. The directory does not depend on this VM's time of day, and it
// is not replicated through the log: a target unknown to a restarted control VM announces
// itself again.
package directory

import (
	"cmp"
	"net/netip"
	"slices"
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
	// RegisteredAt is when this incarnation announced itself first, zero if unknown, and Removals are those
	// of its ID. The times are on this VM's monotonic clock, later than the event by the time of messages.
	// The slice is never modified in place.
	RegisteredAt time.Time
	Removals     []Removal
}

// Removal is a removal of an ID. It removes the incarnations that had registered before.
type Removal struct {
	// Key identifies the removal.
	Key uint64
	At  time.Time
}

// maxRemovals bounds the removals of an ID that are known. The latest are kept.
const maxRemovals = 8

// isRemoved reports whether the target has left or was removed.
func (t *Target) isRemoved() bool {
	return t.State == Removed || !t.RegisteredAt.IsZero() &&
		slices.ContainsFunc(t.Removals, func(r Removal) bool { return !t.RegisteredAt.After(r.At) })
}

// addRemoval adds a removal, or an earlier report of one, whose time is closer.
func (t *Target) addRemoval(r Removal) {
	removals := slices.Clone(t.Removals)
	i := slices.IndexFunc(removals, func(known Removal) bool { return known.Key == r.Key })

	switch {
	case i < 0:
		removals = append(removals, r)
	case r.At.Before(removals[i].At):
		removals[i].At = r.At
	default:
		return
	}

	slices.SortFunc(removals, func(a, b Removal) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Key, b.Key)) })
	t.Removals = removals[max(0, len(removals)-maxRemovals):]
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
		ID: t.ID, Born: t.StartTime, Sequence: t.Sequence, Service: t.Service,
		Zone: t.Zone, State: wire.TargetState(t.State), Slots: uint32(t.Slots),
		Group: t.Group.Name, GroupEpoch: t.Group.Epoch, Rank: uint32(t.Group.Rank),
		GroupSize: uint32(t.Group.Size), GroupBroken: t.Group.Broken,
	}

	if t.Address.IsValid() {
		out.Address = t.Address.String()
	}

	if !t.RegisteredAt.IsZero() {
		out.RegisteredAgoMicros = toMicros(now.Sub(t.RegisteredAt)) + 1
	}

	for _, r := range t.Removals {
		out.Removals = append(out.Removals, &wire.TargetRemoval{Key: r.Key, AgoMicros: toMicros(now.Sub(r.At))})
	}

	if remaining := t.ColdUntil.Sub(now); remaining > 0 {
		out.ColdMillis = uint64(remaining.Milliseconds()) + 1
	}

	return out
}

func toMicros(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

// maxAge bounds the ages in messages.
const maxAge = 365 * 24 * time.Hour

func ago(now time.Time, micros uint64) time.Time {
	return now.Add(-time.Duration(min(micros, uint64(maxAge.Microseconds()))) * time.Microsecond)
}

// FromWire decodes a target that this VM received at now or earlier. The remaining cold
// time and the ages count from now. It returns an *InvalidTargetError for a value that no target has.
func FromWire(w *wire.TargetEntry, now time.Time) (Target, error) {
	t := Target{
		ID: w.GetID(), StartTime: w.GetBorn(), Sequence: w.GetSequence(), Service: w.GetService(), Zone: w.GetZone(),
		State: State(w.GetState()), Slots: int(w.GetSlots()),
		Group: Group{
			Name: w.GetGroup(), Epoch: w.GetGroupEpoch(), Rank: int(w.GetRank()), Size: int(w.GetGroupSize()),
			Broken: w.GetGroupBroken(),
		},
	}

	if w.GetRegisteredAgoMicros() > 0 {
		t.RegisteredAt = ago(now, w.GetRegisteredAgoMicros()-1)
	}

	for _, r := range w.GetRemovals()[:min(len(w.GetRemovals()), maxRemovals)] {
		t.Removals = append(t.Removals, Removal{Key: r.GetKey(), At: ago(now, r.GetAgoMicros())})
	}

	if w.GetColdMillis() > 0 {
		t.ColdUntil = now.Add(time.Duration(min(w.GetColdMillis(), uint64(2*maxColdTime.Milliseconds()))) * time.Millisecond)
	}

	if w.GetAddress() != "" || t.State != Removed {
		var err error

		if t.Address, err = netip.ParseAddrPort(w.GetAddress()); err != nil {
			return t, eris.Wrap(err, "parse the address of a target")
		}
	}

	return t, t.Check(now)
}
