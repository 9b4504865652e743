package directory

import (
	"fmt"
	"net/netip"
	"time"
)

// InvalidTargetError means that a field of a target has a value that no target has.
type InvalidTargetError struct {
	ID    string
	Field string
	Value any
}

func (e *InvalidTargetError) Error() string {
	return fmt.Sprintf("target %q: %s is %v, which no target has", e.ID, e.Field, e.Value)
}

const (
	// maxNameLength bounds the names of services, zones and groups, in bytes.
	maxNameLength = 256
	// maxSlots and maxGroupSize bound the requests that a target runs and the ranks of a group. Messages carry 32 bits.
	maxSlots     = 1 << 16
	maxGroupSize = 1 << 12
	// maxCounter bounds what a target counts up from its start, and its start time.
	maxCounter = 1<<53 - 1
	// maxColdTime bounds how long a target is cold.
	maxColdTime = 24 * time.Hour
)

// Check returns an *InvalidTargetError if t holds a value that no target has at the time now. Such a target comes from other
// software. It must not be used, nor change what is known of others.
func (t *Target) Check(now time.Time) error {
	invalid := func(field string, value any) error {
		return &InvalidTargetError{ID: t.ID, Field: field, Value: value}
	}

	switch {
	case t.State > Unresponsive:
		return invalid("State", t.State)
	case t.StartTime < 0 || t.StartTime > maxCounter:
		return invalid("StartTime", t.StartTime)
	case t.Sequence > maxCounter:
		return invalid("Sequence", t.Sequence)
	case t.State == Removed && !t.Address.IsValid():
		return nil // The rest of what is known of a removed target may be unknown.
	case !isDialable(t.Address):
		return invalid("Address", t.Address)
	case len(t.Service) > maxNameLength:
		return invalid("length of Service", len(t.Service))
	case len(t.Zone) > maxNameLength:
		return invalid("length of Zone", len(t.Zone))
	case t.Slots < 0 || t.Slots > maxSlots:
		return invalid("Slots", t.Slots)
	case t.ColdUntil.Sub(now) > maxColdTime:
		return invalid("remaining cold time", t.ColdUntil.Sub(now))
	default:
		return t.Group.check(invalid)
	}
}

func (g *Group) check(invalid func(field string, value any) error) error {
	switch {
	case len(g.Name) > maxNameLength:
		return invalid("length of Group", len(g.Name))
	case g.Size < 0 || g.Size > maxGroupSize:
		return invalid("Size of the group", g.Size)
	case g.Rank < 0 || g.Rank >= maxGroupSize || g.Size > 0 && g.Rank >= g.Size:
		return invalid("Rank", g.Rank)
	case g.Epoch > maxCounter:
		return invalid("Epoch", g.Epoch)
	default:
		return nil
	}
}

// isDialable reports whether another VM can connect to an address.
func isDialable(a netip.AddrPort) bool {
	ip := a.Addr()

	return a.IsValid() && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() &&
		ip != netip.AddrFrom4([4]byte{255, 255, 255, 255}) && (ip.Is4() || !ip.IsLinkLocalUnicast())
}
