package view

import (
	"net/netip"
	"time"
)

const (
	// localZoneHeadStart is how long only control VMs in the entry's own zone are
	// asked for a new table.
	localZoneHeadStart = 150 * time.Millisecond
	// deferredPollWait is how long a poll may be held while a new table cannot be
	// requested from this control VM yet.
	deferredPollWait = 100 * time.Millisecond
)

// tableFetch chooses the control VM from which the entry fetches a new route table. If
// every control VM sent a large table to every entry at each change, links would be
// saturated for a second, polls would time out, and the table would be sent again.
// Each entry therefore fetches it from one control VM, in its own zone if possible.
type tableFetch struct {
	localZone string
	zones     map[netip.AddrPort]string
	// announcedAt is when a control VM first announced a newer table; zero means none
	// has.
	announcedAt time.Time
	// source is the control VM that is being asked for the table, until deadline.
	source   netip.AddrPort
	deadline time.Time
}

// mayFetch reports whether a control VM with a newer table may be asked for it now.
// The first call after a table was received starts the head start of the local zone.
func (t *tableFetch) mayFetch(now time.Time, control netip.AddrPort) bool {
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

// startTableFetch reports whether to request the table from a control VM that
// announced this table number, and how long that VM may hold the poll.
func (f *Follower) startTableFetch(control netip.AddrPort, number uint64) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	wait := f.pollWait()
	if number <= f.current.Load().Number {
		return false, wait
	}

	now := time.Now()
	if !f.tableFetch.mayFetch(now, control) {
		return false, deferredPollWait
	}

	f.tableFetch.source, f.tableFetch.deadline = control, now.Add(wait+f.Settings.AnswerTimeout)

	return true, wait
}

// endTableFetch records that a poll that requested the table was answered or failed.
// After a failure, control VMs of all zones may be asked.
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
