package ledger

import (
	"bytes"
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// claimKey identifies a non-idempotent request of a caller.
type claimKey struct {
	workspace, service, key string
}

// claimTable holds the claims of non-idempotent requests. A claim is removed only when
// its attempt is known not to have run, when its window has ended, or, in a full
// table, when its guarantee has ended. If no claim can be removed, new ones are
// refused.
type claimTable struct {
	limits Limits
	byKey  map[claimKey]*list.Element
	// byWindowEnd holds the *wire.ClaimEntry values in the order in which their
	// windows end.
	byWindowEnd *list.List
	answerBytes int
}

func newClaimTable(limits Limits) claimTable {
	return claimTable{limits: limits, byKey: map[claimKey]*list.Element{}, byWindowEnd: list.New()}
}

func (t *claimTable) get(key claimKey) *wire.ClaimEntry {
	element, ok := t.byKey[key]
	if !ok {
		return nil
	}

	return element.Value.(*wire.ClaimEntry)
}

// claim grants the key to the attempt in r, or returns the current holder. A request
// without a holder only looks the key up.
func (t *claimTable) claim(now time.Time, r *wire.ClaimRequest) *wire.ClaimResponse {
	key := claimKey{workspace: r.GetWorkspace(), service: r.GetService(), key: r.GetKey()}

	entry := t.get(key)
	if entry == nil && r.GetHolder() == nil {
		return t.response(wire.ClaimState_ClaimFree, nil)
	}

	if entry == nil {
		return t.openClaim(now, key, r)
	}

	if !bytes.Equal(entry.GetBodyDigest(), r.GetBodyDigest()) {
		return t.response(wire.ClaimState_ClaimConflict, entry)
	}

	switch entry.GetState() {
	case wire.ClaimEntryState_ClaimEntryRecorded:
		return t.response(wire.ClaimState_ClaimRecorded, entry)
	case wire.ClaimEntryState_ClaimEntryLost:
		return t.response(wire.ClaimState_ClaimLost, entry)
	}

	return t.arbitrate(entry, r)
}

// arbitrate decides whether an attempt gets an open claim that is already held. The
// holder is granted the claim again, since the first grant may have been lost in
// transit. Another attempt is granted only if it names the current holder as closed:
// the claim may have been granted to a third attempt since the requester looked it up,
// and then two attempts would run.
func (t *claimTable) arbitrate(entry *wire.ClaimEntry, r *wire.ClaimRequest) *wire.ClaimResponse {
	holderID := entry.GetHolder().GetAttemptID()

	if r.GetHolder() == nil {
		return t.response(wire.ClaimState_ClaimOpen, entry)
	}

	if r.GetHolder().GetAttemptID() == holderID {
		return t.response(wire.ClaimState_ClaimGranted, entry)
	}

	if r.GetReplaces() == "" || r.GetReplaces() != holderID {
		return t.response(wire.ClaimState_ClaimOpen, entry)
	}

	entry.Holder = proto.CloneOf(r.GetHolder())

	return t.response(wire.ClaimState_ClaimGranted, entry)
}

func (t *claimTable) openClaim(now time.Time, key claimKey, r *wire.ClaimRequest) *wire.ClaimResponse {
	t.evictPastGuarantee(now)

	if t.full() {
		return t.response(wire.ClaimState_ClaimFull, nil)
	}

	entry := &wire.ClaimEntry{
		Workspace:    key.workspace,
		Service:      key.service,
		Key:          key.key,
		BodyDigest:   bytes.Clone(r.GetBodyDigest()),
		Holder:       proto.CloneOf(r.GetHolder()),
		EndsAtMillis: toMillis(now.Add(t.limits.ClaimWindow)),
	}
	t.add(entry)

	return t.response(wire.ClaimState_ClaimGranted, entry)
}

func (t *claimTable) full() bool {
	return len(t.byKey) >= t.limits.MaxClaims || t.answerBytes >= t.limits.MaxClaimBytes
}

// evictPastGuarantee removes the oldest claims whose guarantee has ended, until the
// table is no longer full.
func (t *claimTable) evictPastGuarantee(now time.Time) {
	for t.full() && t.byWindowEnd.Len() > 0 {
		entry := t.byWindowEnd.Front().Value.(*wire.ClaimEntry)
		opened := fromMillis(entry.GetEndsAtMillis()).Add(-t.limits.ClaimWindow)

		if now.Before(opened.Add(t.limits.effectiveGuarantee())) {
			return
		}

		t.remove(claimKeyOf(entry))
	}
}

func claimKeyOf(entry *wire.ClaimEntry) claimKey {
	return claimKey{workspace: entry.GetWorkspace(), service: entry.GetService(), key: entry.GetKey()}
}

func (t *claimTable) add(entry *wire.ClaimEntry) {
	t.byKey[claimKeyOf(entry)] = t.byWindowEnd.PushBack(entry)
	t.answerBytes += answerSize(entry.GetAnswer())
}

func (t *claimTable) remove(key claimKey) {
	element := t.byKey[key]
	t.answerBytes -= answerSize(element.Value.(*wire.ClaimEntry).GetAnswer())
	t.byWindowEnd.Remove(element)
	delete(t.byKey, key)
}

// settle records the outcome of an attempt. Only the holder's outcome is accepted. A
// recorded answer never changes; a claim recorded as lost still accepts the holder's
// answer if that is found later.
func (t *claimTable) settle(r *wire.SettleRequest) *wire.SettleResponse {
	key := claimKey{workspace: r.GetWorkspace(), service: r.GetService(), key: r.GetKey()}

	entry := t.get(key)
	if entry == nil {
		return &wire.SettleResponse{State: wire.ClaimState_ClaimUnknown}
	}

	if entry.GetHolder().GetAttemptID() == r.GetAttemptID() {
		t.settleHolder(key, entry, r)
	}

	if t.get(key) == nil {
		return &wire.SettleResponse{State: wire.ClaimState_ClaimUnknown}
	}

	return &wire.SettleResponse{State: claimStateOf(entry)}
}

func (t *claimTable) settleHolder(key claimKey, entry *wire.ClaimEntry, r *wire.SettleRequest) {
	if entry.GetState() == wire.ClaimEntryState_ClaimEntryRecorded {
		return
	}

	switch r.GetVerdict() {
	case wire.Verdict_Ran:
		t.recordAnswer(entry, r.GetAnswer())
	case wire.Verdict_NotRun:
		// A late NotRun does not undo a loss: the sender that recorded the loss had
		// more information.
		if entry.GetState() == wire.ClaimEntryState_ClaimEntryOpen {
			t.remove(key)
		}
	default:
		entry.State = wire.ClaimEntryState_ClaimEntryLost
	}
}

func (t *claimTable) recordAnswer(entry *wire.ClaimEntry, answer *wire.Answer) {
	if answer == nil || answerSize(answer) > t.limits.MaxAnswerBytes {
		entry.State = wire.ClaimEntryState_ClaimEntryLost
		return
	}

	entry.State = wire.ClaimEntryState_ClaimEntryRecorded
	entry.Answer = proto.CloneOf(answer)
	t.answerBytes += answerSize(answer)
}

// expire removes the claims whose window has ended.
func (t *claimTable) expire(now time.Time) {
	for element := t.byWindowEnd.Front(); element != nil; element = t.byWindowEnd.Front() {
		entry := element.Value.(*wire.ClaimEntry)
		if now.Before(fromMillis(entry.GetEndsAtMillis())) {
			return
		}

		t.remove(claimKeyOf(entry))
	}
}

func (t *claimTable) response(state wire.ClaimState, entry *wire.ClaimEntry) *wire.ClaimResponse {
	out := &wire.ClaimResponse{
		State:        state,
		Holder:       entry.GetHolder(),
		WindowMillis: uint64(t.limits.effectiveGuarantee() / time.Millisecond),
	}
	if state == wire.ClaimState_ClaimRecorded {
		out.Answer = entry.GetAnswer()
	}

	return out
}

func claimStateOf(entry *wire.ClaimEntry) wire.ClaimState {
	switch entry.GetState() {
	case wire.ClaimEntryState_ClaimEntryRecorded:
		return wire.ClaimState_ClaimRecorded
	case wire.ClaimEntryState_ClaimEntryLost:
		return wire.ClaimState_ClaimLost
	default:
		return wire.ClaimState_ClaimOpen
	}
}

func answerSize(answer *wire.Answer) int {
	if answer == nil {
		return 0
	}

	return proto.Size(answer)
}
