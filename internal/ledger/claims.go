package ledger

import (
	"bytes"
	"container/list"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// claimKey names one non-idempotent request of a caller.
type claimKey struct {
	workspace, service, key string
}

// claimTable holds the claims of non-idempotent requests. A claim leaves it
// only when its attempt is shown not to have run, when its window has ended, or
// where the table is full and its guarantee has ended. Where none can go, new
// claims are refused: none is dropped before its guarantee ends.
type claimTable struct {
	limits Limits
	byKey  map[claimKey]*list.Element
	// byWindowEnd holds the *wire.ClaimEntry values by the end of their windows.
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

// claim grants the key to the attempt that r names, or says who holds it. A
// request without a holder looks the key up and claims nothing.
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

// arbitrate decides between the attempt that holds an open claim and another.
// The same attempt is granted again, since its first grant may have been lost on
// the way. Another is granted only if it names the holder as closed: the claim
// may have moved on since the asker looked, and then a second attempt would run.
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

// evictPastGuarantee lets the oldest claims go that have outlived their guarantee, while
// the table is full.
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

// settle records what became of an attempt. Only the holder's word counts, and
// a recorded answer is never changed; a loss gives way to the holder's answer,
// should that still be found.
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
		// A loss is not undone by a late NotRun: whoever recorded it knew more.
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

// expire drops the claims whose window has ended.
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
