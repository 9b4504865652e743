package quorum_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// crashPoint is the point in the execution of a batch at which a host crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// host is one core with a simulated disk, state machine and clock.
type host struct {
	id           string
	creationID   uint64
	founders     []quorum.Member
	core         *quorum.Core // nil while the host is down
	disk         quorum.StoredState
	state        []string // applied commands
	applied      uint64
	clockSkew    time.Duration
	stalledUntil time.Time
	crashPoint   crashPoint
	// loseEntries, loseVotes and keepCreationID simulate violated durability guarantees.
	// See TestDurabilityViolationsAreDetected and TestReusedCreationIDLosesCommittedEntry.
	loseEntries, loseVotes, keepCreationID bool
}

type packet struct {
	deliverAt time.Time
	message   quorum.Message
}

// op is one operation of a client, for the linearizability check.
type op struct {
	command    string // empty for a read
	callTime   int64
	returnTime int64  // 0 while the operation is open
	value      string // for a read: the last command
	position   int    // for a read or an answered command: number of commands applied by then
	notRun     bool
	answer     verdict.Verdict
	host       string
	startedAt  time.Time
	minIndex   uint64 // for a read: highest index acknowledged to any client before the request
}

// simulation runs cores under faults and checks the invariants.
type simulation struct {
	start, now              time.Time
	rng                     *rand.Rand
	hosts                   []*host
	inFlight                []packet
	cutLinks                map[[2]string]bool
	dropRate, duplicateRate float64
	maxDelay                time.Duration
	ops                     map[uint64]*op
	logicalTime             int64
	ackedIndex              uint64
	committed               map[uint64]string
	appliedAt               map[string]uint64 // index at which each command was applied
	positions               map[string]int    // position of each command in the applied commands, from 1
	leaderOfTerm            map[uint64]string
	violations              []string
	messages, chunks        int
	removedCount            int // how many times a host was notified of its removal
	appendBytes             int
}

func newSimulation(seed uint64, founders int) *simulation {
	w := &simulation{
		start: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 7)), cutLinks: map[[2]string]bool{}, maxDelay: time.Millisecond,
		ops: map[uint64]*op{}, committed: map[uint64]string{}, appliedAt: map[string]uint64{}, leaderOfTerm: map[uint64]string{}, positions: map[string]int{},
	}
	w.now = w.start

	var members []quorum.Member
	for i := range founders {
		members = append(members, quorum.Member{ID: fmt.Sprint("vm", i), Addr: address()})
	}

	for _, m := range members {
		w.addHost(m.ID, members)
	}

	return w
}

func address() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:7000") }

func (w *simulation) addHost(id string, founders []quorum.Member) *host {
	h := &host{id: id, founders: founders, creationID: w.rng.Uint64() | 1, clockSkew: time.Duration(w.rng.Int64N(int64(time.Hour)))}
	w.hosts = append(w.hosts, h)
	w.restart(h)

	return h
}

func (w *simulation) host(id string) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}

	return nil
}

// restart starts h with the state on its disk.
func (w *simulation) restart(h *host) {
	c, err := quorum.New(quorum.Config{
		ID: h.id, CreationID: h.creationID, Founders: h.founders, CatchUpEntries: 20, ChunkBytes: 64, AppendBytes: w.appendBytes, Rand: w.rng.Int64N,
	}, h.disk, w.clock(h))
	if err != nil {
		w.recordViolation("%s failed to start: %v", h.id, err)

		return
	}

	h.core, h.crashPoint, h.state, h.applied = c, noCrash, nil, 0
	w.executeBatches(h)
}

func (w *simulation) kill(h *host) { h.core = nil }

// wipe stops h and clears its disk. Its next start has the same ID and a new creation ID.
func (w *simulation) wipe(h *host) {
	w.kill(h)
	h.disk = quorum.StoredState{}

	if !h.keepCreationID {
		h.creationID = w.rng.Uint64() | 1
	}
}

func (w *simulation) clock(h *host) time.Time { return w.now.Add(h.clockSkew) }

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) step(h *host, ev quorum.Event) {
	if h.core == nil {
		return
	}

	h.core.Step(w.clock(h), ev)
	w.executeBatches(h)
}

func (w *simulation) executeBatches(h *host) {
	for h.core != nil {
		b := h.core.Take()
		if b.Empty() {
			break
		}

		w.executeBatch(h, b)
	}

	if h.core == nil {
		return
	}

	var removed *quorum.RemovedError

	if err := h.core.Err(); errors.As(err, &removed) {
		w.removedCount++
		w.restart(h) // as a service manager would

		return
	} else if err != nil {
		w.recordViolation("%s: %v", h.id, err)
	}

	if term, ok := h.core.Leading(); ok {
		if other := w.leaderOfTerm[term]; other != "" && other != h.id {
			w.recordViolation("two leaders in term %d: %s and %s", term, other, h.id)
		}

		w.leaderOfTerm[term] = h.id
	}
}

func (w *simulation) executeBatch(h *host, b quorum.Batch) {
	w.enqueue(b.SendNow)

	if !b.Persist.Empty() && h.crashPoint == crashBeforeSync {
		w.kill(h)

		return
	}

	h.persist(b.Persist)

	if !b.Persist.Empty() && h.crashPoint == crashAfterSync {
		w.kill(h)

		return
	}

	h.core.Synced()
	w.enqueue(b.Send)

	if b.Restore != nil {
		h.state, h.applied = nil, b.Restore.Index
		if len(b.Restore.Data) > 0 {
			h.state = strings.Split(string(b.Restore.Data), " ")
		}
	}

	for _, c := range b.Apply {
		w.apply(h, c)
	}

	for _, a := range b.Answers {
		if o := w.ops[a.ID]; o != nil {
			o.answer, o.notRun = a.Verdict, a.Verdict == verdict.NotRun
			if a.Verdict == verdict.Ran {
				w.logicalTime++
				o.returnTime = w.logicalTime
			}
		}
	}

	for _, r := range b.Reads {
		w.readDone(h, r)
	}
}

func (h *host) persist(p quorum.Persist) {
	if p.State != nil && !h.loseVotes {
		h.disk.State = *p.State
	}

	if p.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *p.Snapshot, slices.Clone(p.Entries)

		return
	}

	if len(p.Entries) == 0 || h.loseEntries {
		return
	}

	kept := h.disk.Entries
	if len(kept) > 0 {
		kept = kept[:p.Entries[0].Index-kept[0].Index]
	}

	h.disk.Entries = append(slices.Clone(kept), p.Entries...)
}

// apply checks that all hosts apply the same entries, each command once.
func (w *simulation) apply(h *host, c quorum.Committed) {
	what := fmt.Sprint(c.Entry.Term, c.Entry.Kind, string(c.Entry.Command), c.Entry.Members)
	if was, ok := w.committed[c.Entry.Index]; ok && was != what {
		w.recordViolation("%s applied a different entry at index %d than another host", h.id, c.Entry.Index)
	}

	if c.Entry.Index != h.applied+1 {
		w.recordViolation("%s applied entry %d after entry %d", h.id, c.Entry.Index, h.applied)
	}

	w.committed[c.Entry.Index] = what
	h.applied = c.Entry.Index

	if c.Entry.Kind == quorum.EntryCommand {
		command := string(c.Entry.Command)
		if was := w.appliedAt[command]; was != 0 && was != c.Entry.Index {
			w.recordViolation("command %s was applied twice", command)
		}

		w.appliedAt[command] = c.Entry.Index
		h.state = append(h.state, command)
		w.positions[command] = len(h.state)
	}

	if o := w.ops[c.ProposalID]; o != nil {
		w.logicalTime++
		o.returnTime, o.answer, o.position = w.logicalTime, verdict.Ran, len(h.state)
		w.ackedIndex = max(w.ackedIndex, c.Entry.Index)
	}
}

func (w *simulation) readDone(h *host, r quorum.ReadDone) {
	o := w.ops[r.ID]
	if o == nil || r.Failed {
		return
	}

	w.logicalTime++
	o.returnTime, o.position = w.logicalTime, len(h.state)

	if len(h.state) > 0 {
		o.value = h.state[len(h.state)-1]
	}

	if r.Index < o.minIndex || h.applied < r.Index {
		w.recordViolation("stale read at %s: read index %d, applied %d, acknowledged before the request %d", h.id, r.Index, h.applied, o.minIndex)
	}
}

func (w *simulation) newOp(h *host, command string) (uint64, *op) {
	w.logicalTime++
	o := &op{command: command, callTime: w.logicalTime, host: h.id, startedAt: w.now, minIndex: w.ackedIndex}
	id := uint64(len(w.ops) + 1)
	w.ops[id] = o

	return id, o
}

func (w *simulation) propose(h *host, command string) *op {
	id, o := w.newOp(h, command)
	w.step(h, quorum.Proposed{ID: id, Command: []byte(command)})

	return o
}

func (w *simulation) read(h *host) *op {
	id, o := w.newOp(h, "")
	w.step(h, quorum.ReadRequested{ID: id, Deadline: w.clock(h).Add(time.Minute)})

	return o
}

// leader returns the running leader with the highest term, or nil.
func (w *simulation) leader() *host {
	var best *host

	for _, h := range w.hosts {
		if h.core == nil || h.core.Status().State != "Leader" {
			continue
		}

		if best == nil || h.core.Status().Term > best.core.Status().Term {
			best = h
		}
	}

	return best
}

// change requests a membership change from the leader.
func (w *simulation) change(kind quorum.ChangeKind, id string) *op {
	h := w.leader()
	if h == nil {
		return &op{notRun: true}
	}

	n, o := w.newOp(h, "members")
	w.step(h, quorum.ChangeRequested{ID: n, Kind: kind, Member: quorum.Member{ID: id, Addr: address()}})

	return o
}

func (w *simulation) transfer(h *host) *op {
	id, o := w.newOp(h, "members")
	w.step(h, quorum.TransferRequested{ID: id})

	return o
}

func (w *simulation) compact(h *host) {
	if h.core != nil {
		w.step(h, quorum.SnapshotTaken{Index: h.applied, Data: []byte(strings.Join(h.state, " "))})
	}
}
