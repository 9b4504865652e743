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
	g := s.gather(ctx)
	now := time.Now()
	p := s.published.Load()
	age, fresh := s.age(now)
	out := &wire.StatusResponse{
		Version:      p.records.Version,
		Stale:        !fresh,
		AgeMillis:    uint64(age.Milliseconds()),
		NextNumber:   p.nextNumber(),
		PeersUnheard: g.unheard,
	}

	entries := newest(p.decisions, r.GetLimit())
	if r.GetNumber() != 0 {
		entries = slices.DeleteFunc(slices.Clone(p.decisions), func(e *wire.DecisionEntry) bool {
			return e.GetNumber() != r.GetNumber()
		})
	}

	if r.GetNumber() != 0 && len(entries) == 0 {
		return nil, newFault(twirp.NotFound, fmt.Sprintf("no decision %d is kept", r.GetNumber()))
	}

	reach := newReach(g, nodesOf(p.records))

	for _, entry := range entries {
		settled := now.Sub(p.learntAt(entry.GetVersion())) > s.Settings.worstCase()
		out.Decisions = append(out.Decisions, reach.status(now, entry, settled))
	}

	return out, nil
}

// worstCase is how long after it learnt of a version this VM can be sure that no
// process acts on an earlier one, whatever has become of their connections.
func (s *Settings) worstCase() time.Duration { return s.Lease + s.MaxCreditLifetime + s.ClockMargin }

func (p *published) nextNumber() uint64 {
	next := p.floor + 1
	for _, entry := range p.decisions {
		next = max(next, entry.GetNumber()+1)
	}

	return next
}

// reach is which processes acknowledged which version.
type reach struct {
	gathered  gathering
	processes map[process]sighting
	nodes     map[string]*wire.Node
}

// newReach joins the directory with what was heard: a process that polled and
// is not in the directory yet, or that runs beside its successor, may act too.
func newReach(g gathering, nodes map[string]*wire.Node) *reach {
	r := &reach{gathered: g, processes: g.latest(), nodes: nodes}

	for id, node := range nodes {
		name := process{id: id, incarnation: node.GetIncarnation()}
		if _, ok := r.processes[name]; !ok {
			r.processes[name] = sighting{node: &wire.HeardNode{ID: id, Incarnation: name.incarnation}}
		}
	}

	return r
}

// status tells where a decision is in force. That is true in two cases only.
// Either every process acknowledged the version, and every control VM said so
// and answers new polls with it; or the freshness lease of any process that was
// answered before the commit has run out, so that it refuses new work.
func (r *reach) status(now time.Time, entry *wire.DecisionEntry, settled bool) *wire.DecisionStatus {
	out := &wire.DecisionStatus{Entry: entry, Live: uint32(len(r.processes))}

	if entry.GetState() != wire.DecisionState_DecisionMade {
		out.Why = "it changed nothing"
		return out
	}

	for name, seen := range r.processes {
		if seen.node.GetKnownVersion() >= entry.GetVersion() {
			out.Acknowledged++
			continue
		}

		out.Outstanding = append(out.Outstanding, r.outstanding(now, name, seen))
	}

	slices.SortFunc(out.Outstanding, func(a, b *wire.Outstanding) int {
		return cmp.Compare(a.GetNodeID(), b.GetNodeID())
	})

	out.InForce, out.Why = r.inForce(entry.GetVersion(), len(out.Outstanding), settled)

	return out
}

func (r *reach) inForce(version uint64, outstanding int, settled bool) (inForce bool, why string) {
	switch {
	case settled && outstanding == 0:
		return true, "every process acknowledged it"
	case settled:
		return true, "processes that did not acknowledge it refuse new work: their freshness lease ran out"
	case outstanding > 0:
		return false, fmt.Sprintf("%d processes have neither acknowledged it nor lost their freshness lease", outstanding)
	case len(r.gathered.unheard) > 0:
		return false, "control VMs did not say whom they heard: " + strings.Join(r.gathered.unheard, ", ")
	case r.gathered.version < version:
		return false, "a control VM still answers polls with an earlier version"
	default:
		return true, "every process acknowledged it"
	}
}

func (r *reach) outstanding(now time.Time, name process, seen sighting) *wire.Outstanding {
	node := r.nodes[name.id]
	out := &wire.Outstanding{
		NodeID:       name.id,
		Kind:         node.GetKind(),
		Zone:         node.GetZone(),
		KnownVersion: seen.node.GetKnownVersion(),
		State:        wire.OutstandingState_OutstandingSilent,
	}

	if seen.at.IsZero() {
		return out
	}

	silent := now.Sub(seen.at)
	out.SilentMillis = uint64(silent.Milliseconds())

	if silent < silentAfter {
		out.State = wire.OutstandingState_OutstandingOld
	}

	return out
}

// silentAfter is how long after its last poll a process counts as silent.
const silentAfter = 4 * time.Second
