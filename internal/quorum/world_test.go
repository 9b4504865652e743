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

// crashPoint says where a host dies while it carries out a batch.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// host is one core with the disk, state machine and clock that a shell would give it.
type host struct {
	id      string
	birth   uint64
	found   []quorum.Member
	core    *quorum.Core // nil while down
	disk    quorum.StoredState
	state   []string // applied commands
	applied uint64
	skew    time.Duration
	stalled time.Time
	crash   crashPoint
	// loseSyncs, loseVotes and keepBirth break the promises that a disk makes; see mutation_test.go.
	loseSyncs, loseVotes, keepBirth bool
}

type parcel struct {
	at time.Time
	m  quorum.Message
}

// op is one call of a client, for the linearizability check.
type op struct {
	command string // empty for a read
	call    int64
	ret     int64  // 0 while open
	value   string // for a read: the last command
	place   int    // for a read and an answered command: how many were applied
	notRun  bool
	answer  verdict.Verdict
	host    string
	at      time.Time
	least   uint64 // for a read: highest index acknowledged to anyone when it was asked
}

// world runs cores against faults and checks what must always hold.
type world struct {
	start, now       time.Time
	rng              *rand.Rand
	hosts            []*host
	net              []parcel
	cut              map[[2]string]bool
	drop, dup        float64
	delay            time.Duration
	ops              map[uint64]*op
	tick             int64
	acked            uint64
	committed        map[uint64]string
	seen             map[string]uint64 // index at which each command was applied
	places           map[string]int    // and as the how manieth
	leaders          map[uint64]string
	broken           []string
	messages, chunks int
	told             int // how often a host learnt that it was removed
	appendBytes      int
}

func newWorld(seed uint64, founders int) *world {
	w := &world{
		start: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]string]bool{}, delay: time.Millisecond,
		ops: map[uint64]*op{}, committed: map[uint64]string{}, seen: map[string]uint64{}, leaders: map[uint64]string{}, places: map[string]int{},
	}
	w.now = w.start

	var found []quorum.Member
	for i := range founders {
		found = append(found, quorum.Member{ID: fmt.Sprint("vm", i), Addr: address()})
	}

	for _, m := range found {
		w.add(m.ID, found)
	}

	return w
}

func address() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:7000") }

func (w *world) add(id string, found []quorum.Member) *host {
	h := &host{id: id, found: found, birth: w.rng.Uint64() | 1, skew: time.Duration(w.rng.Int64N(int64(time.Hour)))}
	w.hosts = append(w.hosts, h)
	w.restart(h)

	return h
}

func (w *world) host(id string) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}

	return nil
}

// restart starts h on what its disk holds.
func (w *world) restart(h *host) {
	c, err := quorum.New(quorum.Config{
		ID: h.id, CreationID: h.birth, Founders: h.found, CatchUpEntries: 20, ChunkBytes: 64, AppendBytes: w.appendBytes, Rand: w.rng.Int64N,
	}, h.disk, w.clock(h))
	if err != nil {
		w.fail("%s does not start: %v", h.id, err)

		return
	}

	h.core, h.crash, h.state, h.applied = c, noCrash, nil, 0
	w.settle(h)
}

func (w *world) kill(h *host) { h.core = nil }

// wipe loses h's disk. The next start makes a new birth under the same ID.
func (w *world) wipe(h *host) {
	w.kill(h)
	h.disk = quorum.StoredState{}

	if !h.keepBirth {
		h.birth = w.rng.Uint64() | 1
	}
}

func (w *world) clock(h *host) time.Time { return w.now.Add(h.skew) }

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

func (w *world) step(h *host, ev quorum.Event) {
	if h.core == nil {
		return
	}

	h.core.Step(w.clock(h), ev)
	w.settle(h)
}

func (w *world) settle(h *host) {
	for h.core != nil {
		b := h.core.Take()
		if b.Empty() {
			break
		}

		w.do(h, b)
	}

	if h.core == nil {
		return
	}

	var removed *quorum.RemovedError

	if err := h.core.Err(); errors.As(err, &removed) {
		w.told++
		w.restart(h) // as a service manager would

		return
	} else if err != nil {
		w.fail("%s: %v", h.id, err)
	}

	if term, ok := h.core.Leading(); ok {
		if other := w.leaders[term]; other != "" && other != h.id {
			w.fail("two leaders in term %d: %s and %s", term, other, h.id)
		}

		w.leaders[term] = h.id
	}
}

func (w *world) do(h *host, b quorum.Batch) {
	w.post(b.SendNow)

	if !b.Persist.Empty() && h.crash == crashBeforeSync {
		w.kill(h)

		return
	}

	h.write(b.Persist)

	if !b.Persist.Empty() && h.crash == crashAfterSync {
		w.kill(h)

		return
	}

	h.core.Synced()
	w.post(b.Send)

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
				w.tick++
				o.ret = w.tick
			}
		}
	}

	for _, r := range b.Reads {
		w.readDone(h, r)
	}
}

func (h *host) write(p quorum.Persist) {
	if p.State != nil && !h.loseVotes {
		h.disk.State = *p.State
	}

	if p.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *p.Snapshot, slices.Clone(p.Entries)

		return
	}

	if len(p.Entries) == 0 || h.loseSyncs {
		return
	}

	kept := h.disk.Entries
	if len(kept) > 0 {
		kept = kept[:p.Entries[0].Index-kept[0].Index]
	}

	h.disk.Entries = append(slices.Clone(kept), p.Entries...)
}

// apply checks that all hosts apply the same commands, each of them once.
func (w *world) apply(h *host, c quorum.Committed) {
	what := fmt.Sprint(c.Entry.Term, c.Entry.Kind, string(c.Entry.Command), c.Entry.Members)
	if was, ok := w.committed[c.Entry.Index]; ok && was != what {
		w.fail("%s applies another entry %d", h.id, c.Entry.Index)
	}

	if c.Entry.Index != h.applied+1 {
		w.fail("%s applies %d after %d", h.id, c.Entry.Index, h.applied)
	}

	w.committed[c.Entry.Index] = what
	h.applied = c.Entry.Index

	if c.Entry.Kind == quorum.EntryCommand {
		command := string(c.Entry.Command)
		if was := w.seen[command]; was != 0 && was != c.Entry.Index {
			w.fail("%s ran twice", command)
		}

		w.seen[command] = c.Entry.Index
		h.state = append(h.state, command)
		w.places[command] = len(h.state)
	}

	if o := w.ops[c.ProposalID]; o != nil {
		w.tick++
		o.ret, o.answer, o.place = w.tick, verdict.Ran, len(h.state)
		w.acked = max(w.acked, c.Entry.Index)
	}
}

func (w *world) readDone(h *host, r quorum.ReadDone) {
	o := w.ops[r.ID]
	if o == nil || r.Failed {
		return
	}

	w.tick++
	o.ret, o.place = w.tick, len(h.state)

	if len(h.state) > 0 {
		o.value = h.state[len(h.state)-1]
	}

	if r.Index < o.least || h.applied < r.Index {
		w.fail("stale read at %s: %d, applied %d, acknowledged before %d", h.id, r.Index, h.applied, o.least)
	}
}

func (w *world) newOp(h *host, command string) (uint64, *op) {
	w.tick++
	o := &op{command: command, call: w.tick, host: h.id, at: w.now, least: w.acked}
	id := uint64(len(w.ops) + 1)
	w.ops[id] = o

	return id, o
}

func (w *world) propose(h *host, command string) *op {
	id, o := w.newOp(h, command)
	w.step(h, quorum.Proposed{ID: id, Command: []byte(command)})

	return o
}

func (w *world) read(h *host) *op {
	id, o := w.newOp(h, "")
	w.step(h, quorum.ReadRequested{ID: id, Deadline: w.clock(h).Add(time.Minute)})

	return o
}

// leader returns the running leader with the highest term, or nil.
func (w *world) leader() *host {
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

// change gives the leader an operator's change of the members.
func (w *world) change(kind quorum.ChangeKind, id string) *op {
	h := w.leader()
	if h == nil {
		return &op{notRun: true}
	}

	n, o := w.newOp(h, "members")
	w.step(h, quorum.ChangeRequested{ID: n, Kind: kind, Member: quorum.Member{ID: id, Addr: address()}})

	return o
}

func (w *world) transfer(h *host) *op {
	id, o := w.newOp(h, "members")
	w.step(h, quorum.TransferRequested{ID: id})

	return o
}

func (w *world) compact(h *host) {
	if h.core != nil {
		w.step(h, quorum.SnapshotTaken{Index: h.applied, Data: []byte(strings.Join(h.state, " "))})
	}
}
