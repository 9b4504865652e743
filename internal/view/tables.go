package view

import (
	"net/netip"
	"time"
)

const (
	// ownZoneFirst is how long a table is left to the control VMs of the entry's own zone.
	ownZoneFirst = 150 * time.Millisecond
	// fetchWait is how long a question is held while a table is to be had.
	fetchWait = 100 * time.Millisecond
)

// tables decides from which control VM a table is fetched. A large one, sent by every control
// VM to every entry at each change, filled links for a second, so that questions failed and
// had it sent once more. Each entry fetches it from one of them, in its own zone where it can.
type tables struct {
	own   string
	zones map[netip.AddrPort]string
	// heardAt is when a control VM first told of a later table; zero while none did.
	heardAt time.Time
	// from is who is asked for one, until fetchUntil.
	from       netip.AddrPort
	fetchUntil time.Time
}

// may reports whether a control VM that has a later table may be asked for it now. The first
// call after the last table begins the time that is left to the own zone.
func (t *tables) may(now time.Time, control netip.AddrPort) bool {
	if t.heardAt.IsZero() {
		t.heardAt = now
	}

	if now.Before(t.fetchUntil) && t.from != control {
		return false
	}

	return t.zones[control] == t.own || !t.hasOwn() || now.Sub(t.heardAt) >= ownZoneFirst
}

func (t *tables) hasOwn() bool {
	for _, zone := range t.zones {
		if zone == t.own {
			return true
		}
	}

	return false
}

// fetch reports whether a control VM that told of a table with that number is to be asked
// for it, and how long it may hold the question.
func (f *Follower) fetch(control netip.AddrPort, number uint64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if number <= f.current.Load().Number {
		return false, f.Settings.MaxPollWait
	}

	now := time.Now()
	if !f.tables.may(now, control) {
		return false, fetchWait
	}

	f.tables.from, f.tables.fetchUntil = control, now.Add(f.Settings.MaxPollWait+f.Settings.AnswerTimeout)

	return true, f.Settings.MaxPollWait
}

// fetched takes in that the answer to a question for a table has come, or failed. After a
// failure any control VM is as good.
func (f *Follower) fetched(control netip.AddrPort, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.tables.from != control {
		return
	}

	f.tables.fetchUntil = time.Time{}

	if err != nil {
		f.tables.heardAt = f.tables.heardAt.Add(-ownZoneFirst)
	}
}
