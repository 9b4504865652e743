package relay

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/view"
)

const (
	// replacedTime is how long after a broken answer its target is taken to have ended then, if another
	// incarnation announces itself at its address.
	replacedTime = 10 * time.Second
	// maxUnconfirmed bounds the broken attempts that are remembered for that.
	maxUnconfirmed = 256
)

// unconfirmedEnds holds attempts whose answers broke off although something still accepted connections at the
// address: their targets may have started again at once.
type unconfirmedEnds struct {
	mu       sync.Mutex
	attempts []*brokenAttempt
}

// add remembers an attempt. The oldest one is dropped beyond the bound.
func (u *unconfirmedEnds) add(a *brokenAttempt) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.attempts = append(u.attempts, a)
	u.attempts = u.attempts[max(0, len(u.attempts)-maxUnconfirmed):]
}

// confirm returns the attempts whose targets have been replaced at their addresses, and drops these and
// those that are too old.
func (u *unconfirmedEnds) confirm(now time.Time, targets []directory.Target) []*brokenAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()

	if len(u.attempts) == 0 {
		return nil
	}

	latest := make(map[netip.AddrPort]int64, len(targets))
	for i := range targets {
		t := &targets[i]
		latest[t.Address] = max(latest[t.Address], t.StartTime)
	}

	var confirmed []*brokenAttempt

	u.attempts = slices.DeleteFunc(u.attempts, func(a *brokenAttempt) bool {
		isReplaced := latest[a.placed.Target.Address] > a.placed.Target.StartTime
		if isReplaced {
			confirmed = append(confirmed, a)
		}

		return isReplaced || now.Sub(a.brokenAt) > replacedTime
	})

	return confirmed
}

// rememberBroken remembers an attempt whose target still accepts connections, unless that is leaving: another
// target may then have its address soon.
func (r *Relay) rememberBroken(a *brokenAttempt) {
	f := r.State()

	leaves := slices.ContainsFunc(f.Targets, func(t directory.Target) bool {
		return t.ID == a.placed.Target.ID && t.StartTime == a.placed.Target.StartTime && isDraining(&t, f)
	})
	if leaves {
		return
	}

	r.unconfirmed.add(a)
	r.confirmEnds(f)
}

// confirmEnds records the ends of targets that f shows to have been replaced.
func (r *Relay) confirmEnds(f *view.ClusterState) {
	for _, a := range r.unconfirmed.confirm(r.Now(), f.Targets) {
		r.recordTargetEnd(a)
	}
}
