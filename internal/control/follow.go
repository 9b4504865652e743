package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// followerTimeout is the time since an entry's last request after which the entry no longer
// counts as one that shares the targets. It exceeds the longest held request plus the pause
// before the next one.
const followerTimeout = 4 * time.Second

// absentRetention is how long an entry that is not heard of anymore is taken to run: it may be cut
// off from this VM. It exceeds the time for which regions lose each other.
const absentRetention = 2 * time.Hour

// maxRetryWindow bounds how long the report of an entry counts.
const maxRetryWindow = 10 * time.Minute

// maxAbsent bounds the entries that are not heard of anymore.
const maxAbsent = 1024

// follower is an entry that follows this VM, or an agent. Only the goroutine of runTrackers uses it.
type follower struct {
	lastRequest time.Time
	leaving     bool
	isAgent     bool
	// isRecorded is set if what an entry has spent of its retry budgets is known, also before it
	// started.
	isRecorded bool
	relay      string
	zone       string
	demand     *float64
	// refused is the number of a configuration that it can't apply, zero if there is none.
	refused uint64
}

// targetTracker holds the targets that announced themselves to this VM, and the entries
// that follow it. Only the goroutine of runTrackers uses it.
type targetTracker struct {
	registry  directory.Registry
	followers map[string]follower
	// absent holds the entries that are not heard of anymore and have not left.
	absent map[string]absentEntry
	// retryUsage sums what entries have counted for their retry budgets.
	retryUsage retries.UsageTable
	// retryRecordedSince is since when all of it is known.
	retryRecordedSince time.Time
	// hasRestoredRoster is set if this VM has started with its saved roster.
	hasRestoredRoster bool
	// rosterCompleteAt is when every entry that runs and can reach this VM has polled it.
	rosterCompleteAt time.Time
	// evidence holds the ends of targets that entries have reported.
	evidence quarantine.Evidence
	// savedRevision, savedRosterHash and savedEvidence identify the directory, the roster and
	// the evidence that were saved last.
	savedRevision   uint64
	savedRosterHash uint64
	savedEvidence   uint64
	// savedIncarnations and notifiedIncarnations are the revisions of the incarnations that were saved last, and of
	// those of which other control VMs were told.
	savedIncarnations, notifiedIncarnations uint64
	// unsaved are told when the directory has been saved next.
	unsaved []chan<- error
	// notified and notifiedEvidence are the revisions of the last changes of the directory and
	// of the evidence of which waiting followers were notified, at notifiedAt.
	notified, notifiedEvidence uint64
	notifiedAt                 time.Time
	// controls are the addresses of the control VMs of which followers were told last.
	controls []string

	roster        roster
	demands       demands
	rosterExpires time.Time
}

// maxMissedAnnouncements is the number of announcement intervals after which a target
// counts as unresponsive. An announcement may be more than one interval late, and after one
// interval the target tries a second control VM.
const maxMissedAnnouncements = 3

func newTargetTracker(interval time.Duration) *targetTracker {
	return &targetTracker{
		registry:  directory.Registry{AnnounceTimeout: maxMissedAnnouncements * interval},
		followers: make(map[string]follower),
		absent:    make(map[string]absentEntry),
	}
}

// recordFollower records a request of a follower.
func (t *targetTracker) recordFollower(id string, f follower) {
	if _, ok := t.absent[id]; ok {
		delete(t.absent, id)

		t.rosterExpires = time.Time{}
	}

	if known, ok := t.followers[id]; !ok || known.leaving != f.leaving || known.zone != f.zone || known.relay != f.relay {
		t.rosterExpires = time.Time{}
	}

	t.followers[id] = f
}

// maxClockAhead bounds how far the clock of a target is ahead of that of this VM.
const maxClockAhead = 24 * time.Hour

// clockSetAfter is a time of day before which the clock of a VM has not been set.
var clockSetAfter = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // constant

// checkTarget returns a *directory.InvalidTargetError if an announcement that arrives at now is invalid. A start time in the
// future would hold back the announcements of the ID's owner.
func checkTarget(now time.Time, t *directory.Target) error {
	if now.After(clockSetAfter) && time.UnixMilli(t.StartTime).Sub(now) > maxClockAhead {
		return &directory.InvalidTargetError{ID: t.ID, Field: "StartTime", Value: t.StartTime}
	}

	return t.Check(now) //nolint:wrapcheck // names the target itself
}

// Announce records a target's announcement. If its ID is invalid, it returns an *InvalidIDError, if another field is, a
// *directory.InvalidTargetError. If its zone
// or service is not declared, it returns an *UndeclaredError: the announcement comes from a foreign sender, and if it were
// recorded it could take over the address of an existing target. If too many targets are known, it returns a
// *TooManyTargetsError. The first announcement of a draining target that reaches this VM returns once the voters know of
// it too, or with an error, after which the followers of this VM hear of it all the same.
func (s *Server) Announce(ctx context.Context, t directory.Target) error {
	if err := checkTargetID(t.ID); err != nil {
		return err
	}

	if err := checkTarget(time.Now(), &t); err != nil {
		return err
	}

	if _, ok := s.Zones[t.Zone]; !ok {
		return &UndeclaredError{Kind: "zone", Name: t.Zone}
	}

	if !s.hasService(t.Service) {
		return &UndeclaredError{Kind: "service", Name: t.Service}
	}

	var draining *directory.Target

	err := s.tryWithTargets(ctx, func(targets *targetTracker) error {
		if err := s.checkRoom(&targets.registry, t.ID); err != nil {
			return err
		}

		s.logAnnouncement(&targets.registry, &t)
		targets.registry.Announce(time.Now(), t)
		draining = targets.registry.UnsharedDraining(t.ID)

		return nil
	})
	if err != nil || draining == nil || t.State != directory.Draining {
		return err
	}

	return s.shareDraining(ctx, draining)
}

// TooManyTargetsError reports that there is no room for another target.
type TooManyTargetsError struct{ Limit int }

func (e *TooManyTargetsError) Error() string {
	return fmt.Sprintf("%d targets are known already, the limit of this control VM", e.Limit)
}

// checkRoom returns a *TooManyTargetsError if a target is unknown and there is no room for it. The goroutine of the
// registry calls it.
func (s *Server) checkRoom(r *directory.Registry, id string) error {
	if r.HasRoom(id) {
		return nil
	}

	s.targetsRefused.Add(1)
	s.refusedLines.PerSecond = 1

	if s.refusedLines.Allow(time.Now()) {
		s.Logger.Warn("Announcement or removal of a target refused: too many targets are known.", "target", id, "limit", r.MaxTargets, "refused", s.targetsRefused.Load())
	}

	return &TooManyTargetsError{Limit: r.MaxTargets}
}

// TargetsRefused returns the number of announcements and removals that were refused because too many targets are known.
func (s *Server) TargetsRefused() int64 { return s.targetsRefused.Load() }

// logAnnouncement logs the first announcement of an incarnation, and those that are ignored as it has ended.
func (s *Server) logAnnouncement(r *directory.Registry, t *directory.Target) {
	switch {
	case r.HasEnded(t):
		s.Logger.Info("Announcement of a target that has ended; ignoring it.", "target", t.ID, "startTime", t.StartTime, "sequence", t.Sequence)
	case !r.HasRegistered(t):
		s.Logger.Info("Target registered.", "target", t.ID, "startTime", t.StartTime, "sequence", t.Sequence, "service", t.Service, "address", t.Address)
	}
}

// notifySpacing is the time per follower between two notifications about targets or their ends. All
// followers poll again after each one, so it bounds the answers per second of this VM.
const notifySpacing = time.Millisecond

// notifyDue reports whether followers must be notified of changed targets or of ends of targets,
// and how long that has to wait.
func (t *targetTracker) notifyDue(now time.Time) (wait time.Duration, due bool) {
	if t.registry.Changed() <= t.notified && t.evidence.UrgentRevision() <= t.notifiedEvidence {
		return 0, false
	}

	next := t.notifiedAt.Add(time.Duration(len(t.followers)) * notifySpacing)

	return next.Sub(now), true
}

// notifyFollowers notifies the followers of changed targets or of ends of targets, or resets
// retry to when it must be called again.
func (s *Server) notifyFollowers(now time.Time, targets *targetTracker, retry *time.Timer) {
	wait, due := targets.notifyDue(now)

	switch {
	case !due:
	case wait > 0:
		retry.Reset(wait)
	default:
		targets.notified, targets.notifiedEvidence, targets.notifiedAt = targets.registry.Changed(), targets.evidence.UrgentRevision(), now
		s.targetsChanged.notify()
	}
}

// updateControls records the addresses of the control VMs, and notifies the followers if they
// have changed.
func (s *Server) updateControls(targets *targetTracker) {
	controls := s.controlAddresses()
	if slices.Equal(controls, targets.controls) {
		return
	}

	targets.controls = controls
	targets.registry.Registries = len(controls)
	s.controlsChanged.notify()
}

// withTargets runs do on the goroutine of runTrackers.
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

// tryWithTargets is withTargets for functions that may fail.
func (s *Server) tryWithTargets(ctx context.Context, do func(*targetTracker) error) error {
	var failed error

	if err := s.withTargets(ctx, func(targets *targetTracker) { failed = do(targets) }); err != nil {
		return err
	}

	return failed
}

// Follow answers an entry that proxies directly to its targets. It answers immediately if the
// entry lacks a change, otherwise at the next change or at the end of the requested wait.
func (s *Server) Follow(ctx context.Context, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	if err := s.mergeEvidence(ctx, r); err != nil {
		return nil, err
	}

	timer := time.NewTimer(min(time.Duration(r.GetWaitMillis())*time.Millisecond, s.Settings.MaxPollWait))
	defer timer.Stop()

	for ended := false; ; {
		// The channels are read before the answer is built, so a change during or after
		// that ends the wait.
		p, targetsChanged, controlsChanged := s.published.Load(), s.targetsChanged.changed(), s.controlsChanged.changed()

		out, changed, err := s.answerFollower(ctx, p, r)
		if err != nil || changed || ended {
			return out, err
		}

		select {
		case <-p.superseded:
		case <-targetsChanged:
		case <-controlsChanged:
			ended = true // A follower may know no other control VM.
		case <-timer.C:
			ended = true // Answer with the targets that were published meanwhile.
		case <-ctx.Done():
			return nil, newRPCError(twirp.Canceled, "the question ended early")
		}
	}
}

// addRetryUsage records what an entry has counted for its retry budgets, and adds what the others have.
func (t *targetTracker) addRetryUsage(now time.Time, out *wire.FollowResponse, r *wire.FollowRequest) {
	if r.GetServicesOnly() {
		return
	}

	source := retries.Source{ID: r.GetID(), Incarnation: r.GetIncarnation()}
	window := min(time.Duration(r.GetRetryWindowMillis())*time.Millisecond, maxRetryWindow)

	t.retryUsage.Record(now, source, window, retries.UsageFromWire(r.GetRetryUsage()))
	out.RetryUsage = retries.UsageToWire(t.retryUsage.Others(now, source))
	out.RetryUsageMillis = uint64(now.Sub(t.retryRecordedSince).Milliseconds())
}

// isRecorded reports whether a poll tells what the sender has spent of its retry budgets in the last
// window, or an earlier one has.
func (t *targetTracker) isRecorded(r *wire.FollowRequest) bool {
	if r.GetRunningMillis() >= r.GetRetryWindowMillis() {
		return true
	}

	// An earlier incarnation may have retried too. There was none if the saved roster lacks the entry.
	if known, ok := t.followers[r.GetID()]; ok {
		return known.isRecorded
	}

	if known, ok := t.absent[r.GetID()]; ok {
		return known.isRecorded
	}

	return t.hasRestoredRoster
}

// exchangesEvidence reports whether the sender exchanges ends of targets. Agents do not.
func exchangesEvidence(r *wire.FollowRequest) bool {
	return r.GetWithEvidence() && !r.GetServicesOnly()
}

// mergeEvidence merges the ends of targets that an entry reports. It is called once for each
// request, since their ages count from its arrival.
func (s *Server) mergeEvidence(ctx context.Context, r *wire.FollowRequest) error {
	if len(r.GetEnds()) == 0 || !exchangesEvidence(r) {
		return nil
	}

	return s.withTargets(ctx, func(targets *targetTracker) {
		now := time.Now()
		targets.evidence.Merge(now, quarantine.EndsFromWire(r.GetEnds(), now))
	})
}

// addEvidence adds the ends of targets that the sender of r lacks, and reports whether it needs
// them now.
func (t *targetTracker) addEvidence(now time.Time, out *wire.FollowResponse, r *wire.FollowRequest) bool {
	if !exchangesEvidence(r) {
		return false
	}

	known := r.GetEvidenceRevision()
	if r.GetDirectoryBoot() != out.GetDirectoryBoot() {
		known = 0
	}

	ends, revision := t.evidence.ChangedSince(known)
	out.Ends, out.EvidenceRevision = quarantine.EndsToWire(ends, now), revision

	return t.notifiedEvidence > known
}

// answerFollower returns what the entry lacks, and whether it needs that now.
func (s *Server) answerFollower(ctx context.Context, p *publishedState, r *wire.FollowRequest) (*wire.FollowResponse, bool, error) {
	out := &wire.FollowResponse{Index: p.stateIndex, DirectoryBoot: s.directoryBoot, Zone: s.Zone}
	changed := p.stateIndex > r.GetKnownIndex() || r.GetWaitMillis() == 0

	if p.stateIndex >= r.GetKnownIndex() {
		out.ZonesOut = zonesOut(p)

		s.addTable(p, r, out)

		changed = changed || out.GetTable() != nil
	}

	err := s.withTargets(ctx, func(targets *targetTracker) {
		// Addresses that an answer holds must not end the follower's next request as a change.
		s.updateControls(targets)
		out.Controls = targets.controls

		now := time.Now()
		s.logRefusal(targets, r)
		targets.recordFollower(r.GetID(), follower{lastRequest: now, leaving: r.GetLeaving(), isAgent: r.GetServicesOnly(), relay: r.GetRelay(), zone: r.GetZone(), demand: r.Demand, isRecorded: targets.isRecorded(r), refused: r.GetRefusedNumber()})

		knownRevision := r.GetDirectoryRevision()
		if r.GetDirectoryBoot() != s.directoryBoot {
			knownRevision = 0
			out.Full = true
		}

		for _, t := range targets.registry.ChangedSince(knownRevision) {
			out.Targets = append(out.Targets, t.ToWire(now))
		}

		out.DirectoryRevision = targets.registry.Revision()
		targets.currentRoster(now).addTo(out, r)
		out.RosterIncomplete = now.Before(targets.rosterCompleteAt)
		targets.addRetryUsage(now, out, r)
		out.MeanDemand = targets.demands.mean(r.GetZone())
		urgent := targets.addEvidence(now, out, r)
		changed = changed || urgent || out.Full || targets.notified > knownRevision
	})
	if err != nil {
		// The goroutine of runTrackers may still write to out, so out must not be returned.
		return nil, false, err
	}

	return out, changed, nil
}

// addTable adds the route table that the sender of r lacks: that of the document in force, or of the one before if the
// sender can't apply that, or this VM can't read it.
func (s *Server) addTable(p *publishedState, r *wire.FollowRequest, out *wire.FollowResponse) {
	if p.document == nil {
		return
	}

	out.Number = p.document.number

	if p.document.number <= r.GetKnownNumber() || r.GetWithoutTable() {
		return
	}

	for _, d := range []*document{p.document, p.previousDocument} {
		if d == nil || d.number <= r.GetKnownNumber() || d.number <= r.GetRefusedNumber() && d == p.document {
			continue
		}

		table, err := d.routeTable(s.ReadDocument)
		if err != nil {
			s.Logger.Error("Reading a document failed; the follower does not get it.", "number", d.number, "error", err)

			continue
		}

		if r.GetServicesOnly() {
			table = &wire.RouteTable{Number: table.GetNumber(), Services: table.GetServices()}
		}

		out.Number, out.Table = d.number, table

		return
	}
}

// logRefusal logs once that a follower can't apply a configuration.
func (s *Server) logRefusal(targets *targetTracker, r *wire.FollowRequest) {
	if n := r.GetRefusedNumber(); n > 0 && targets.followers[r.GetID()].refused != n {
		s.Logger.Error("An entry can't apply a configuration; it keeps an earlier one.", "entry", r.GetID(), "number", n, "inForceThere", r.GetKnownNumber())
	}
}

// hasService reports whether the document in force declares the service. Without a document
// it returns true.
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
