package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// followerTimeout is how long after its last question an entry counts as one that
// shares the targets. It is longer than a held question and a pause together.
const followerTimeout = 4 * time.Second

// follower is an entry that follows this VM. Only the goroutine that hears uses it.
type follower struct {
	lastRequest time.Time
	leaving     bool
	relay       string
	zone        string
}

// targetTracker is what this VM heard from targets, and who follows it. The
// goroutine that hears owns it.
type targetTracker struct {
	registry  directory.Registry
	followers map[string]follower
	// savedRevision and keptRoster are the revision and the roster's hash that were saved.
	savedRevision   uint64
	savedRosterHash uint64

	roster        roster
	rosterExpires time.Time
}

// maxMissedAnnouncements is how many beats of a target may be missing before it counts as silent.
// A beat may be late by more than one period, and a second node is tried after one.
const maxMissedAnnouncements = 3

func newTargetTracker(interval time.Duration) *targetTracker {
	return &targetTracker{
		registry:  directory.Registry{AnnounceTimeout: maxMissedAnnouncements * interval},
		followers: make(map[string]follower),
	}
}

// recordFollower takes in that a follower asks.
func (t *targetTracker) recordFollower(id string, f follower) {
	if known, ok := t.followers[id]; !ok || known.leaving != f.leaving || known.zone != f.zone {
		t.rosterExpires = time.Time{}
	}

	t.followers[id] = f
}

// rosterTTL is how long a roster stands before silent entries are looked for again.
const rosterTTL = 200 * time.Millisecond

// currentRoster returns the entries that follow and stay, by ID. It is worked out anew where
// that may have changed: every follower of a large deployment asks for it several times a
// second.
func (t *targetTracker) currentRoster(now time.Time) *roster {
	if now.Before(t.rosterExpires) {
		return &t.roster
	}

	t.roster = roster{}
	t.rosterExpires = now.Add(rosterTTL)
	hash := xxhash.New()

	for _, id := range slices.Sorted(maps.Keys(t.followers)) {
		f := t.followers[id]

		switch {
		case now.Sub(f.lastRequest) > followerTimeout:
			delete(t.followers, id)
		case !f.leaving:
			t.roster.entries = append(t.roster.entries, &wire.RosterEntry{ID: id, Zone: f.zone})
			_, _ = hash.WriteString(id + "\x00" + f.zone + "\x00")
		}
	}

	t.roster.hash = hash.Sum64()

	return &t.roster
}

// roster is the entries that share the targets, and a hash of them.
type roster struct {
	entries []*wire.RosterEntry
	hash    uint64
}

// addTo adds the roster to an answer for who has the one with that hash.
func (r *roster) addTo(out *wire.FollowResponse, knownHash uint64) {
	out.Entries = uint32(len(r.entries))
	out.RosterHash = r.hash

	if r.hash != knownHash {
		out.Roster = r.entries
	}
}

// maxRelays bounds the relays that are told: a director needs one or two.
const maxRelays = 8

// relayAddresses returns where some of the followers that stay relay orders to engines.
func (t *targetTracker) relayAddresses() []string {
	var out []string

	for _, f := range t.followers {
		if f.relay != "" && !f.leaving {
			out = append(out, f.relay)
		}
	}

	slices.Sort(out)

	return out[:min(len(out), maxRelays)]
}

// Announce takes in a target's word. One of a zone or service that nobody declared
// was named by another writer, and gets an *UndeclaredError: were it kept, it could
// take the address of a target that is there.
func (s *Server) Announce(ctx context.Context, t directory.Target) error {
	if _, ok := s.Zones[t.Zone]; !ok {
		return &UndeclaredError{Kind: "zone", Name: t.Zone}
	}

	if !s.hasService(t.Service) {
		return &UndeclaredError{Kind: "service", Name: t.Service}
	}

	return s.updateTargets(ctx, func(targets *targetTracker) bool { return targets.registry.Announce(time.Now(), t) })
}

// Leave takes in that a target ends.
func (s *Server) Leave(ctx context.Context, id string) error {
	return s.updateTargets(ctx, func(targets *targetTracker) bool {
		targets.registry.Leave(time.Now(), id)

		return true
	})
}

// updateTargets lets the goroutine that hears change what was announced, and wakes the
// entries that wait for it.
func (s *Server) updateTargets(ctx context.Context, change func(*targetTracker) bool) error {
	return s.withTargets(ctx, func(targets *targetTracker) {
		if change(targets) {
			s.targetsChanged.notify()
		}
	})
}

func (s *Server) withTargets(ctx context.Context, do func(*targetTracker)) error {
	done := make(chan struct{})

	s.post(ctx, event{targetQuery: func(targets *targetTracker) {
		do(targets)
		close(done)
	}})

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return newRPCError(twirp.Unavailable, "this control VM is busy")
	}
}

// Follow answers an entry that is the door of its targets: at once where it lacks
// something, else when something changes or the wait ends.
func (s *Server) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	timer := time.NewTimer(min(time.Duration(r.GetWaitMillis())*time.Millisecond, s.Settings.MaxPollWait))
	defer timer.Stop()

	for {
		// The channels are taken first: what changes after the answer is made wakes this.
		p, targetsChanged := s.published.Load(), s.targetsChanged.changed()

		out, changed, err := s.answerFollower(ctx, p, r)
		if err != nil || changed {
			return out, err
		}

		select {
		case <-p.superseded:
		case <-targetsChanged:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return nil, newRPCError(twirp.Canceled, "the question ended early")
		}
	}
}

// answerFollower returns what the entry lacks, and whether that is anything.
func (s *Server) answerFollower(ctx context.Context, p *publishedState, r *wire.FollowRequest) (*wire.FollowResponse, bool, error) {
	out := &wire.FollowResponse{Index: p.stateIndex, DirectoryBoot: s.directoryBoot, Controls: s.controlAddresses(), Zone: s.Zone}
	changed := p.stateIndex > r.GetKnownIndex() || r.GetWaitMillis() == 0

	if p.stateIndex >= r.GetKnownIndex() {
		out.ZonesOut = zonesOut(p)

		if err := s.addTable(p, r, out); err != nil {
			return nil, false, err
		}

		changed = changed || out.GetTable() != nil
	}

	err := s.withTargets(ctx, func(targets *targetTracker) {
		now := time.Now()
		targets.recordFollower(r.GetID(), follower{lastRequest: now, leaving: r.GetLeaving(), relay: r.GetRelay(), zone: r.GetZone()})

		knownRevision := r.GetDirectoryRevision()
		if r.GetDirectoryBoot() != s.directoryBoot {
			knownRevision = 0
			out.Full = true
		}

		for _, t := range targets.registry.ChangedSince(knownRevision) {
			out.Targets = append(out.Targets, t.ToWire(now))
		}

		out.DirectoryRevision = targets.registry.Revision()
		targets.currentRoster(now).addTo(out, r.GetRosterHash())
		out.Relays = targets.relayAddresses()
		changed = changed || out.Full || out.DirectoryRevision > knownRevision
	})
	if err != nil {
		// The goroutine that hears may still be writing the answer that nobody waits for.
		return nil, false, err
	}

	return out, changed, nil
}

func (s *Server) addTable(p *publishedState, r *wire.FollowRequest, out *wire.FollowResponse) error {
	if p.document == nil {
		return nil
	}

	out.Number = p.document.number

	if p.document.number <= r.GetKnownNumber() || r.GetWithoutTable() {
		return nil
	}

	table, err := p.document.routeTable(s.ReadDocument)
	if err != nil {
		s.Logger.Error("The document in force cannot be read.", "number", p.document.number, "error", err)

		return newRPCError(twirp.Internal, "the document in force cannot be read")
	}

	if r.GetServicesOnly() {
		table = &wire.RouteTable{Number: table.GetNumber(), Services: table.GetServices()}
	}

	out.Table = table

	return nil
}

// hasService reports whether the document in force has a service, and true where
// none is in force yet.
func (s *Server) hasService(service string) bool {
	d := s.published.Load().document
	if d == nil {
		return true
	}

	table, err := d.routeTable(s.ReadDocument)
	if err != nil {
		return false
	}

	return slices.ContainsFunc(table.GetServices(), func(r *wire.RoutedService) bool { return r.GetName() == service })
}

func (s *Server) controlAddresses() []string {
	if s.ControlAddresses == nil {
		return nil
	}

	return s.ControlAddresses()
}

func zonesOut(p *publishedState) []string {
	var out []string

	for _, r := range p.records.All() {
		if z := r.GetZone(); z.GetOut() {
			out = append(out, z.GetName())
		}
	}

	return out
}
