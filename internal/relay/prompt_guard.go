package relay

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// promptGuard refuses requests with parts of prompts that end targets. It holds what all entries have
// seen of them.
type promptGuard struct {
	logger *slog.Logger
	// shareOf returns this entry's share in the trials of a part. onUrgent, if set, is called when other
	// entries need a change at once.
	shareOf  func(quarantine.Part) shares.Share
	onUrgent func()
	// now is called with mu held, so that no call sees an earlier time than the one before.
	now func() time.Time

	mu         sync.Mutex
	quarantine quarantine.Quarantine
	// waiting holds the requests with shared parts that wait for a target.
	waiting map[*proxiedRequest]context.CancelCauseFunc
	// ids names the parts in ends that this entry has seen itself; reported are the held parts of which
	// the log tells.
	ids      map[quarantine.Part]string
	reported map[quarantine.Part]bool
	refused  int64
	trials   int64
}

// maxPartIDs bounds the names of parts that are kept for logs and dumps.
const maxPartIDs = 1024

// HeldPartError means that a request has a part of a prompt under which targets have ended.
type HeldPartError struct{ ID string }

func (e *HeldPartError) Error() string {
	return fmt.Sprintf("targets ended while they began to answer requests with part %q of a prompt", e.ID)
}

// check returns an error if a request must be refused because of its parts.
func (g *promptGuard) check(p *proxiedRequest) error {
	if len(p.parts) == 0 {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	return g.errorOf(p, g.quarantine.Check(g.now(), p.parts, g.shareOf))
}

// errorOf returns the error of a refused request. The caller holds mu.
func (g *promptGuard) errorOf(p *proxiedRequest, d quarantine.Decision) error {
	if !d.Held {
		return nil
	}

	g.refused++

	return &verdict.Error{
		Verdict: verdict.NotRun, Cause: verdict.CauseQuarantined, RetryAt: d.RetryAt,
		Err: &HeldPartError{ID: p.caller.PromptParts[slices.Index(p.parts, d.Part)]},
	}
}

// await returns a context that ends when a part of a request that waits for a target becomes held. The
// returned function ends the wait.
func (g *promptGuard) await(ctx context.Context, p *proxiedRequest) (context.Context, func()) {
	if len(p.parts) == 0 {
		return ctx, func() {}
	}

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
func (g *promptGuard) begin(p *proxiedRequest) error {
	if len(p.parts) == 0 {
		return nil
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	now := g.now()

	d := g.quarantine.Check(now, p.parts, g.shareOf)
	if d.Trial {
		g.trials++
		p.trial = g.quarantine.BeginTrial(now, p.parts)
		g.logger.Info("Request tries a part of prompts that was held back.", "part", g.idOf(d.Part), "request", p.caller.ID)
	}

	return g.errorOf(p, d)
}

// end ends the trial of a request, if it is one.
func (g *promptGuard) end(p *proxiedRequest) {
	if len(p.parts) == 0 {
		return
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.quarantine.EndTrial(p.trial)
	p.trial = quarantine.Trial{}
}

// markSound records that the answer to a request with these parts began properly.
func (g *promptGuard) markSound(parts []quarantine.Part) {
	if len(parts) == 0 {
		return
	}

	g.mu.Lock()
	urgent := g.quarantine.MarkSound(parts...)
	g.changed(g.now())
	g.mu.Unlock()

	g.notify(urgent)
}

// record records the end of a target under a request with the given IDs of parts.
func (g *promptGuard) record(end quarantine.End, ids []string) {
	g.mu.Lock()

	now := g.now()

	if g.ids == nil || len(g.ids) > maxPartIDs {
		g.ids = make(map[quarantine.Part]string)
	}

	for i := range end.Candidates {
		g.ids[end.Candidates[i].Part] = ids[i]
	}

	urgent := g.quarantine.Record(now, end)
	g.changed(now)
	g.mu.Unlock()

	g.notify(urgent)
}

// merge adds what other entries have seen.
func (g *promptGuard) merge(ends []quarantine.End) {
	g.mu.Lock()
	defer g.mu.Unlock()

	now := g.now()

	if g.quarantine.Merge(now, ends) {
		g.changed(now)
	}
}

func (g *promptGuard) notify(urgent bool) {
	if urgent && g.onUrgent != nil {
		g.onUrgent()
	}
}

// changed logs which parts are held now, and refuses the waiting requests with them. The caller holds
// mu.
func (g *promptGuard) changed(now time.Time) {
	held := g.quarantine.Held(now)

	for part := range g.reported {
		if _, ok := held[part]; !ok {
			delete(g.reported, part)
			g.logger.Info("Part of prompts is no longer held back.", "part", g.idOf(part))
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
		g.logger.Warn("Part of prompts is held back: targets ended while they began to answer requests with it.",
			"part", g.idOf(part), "ends", h.Ends, "until", h.Until)
	}

	if !isNew {
		return
	}

	for p, cancel := range g.waiting {
		if err := g.errorOf(p, g.quarantine.Check(now, p.parts, g.shareOf)); err != nil {
			cancel(err)
		}
	}
}

// idOf returns the ID of a part as callers send it, or its hash if this entry has not seen it in an
// end. The caller holds mu.
func (g *promptGuard) idOf(part quarantine.Part) string {
	return cmp.Or(g.ids[part], fmt.Sprintf("#%016x", uint64(part)))
}

// HeldPart is a part of prompts that is held back, in a dump.
type HeldPart struct {
	Part string
	// Ends is the number of ends of targets that count against the part, Until the time at which
	// requests with it are tried again.
	Ends  int
	Until time.Time
}

// promptState is what is known about parts of prompts.
type promptState struct {
	Held            []HeldPart
	Refused, Trials int64
}

func (g *promptGuard) state() promptState {
	g.mu.Lock()
	defer g.mu.Unlock()

	s := promptState{Refused: g.refused, Trials: g.trials}

	for part, h := range g.quarantine.Held(g.now()) {
		s.Held = append(s.Held, HeldPart{Part: g.idOf(part), Ends: h.Ends, Until: h.Until})
	}

	slices.SortFunc(s.Held, func(a, b HeldPart) int { return cmp.Compare(a.Part, b.Part) })

	return s
}

// EndsSince returns the ends of targets that have changed after a revision, and the current revision.
func (r *Relay) EndsSince(revision uint64) ([]quarantine.End, uint64) {
	r.prompts.mu.Lock()
	defer r.prompts.mu.Unlock()

	return r.prompts.quarantine.ChangedSince(revision)
}

// MergeEnds adds the ends of targets that other entries have noticed.
func (r *Relay) MergeEnds(ends []quarantine.End) { r.prompts.merge(ends) }

// trialShare returns this entry's share in the trials of a part, of which all entries together have
// one at a time.
func (r *Relay) trialShare(part quarantine.Part) shares.Share {
	return shares.ForLimit(r.entryShares.self, r.entryShares.knownEntries(), "part "+strconv.FormatUint(uint64(part), 16))
}

// setParts computes the shared parts of the prompt, and the content of the request.
func (p *proxiedRequest) setParts() {
	content := quarantine.Content{
		Method: p.req.Method, Host: p.req.Host, URI: p.req.RequestURI, Headers: p.caller.ContentHeaders, Body: p.body,
	}
	p.content = content.Part(p.service)

	ids := p.caller.PromptParts
	if len(ids) == 0 {
		return
	}

	p.parts = make([]quarantine.Part, 0, min(len(ids), quarantine.MaxParts))
	for _, id := range ids[:min(len(ids), quarantine.MaxParts)] {
		p.parts = append(p.parts, quarantine.PartOf(p.service, id))
	}
}

// markSound records that the answer began properly, once.
func (p *proxiedRequest) markSound() {
	if !p.sound {
		p.sound = true
		p.relay.prompts.markSound(p.parts)
	}
}
