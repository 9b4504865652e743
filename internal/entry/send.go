package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// send sends the chosen attempt and passes its answer on.
func (k *course) send(ctx context.Context, resume bool) exchange.Action {
	k.entry.counters.tries.Add(1)

	var kept *collector

	receiver := k.reply.relay(k.call.idempotent && k.call.service.GetResumable(), resume)
	if k.call.keyed() {
		kept = &collector{most: k.entry.Limits.MaxRecordedBytes, spill: k.reply}
		receiver = kept.receiver()
	}

	start := time.Now()
	status := k.watch(start, &receiver)
	res := k.entry.Agents.Send(ctx, k.choice.Addr, k.request(resume), receiver)
	k.learn(start, res, *status)

	k.ex.Resumable = k.reply.resumable()

	end := exchange.Outcome{Complete: res.Err == nil, Err: res.Err, Relayed: k.reply.headed, CallerDisconnected: k.reply.gone || callerLeft(ctx)}
	if kept != nil && end.Complete {
		end.Answer = kept.answer
	}

	return k.ex.Ended(time.Now(), end)
}

// callerLeft tells a caller's disconnect from a deadline that passed.
func callerLeft(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

func (k *course) request(resume bool) *wire.Request {
	known := k.entry.View()
	now := time.Now()
	v, _ := k.entry.credits.Load(k.choice.AgentID)
	credit, _ := v.(*wire.Credit)
	headers := k.call.headers

	if resume {
		headers = k.resumeHeaders()
	}

	return &wire.Request{
		ID: k.call.id, AttemptID: k.attempt.GetAttemptID(), Credit: credit,
		Service: k.call.service.GetName(), Workspace: k.call.workspace,
		Method: k.call.method, Path: k.call.path, Headers: headers,
		Body: k.call.body, BodyDigest: k.call.bodyDigest, Idempotent: k.call.idempotent,
		RemainingMillis: uint64(max(0, k.call.deadline.Sub(now).Milliseconds())),
		ViewVersion:     known.Version, ViewFresh: now.Before(known.ValidUntil),
		Priority: int32(k.call.priority),
	}
}

// resumeHeaders asks the next target to go on after the last event that the
// caller has. What the broken attempt left unfinished comes again, whole.
func (k *course) resumeHeaders() []*wire.Header {
	k.reply.events.rest = nil
	if k.reply.events.lastID == "" {
		return k.call.headers
	}

	headers := []*wire.Header{{Name: lastEventID, Value: k.reply.events.lastID}}

	for _, h := range k.call.headers {
		if !strings.EqualFold(h.GetName(), lastEventID) {
			headers = append(headers, h)
		}
	}

	return headers
}

// watch notes the answer's status and the time to its first byte.
func (k *course) watch(start time.Time, rc *agentclient.Receiver) *int32 {
	var (
		status int32
		begun  bool
	)

	head, data := rc.Head, rc.Data
	rc.Head = func(h *wire.Head) error {
		status = h.GetStatus()

		return head(h)
	}
	rc.Data = func(b []byte) error {
		if !begun {
			begun = true
			k.entry.Chooser.RecordFirstByte(routing.FirstByte{
				AgentID: k.choice.AgentID, Incarnation: k.choice.Incarnation, Wait: time.Since(start),
			})
		}

		return data(b)
	}

	return &status
}

// exclude notes that this request is not to go to its target again.
func (k *course) exclude(err *verdict.Error) {
	switch {
	case full(err):
	case err.Cause == verdict.CauseStale:
		k.stale = append(k.stale, k.choice.AgentID)
	default:
		k.excluded = append(k.excluded, k.choice.AgentID)
	}
}

// learn tells the chooser how the attempt ended.
func (k *course) learn(start time.Time, res agentclient.Result, status int32) {
	now := time.Now()
	ev := routing.Finished{
		AgentID: k.choice.AgentID, Incarnation: k.choice.Incarnation, Verdict: verdict.Ran,
		Duration: now.Sub(start), ServerError: status >= 500,
	}

	if res.Err != nil {
		ev.Verdict, ev.Cause, ev.RetryAt = res.Err.Verdict, res.Err.Cause, res.Err.RetryAt
		k.exclude(res.Err)
	}

	if ev.Cause == verdict.CauseSilent {
		k.entry.Chooser.RecordUnresponsive(now, routing.ConnectionUnresponsive{AgentID: k.choice.AgentID, Incarnation: k.choice.Incarnation})
	}

	k.entry.Chooser.Finish(now, ev)
	k.entry.takeCredit(now, k.call.service.GetName(), res.Load.GetCredit(), time.Time{})
	k.entry.takeLoad(now, k.choice.AgentID, res.Load)
}
