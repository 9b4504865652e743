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

// Status says, for each decision, where it is in force and who is outstanding.
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

// maxOldVersionUse is how long after it learnt of a version this VM can be sure that no
// process acts on an earlier one, whatever has become of their connections.
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

// acknowledgements is which processes acknowledged which version.
type acknowledgements struct {
	collected collectedPolls
	processes map[processKey]reportedPoll
	nodes     map[string]*wire.Node
}

// newAcknowledgements joins the directory with what was heard: a process that polled and
// is not in the directory yet, or that runs beside its successor, may act too.
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

// status tells where a decision is in force. That is true in two cases only.
// Either every process acknowledged the version, and every control VM said so
// and answers new polls with it; or the freshness lease of any process that was
// answered before the commit has run out, so that it refuses new work.
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

// unresponsiveAfter is how long after its last poll a process counts as silent.
const unresponsiveAfter = 4 * time.Second
