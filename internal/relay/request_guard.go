package relay

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// requestGuard refuses requests that end targets, and those with parts of prompts that do. It holds what
// all entries have seen of them.
type requestGuard struct {
	logger *slog.Logger
	// shareOf returns this entry's share in the trials of a part. onUrgent, if set, is called when other
	// entries need a change at once.
	shareOf  func(quarantine.Part) shares.Share
	onUrgent func()
	// now is called with mu held, so that no call sees an earlier time than the one before.
	now func() time.Time

	mu         sync.Mutex
	quarantine quarantine.Quarantine
	// waiting holds the requests that wait for a target.
	waiting map[*proxiedRequest]context.CancelCauseFunc
	// ids names the parts of prompts in ends that this entry has seen itself; reported are the held parts
	// of which the log tells.
	ids      map[quarantine.Part]string
	reported map[quarantine.Part]bool
	refused  int64
	trials   int64
}

// maxPartIDs bounds the names of parts that are kept for logs and dumps.
const maxPartIDs = 1024

// HeldError means that targets have ended under a request, or under requests with a part of its prompt.
type HeldError struct {
	Kind HeldKind
	ID   string
}

func (e *HeldError) Error() string {
	switch e.Kind {
	case HeldContent:
		return fmt.Sprintf("targets ended while they answered this request, with content %s", e.ID)
	case HeldOwnPart:
		return fmt.Sprintf("targets ended while they answered requests whose prompt ends with %q", e.ID)
	default:
		return fmt.Sprintf("targets ended while they began to answer requests with part %q of a prompt", e.ID)
	}
}

// HeldKind says which requests are held back.
type HeldKind string

const (
	// HeldPart means those with a part of a prompt that requests share.
	HeldPart HeldKind = "Part"
	// HeldOwnPart means those of one request or session, whose prompts end with the same part.
	HeldOwnPart HeldKind = "OwnPart"
	// HeldContent means one request, whatever its ID.
	HeldContent HeldKind = "Content"
)

func heldKind(depth int) HeldKind {
	switch depth {
	case quarantine.ContentDepth:
		return HeldContent
	case quarantine.OwnPartDepth:
		return HeldOwnPart
	default:
		return HeldPart
	}
}

// requestParts are the parts by which a request is known when targets end under it.
type requestParts struct {
	all []quarantine.Part
	// ids names them; it is empty for the content.
	ids    []string
	depths []int
	// shared is how many of them, at the front, other requests have too.
	shared int
}

// add appends a part. Its ID is empty if callers do not name it.
func (r *requestParts) add(part quarantine.Part, id string, depth int) {
	r.all, r.ids, r.depths = append(r.all, part), append(r.ids, id), append(r.depths, depth)
}

// content returns the content of the request.
func (r *requestParts) content() quarantine.Part { return r.all[len(r.all)-1] }

// check returns an error if a request must be refused because of its parts.
func (g *requestGuard) check(p *proxiedRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.errorOf(p, g.quarantine.Check(g.now(), p.parts.all, g.shareOf))
}

// errorOf returns the error of a refused request. The caller holds mu.
func (g *requestGuard) errorOf(p *proxiedRequest, d quarantine.Decision) error {
	if !d.Held {
		return nil
	}

	g.refused++

	i := slices.Index(p.parts.all, d.Part)

	return &verdict.Error{
		Verdict: verdict.NotRun, Cause: verdict.CauseQuarantined, RetryAt: d.RetryAt,
		Err: &HeldError{Kind: heldKind(p.parts.depths[i]), ID: cmp.Or(p.parts.ids[i], hashOf(d.Part))},
	}
}

// await returns a context that ends when a part of a request that waits for a target becomes held. The
// returned function ends the wait.
func (g *requestGuard) await(ctx context.Context, p *proxiedRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)

	g.mu.Lock()
	defer g.mu.Unlock()

	if g.waiting == nil {
		g.waiting = make(map[*proxiedRequest]context.CancelCauseFunc)
	}

	g.waiting[p] = cancel

	return ctx, func() {
		g.mu.Lock()
		delete(g.waiting, p)
		g.mu.Unlock()
		cancel(nil)
	}
}

// begin decides about a request just before it is sent. If it is sent as a trial, end must be called.
func (g *requestGuard) begin(p *proxiedRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()

	now := g.now()

	d := g.quarantine.Check(now, p.parts.all, g.shareOf)
	if d.Trial {
		g.trials++
		p.trial = g.quarantine.BeginTrial(now, p.parts.all)
		g.logger.Info("Request is sent to try what was held back.", "part", g.idOf(d.Part), "request", p.caller.ID)
	}

	return g.errorOf(p, d)
}

// end ends the trial of a request, if it is one.
func (g *requestGuard) end(p *proxiedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.quarantine.EndTrial(p.trial)
	p.trial = quarantine.Trial{}
}

// markSound records that parts which requests share are sound, since an answer began properly.
func (g *requestGuard) markSound(parts []quarantine.Part) {
	if len(parts) > 0 {
		g.mark(func(q *quarantine.Quarantine) bool { return q.MarkSound(parts...) })
	}
}

// markAnswered records that the parts of one request are sound, since its answer was whole.
func (g *requestGuard) markAnswered(parts []quarantine.Part) {
	g.mark(func(q *quarantine.Quarantine) bool { return q.MarkAnswered(parts...) })
}

func (g *requestGuard) mark(f func(q *quarantine.Quarantine) (urgent bool)) {
	g.mu.Lock()
	urgent := f(&g.quarantine)
	g.changed(g.now())
	g.mu.Unlock()

	g.notify(urgent)
}

// record records the end of a target. ids names the parts among its candidates.
func (g *requestGuard) record(end quarantine.End, ids []string) {
	g.mu.Lock()

	now := g.now()

	if g.ids == nil || len(g.ids) > maxPartIDs {
		g.ids = make(map[quarantine.Part]string)
	}

	for i := range end.Candidates {
		if ids[i] != "" {
			g.ids[end.Candidates[i].Part] = ids[i]
		}
	}

	urgent := g.quarantine.Record(now, end)
	g.changed(now)
	g.mu.Unlock()

	g.notify(urgent)
}

// merge adds what other entries have seen.
func (g *requestGuard) merge(ends []quarantine.End) {
	g.mu.Lock()
	defer g.mu.Unlock()

	now := g.now()

	if g.quarantine.Merge(now, ends) {
		g.changed(now)
	}
}

func (g *requestGuard) notify(urgent bool) {
	if urgent && g.onUrgent != nil {
		g.onUrgent()
	}
}

// changed logs which parts are held now, and refuses the waiting requests with them. The caller holds
// mu.
func (g *requestGuard) changed(now time.Time) {
	held := g.quarantine.Held(now)

	for part := range g.reported {
		if _, ok := held[part]; !ok {
			delete(g.reported, part)
			g.logger.Info("Requests are no longer held back.", "part", g.idOf(part))
		}
	}

	isNew := false

	for part, h := range held {
		if g.reported[part] {
			continue
		}

		if g.reported == nil {
			g.reported = make(map[quarantine.Part]bool)
		}

		g.reported[part], isNew = true, true
		g.logger.Warn("Requests are held back: targets ended under them.",
			"kind", heldKind(h.Depth), "part", g.idOf(part), "ends", h.Ends, "until", h.Until)
	}

	if !isNew {
		return
	}

	for p, cancel := range g.waiting {
		if err := g.errorOf(p, g.quarantine.Check(now, p.parts.all, g.shareOf)); err != nil {
			cancel(err)
		}
	}
}

// idOf returns the ID of a part of prompts as callers send it, or its hash if this entry has not seen it
// in an end. The caller holds mu.
func (g *requestGuard) idOf(part quarantine.Part) string { return cmp.Or(g.ids[part], hashOf(part)) }

func hashOf(part quarantine.Part) string { return fmt.Sprintf("#%016x", uint64(part)) }

// HeldPartState describes requests that are held back, in a dump.
type HeldPartState struct {
	Kind HeldKind
	// Part is what these requests have in common.
	Part string
	// Ends is the number of ends of targets that count against it, Until the time at which such a
	// request is tried again.
	Ends  int
	Until time.Time
}

// guardState is what is known about requests that are held back.
type guardState struct {
	Held            []HeldPartState
	Refused, Trials int64
}

func (g *requestGuard) state() guardState {
	g.mu.Lock()
	defer g.mu.Unlock()

	s := guardState{Refused: g.refused, Trials: g.trials}

	for part, h := range g.quarantine.Held(g.now()) {
		s.Held = append(s.Held, HeldPartState{Kind: heldKind(h.Depth), Part: g.idOf(part), Ends: h.Ends, Until: h.Until})
	}

	slices.SortFunc(s.Held, func(a, b HeldPartState) int { return cmp.Compare(a.Part, b.Part) })

	return s
}

// EndsSince returns the ends of targets that have changed after a revision, and the current revision.
func (r *Relay) EndsSince(revision uint64) ([]quarantine.End, uint64) {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()

	return r.guard.quarantine.ChangedSince(revision)
}

// MergeEnds adds the ends of targets that other entries have noticed.
func (r *Relay) MergeEnds(ends []quarantine.End) { r.guard.merge(ends) }

// trialShare returns this entry's share in the trials of a part, of which all entries together have
// one at a time.
func (r *Relay) trialShare(part quarantine.Part) shares.Share {
	return shares.ForLimit(r.entryShares.self, r.entryShares.knownEntries(), "part "+strconv.FormatUint(uint64(part), 16))
}

// setParts computes the parts by which the request is known.
func (p *proxiedRequest) setParts() {
	ids := p.caller.PromptParts
	ids = ids[:min(len(ids), quarantine.MaxParts)]

	for i, id := range ids {
		p.parts.add(quarantine.PartOf(p.service, id), id, i)
	}

	p.parts.shared = len(ids)

	if id := p.caller.OwnPart; id != "" {
		p.parts.add(quarantine.PartOf(p.service, id), id, quarantine.OwnPartDepth)
	}

	content := quarantine.Content{
		Method: p.req.Method, Host: p.req.Host, URI: p.req.RequestURI, Headers: p.caller.ContentHeaders, Body: p.body,
	}
	p.parts.add(content.Part(p.service), "", quarantine.ContentDepth)
}

// markSound records that the answer began properly, once.
func (p *proxiedRequest) markSound() {
	if !p.sound {
		p.sound = true
		p.relay.guard.markSound(p.parts.all[:p.parts.shared])
	}
}

// markAnswered records that the answer is whole. A failure does not show that the request is harmless.
func (p *proxiedRequest) markAnswered(status int) {
	if isSuccess(status) {
		p.markSound()
	}

	if status < http.StatusInternalServerError {
		p.relay.guard.markAnswered(p.parts.all[p.parts.shared:])
	}
}
