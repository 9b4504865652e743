package control

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Status reports for each decision whether it is in force and which processes have not
// acknowledged it.
func (s *Server) Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error) {
	collected := s.collectPolls(ctx)
	now := time.Now()
	p := s.published.Load()
	age, valid := s.age(now)
	out := &wire.StatusResponse{
		Version:      p.records.Version,
		Stale:        !valid,
		AgeMillis:    uint64(age.Milliseconds()),
		NextNumber:   p.nextNumber(),
		PeersUnheard: collected.unreachable,
	}

	entries := newestDecisions(p.decisions, r.GetLimit())
	if r.GetNumber() != 0 {
		entries = slices.DeleteFunc(slices.Clone(p.decisions), func(e *wire.DecisionEntry) bool {
			return e.GetNumber() != r.GetNumber()
		})
	}

	if r.GetNumber() != 0 && len(entries) == 0 {
		return nil, newRPCError(twirp.NotFound, fmt.Sprintf("no decision %d is kept", r.GetNumber()))
	}

	acks := newAcknowledgements(collected, nodesByID(p.records))

	for _, entry := range entries {
		leasesExpired := now.Sub(p.appliedAt(entry.GetVersion())) > s.Settings.maxOldVersionUse()
		out.Decisions = append(out.Decisions, acks.status(now, entry, leasesExpired))
	}

	return out, nil
}

// maxOldVersionUse is the time after this VM applied a version from which no process acts
// on an earlier version, even if the process is partitioned.
func (s *Settings) maxOldVersionUse() time.Duration {
	return s.Lease + s.MaxCreditLifetime + s.ClockMargin
}

func (p *publishedState) nextNumber() uint64 {
	next := p.numberFloor + 1
	for _, entry := range p.decisions {
		next = max(next, entry.GetNumber()+1)
	}

	return next
}

// acknowledgements holds the version that each process acknowledged.
type acknowledgements struct {
	collected collectedPolls
	processes map[processKey]reportedPoll
	nodes     map[string]*wire.Node
}

// newAcknowledgements combines the directory with the collected polls. A process that
// polled may act even if it is not in the directory yet, or if a later incarnation runs
// beside it.
func newAcknowledgements(collected collectedPolls, nodes map[string]*wire.Node) *acknowledgements {
	a := &acknowledgements{collected: collected, processes: collected.latest(), nodes: nodes}

	for id, node := range nodes {
		key := processKey{id: id, incarnation: node.GetIncarnation()}
		if _, ok := a.processes[key]; !ok {
			a.processes[key] = reportedPoll{node: &wire.HeardNode{ID: id, Incarnation: key.incarnation}}
		}
	}

	return a
}

// status reports whether a decision is in force, which holds in two cases. Either every
// process acknowledged the version, and every control VM responded and answers new polls
// with that version. Or the freshness lease of every process that was answered before the
// commit has expired, so that the process refuses new work.
func (r *acknowledgements) status(now time.Time, entry *wire.DecisionEntry, leasesExpired bool) *wire.DecisionStatus {
	out := &wire.DecisionStatus{Entry: entry, Live: uint32(len(r.processes))}

	if entry.GetState() != wire.DecisionState_DecisionMade {
		out.Why = "it changed nothing"
		return out
	}

	for key, poll := range r.processes {
		if poll.node.GetKnownVersion() >= entry.GetVersion() {
			out.Acknowledged++
			continue
		}

		out.Outstanding = append(out.Outstanding, r.outstanding(now, key, poll))
	}

	slices.SortFunc(out.Outstanding, func(a, b *wire.Outstanding) int {
		return cmp.Compare(a.GetNodeID(), b.GetNodeID())
	})

	out.InForce, out.Why = r.inForce(entry.GetVersion(), len(out.Outstanding), leasesExpired)

	return out
}

func (r *acknowledgements) inForce(version uint64, outstanding int, leasesExpired bool) (inForce bool, why string) {
	switch {
	case leasesExpired && outstanding == 0:
		return true, "every process acknowledged it"
	case leasesExpired:
		return true, "processes that did not acknowledge it refuse new work: their freshness lease ran out"
	case outstanding > 0:
		return false, fmt.Sprintf("%d processes have neither acknowledged it nor lost their freshness lease", outstanding)
	case len(r.collected.unreachable) > 0:
		return false, "control VMs did not say whom they heard: " + strings.Join(r.collected.unreachable, ", ")
	case r.collected.minVersion < version:
		return false, "a control VM still answers polls with an earlier version"
	default:
		return true, "every process acknowledged it"
	}
}

func (r *acknowledgements) outstanding(now time.Time, key processKey, poll reportedPoll) *wire.Outstanding {
	node := r.nodes[key.id]
	out := &wire.Outstanding{
		NodeID:       key.id,
		Kind:         node.GetKind(),
		Zone:         node.GetZone(),
		KnownVersion: poll.node.GetKnownVersion(),
		State:        wire.OutstandingState_OutstandingSilent,
	}

	if poll.at.IsZero() {
		return out
	}

	elapsed := now.Sub(poll.at)
	out.SilentMillis = uint64(elapsed.Milliseconds())

	if elapsed < unresponsiveAfter {
		out.State = wire.OutstandingState_OutstandingOld
	}

	return out
}

// unresponsiveAfter is the time since its last poll after which a process counts as
// unresponsive.
const unresponsiveAfter = 4 * time.Second
