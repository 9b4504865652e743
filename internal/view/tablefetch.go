package view

import (
	"net/netip"
	"time"
)

const (
	// localZoneHeadStart is how long a table is left to the control VMs of the entry's own zone.
	localZoneHeadStart = 150 * time.Millisecond
	// deferredPollWait is how long a question is held while a table is to be had.
	deferredPollWait = 100 * time.Millisecond
)

// tableFetch decides from which control VM a table is fetched. A large one, sent by every control
// VM to every entry at each change, filled links for a second, so that questions failed and
// had it sent once more. Each entry fetches it from one of them, in its own zone where it can.
type tableFetch struct {
	localZone string
	zones     map[netip.AddrPort]string
	// announcedAt is when a control VM first told of a later table; zero while none did.
	announcedAt time.Time
	// source is who is asked for one, until fetchUntil.
	source   netip.AddrPort
	deadline time.Time
}

// allowed reports whether a control VM that has a later table may be asked for it now. The first
// call after the last table begins the time that is left to the own zone.
func (t *tableFetch) allowed(now time.Time, control netip.AddrPort) bool {
	if t.announcedAt.IsZero() {
		t.announcedAt = now
	}

	if now.Before(t.deadline) && t.source != control {
		return false
	}

	return t.zones[control] == t.localZone || !t.hasLocalControl() || now.Sub(t.announcedAt) >= localZoneHeadStart
}

func (t *tableFetch) hasLocalControl() bool {
	for _, zone := range t.zones {
		if zone == t.localZone {
			return true
		}
	}

	return false
}

// startTableFetch reports whether a control VM that told of a table with that number is to be asked
// for it, and how long it may hold the question.
func (f *Follower) startTableFetch(control netip.AddrPort, number uint64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if number <= f.current.Load().Number {
		return false, f.Settings.MaxPollWait
	}

	now := time.Now()
	if !f.tableFetch.allowed(now, control) {
		return false, deferredPollWait
	}

	f.tableFetch.source, f.tableFetch.deadline = control, now.Add(f.Settings.MaxPollWait+f.Settings.AnswerTimeout)

	return true, f.Settings.MaxPollWait
}

// endTableFetch takes in that the answer to a question for a table has come, or failed. After a
// failure any control VM is as good.
func (f *Follower) endTableFetch(control netip.AddrPort, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.tableFetch.source != control {
		return
	}

	f.tableFetch.deadline = time.Time{}

	if err != nil {
		f.tableFetch.announcedAt = f.tableFetch.announcedAt.Add(-localZoneHeadStart)
	}
}
