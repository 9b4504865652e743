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

// followerSilence is how long after its last question an entry counts as one that
// shares the targets. It is longer than a held question and a pause together.
const followerSilence = 4 * time.Second

// follower is an entry that follows this VM. Only the goroutine that hears uses it.
type follower struct {
	asked   time.Time
	leaving bool
	relay   string
	zone    string
}

// announcements is what this VM heard from targets, and who follows it. The
// goroutine that hears owns it.
type announcements struct {
	heard     directory.Registry
	followers map[string]follower
	// kept and keptRoster are the revision and the roster's hash that were saved.
	kept       uint64
	keptRoster uint64

	roster      roster
	rosterUntil time.Time
}

// beats is how many beats of a target may be missing before it counts as silent.
// A beat may be late by more than one period, and a second node is tried after one.
const beats = 3

func newAnnouncements(every time.Duration) *announcements {
	return &announcements{
		heard:     directory.Registry{AnnounceTimeout: beats * every},
		followers: make(map[string]follower),
	}
}

// follow takes in that a follower asks.
func (a *announcements) follow(id string, f follower) {
	if known, ok := a.followers[id]; !ok || known.leaving != f.leaving || known.zone != f.zone {
		a.rosterUntil = time.Time{}
	}

	a.followers[id] = f
}

// rosterLife is how long a roster stands before silent entries are looked for again.
const rosterLife = 200 * time.Millisecond

// following returns the entries that follow and stay, by ID. It is worked out anew where
// that may have changed: every follower of a large deployment asks for it several times a
// second.
func (a *announcements) following(now time.Time) *roster {
	if now.Before(a.rosterUntil) {
		return &a.roster
	}

	a.roster = roster{}
	a.rosterUntil = now.Add(rosterLife)
	hash := xxhash.New()

	for _, id := range slices.Sorted(maps.Keys(a.followers)) {
		f := a.followers[id]

		switch {
		case now.Sub(f.asked) > followerSilence:
			delete(a.followers, id)
		case !f.leaving:
			a.roster.entries = append(a.roster.entries, &wire.RosterEntry{ID: id, Zone: f.zone})
			_, _ = hash.WriteString(id + "\x00" + f.zone + "\x00")
		}
	}

	a.roster.hash = hash.Sum64()

	return &a.roster
}

// roster is the entries that share the targets, and a hash of them.
type roster struct {
	entries []*wire.RosterEntry
	hash    uint64
}

// put adds the roster to an answer for who has the one with that hash.
func (r *roster) put(out *wire.FollowResponse, known uint64) {
	out.Entries = uint32(len(r.entries))
	out.RosterHash = r.hash

	if r.hash != known {
		out.Roster = r.entries
	}
}

// mostRelays bounds the relays that are told: a director needs one or two.
const mostRelays = 8

// relays returns where some of the followers that stay relay orders to engines.
func (a *announcements) relays() []string {
	var out []string

	for _, f := range a.followers {
		if f.relay != "" && !f.leaving {
			out = append(out, f.relay)
		}
	}

	slices.Sort(out)

	return out[:min(len(out), mostRelays)]
}

// Announce takes in a target's word. One of a zone or service that nobody declared
// was named by another writer, and gets an *UndeclaredError: were it kept, it could
// take the address of a target that is there.
func (s *Server) Announce(ctx context.Context, t directory.Target) error {
	if _, ok := s.Zones[t.Zone]; !ok {
		return &UndeclaredError{Kind: "zone", Name: t.Zone}
	}

	if !s.declares(t.Service) {
		return &UndeclaredError{Kind: "service", Name: t.Service}
	}

	return s.tell(ctx, func(a *announcements) bool { return a.heard.Announce(time.Now(), t) })
}

// Leave takes in that a target ends.
func (s *Server) Leave(ctx context.Context, id string) error {
	return s.tell(ctx, func(a *announcements) bool {
		a.heard.Leave(time.Now(), id)

		return true
	})
}

// tell lets the goroutine that hears change what was announced, and wakes the
// entries that wait for it.
func (s *Server) tell(ctx context.Context, change func(*announcements) bool) error {
	return s.askHeard(ctx, func(a *announcements) {
		if change(a) {
			s.announced.wake()
		}
	})
}

func (s *Server) askHeard(ctx context.Context, ask func(*announcements)) error {
	done := make(chan struct{})

	s.post(ctx, event{announced: func(a *announcements) {
		ask(a)
		close(done)
	}})

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return newFault(twirp.Unavailable, "this control VM is busy")
	}
}

// Follow answers an entry that is the door of its targets: at once where it lacks
// something, else when something changes or the wait ends.
func (s *Server) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newFault(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	timer := time.NewTimer(min(time.Duration(r.GetWaitMillis())*time.Millisecond, s.Settings.MaxPollWait))
	defer timer.Stop()

	for {
		// The channels are taken first: what changes after the answer is made wakes this.
		p, woken := s.published.Load(), s.announced.waiting()

		out, news, err := s.answerFollower(ctx, p, r)
		if err != nil || news {
			return out, err
		}

		select {
		case <-p.replaced:
		case <-woken:
		case <-timer.C:
			return out, nil
		case <-ctx.Done():
			return nil, newFault(twirp.Canceled, "the question ended early")
		}
	}
}

// answerFollower returns what the entry lacks, and whether that is anything.
func (s *Server) answerFollower(ctx context.Context, p *published, r *wire.FollowRequest) (*wire.FollowResponse, bool, error) {
	out := &wire.FollowResponse{Index: p.stateIndex, DirectoryBoot: s.boot, Controls: s.controls(), Zone: s.Zone}
	news := p.stateIndex > r.GetKnownIndex() || r.GetWaitMillis() == 0

	if p.stateIndex >= r.GetKnownIndex() {
		out.ZonesOut = zonesOut(p)

		if err := s.addTable(p, r, out); err != nil {
			return nil, false, err
		}

		news = news || out.GetTable() != nil
	}

	err := s.askHeard(ctx, func(a *announcements) {
		now := time.Now()
		a.follow(r.GetID(), follower{asked: now, leaving: r.GetLeaving(), relay: r.GetRelay(), zone: r.GetZone()})

		known := r.GetDirectoryRevision()
		if r.GetDirectoryBoot() != s.boot {
			known = 0
			out.Full = true
		}

		for _, t := range a.heard.ChangedSince(known) {
			out.Targets = append(out.Targets, t.ToWire(now))
		}

		out.DirectoryRevision = a.heard.Revision()
		a.following(now).put(out, r.GetRosterHash())
		out.Relays = a.relays()
		news = news || out.Full || out.DirectoryRevision > known
	})
	if err != nil {
		// The goroutine that hears may still be writing the answer that nobody waits for.
		return nil, false, err
	}

	return out, news, nil
}

func (s *Server) addTable(p *published, r *wire.FollowRequest, out *wire.FollowResponse) error {
	if p.document == nil {
		return nil
	}

	out.Number = p.document.number

	if p.document.number <= r.GetKnownNumber() || r.GetWithoutTable() {
		return nil
	}

	table, err := p.document.read(s.ReadDocument)
	if err != nil {
		s.Logger.Error("The document in force cannot be read.", "number", p.document.number, "error", err)

		return newFault(twirp.Internal, "the document in force cannot be read")
	}

	if r.GetServicesOnly() {
		table = &wire.RouteTable{Number: table.GetNumber(), Services: table.GetServices()}
	}

	out.Table = table

	return nil
}

// declares reports whether the document in force has a service, and true where
// none is in force yet.
func (s *Server) declares(service string) bool {
	d := s.published.Load().document
	if d == nil {
		return true
	}

	table, err := d.read(s.ReadDocument)
	if err != nil {
		return false
	}

	return slices.ContainsFunc(table.GetServices(), func(r *wire.RoutedService) bool { return r.GetName() == service })
}

func (s *Server) controls() []string {
	if s.ControlAddresses == nil {
		return nil
	}

	return s.ControlAddresses()
}

func zonesOut(p *published) []string {
	var out []string

	for _, r := range p.records.All() {
		if z := r.GetZone(); z.GetOut() {
			out = append(out, z.GetName())
		}
	}

	return out
}
