package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/intent"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Plan works out what a declaration would change, and keeps the plan for Confirm.
func (s *Server) Plan(ctx context.Context, r *wire.PlanRequest) (*wire.PlanResponse, error) {
	if r.GetOperator() == "" {
		return nil, missing("Operator")
	}

	declaration, err := declare(r.GetSource(), r.GetDeclaration())
	if err != nil {
		return nil, err
	}

	base, err := s.currentBase()
	if err != nil {
		return nil, err
	}

	base.Loads = loadsOf(s.gather(ctx))

	plan, err := declaration.Plan(base, r.GetOperator(), r.GetOverride())
	if err != nil {
		return nil, newFault(twirp.InvalidArgument, err.Error())
	}

	result, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_StorePlan{StorePlan: plan}})
	if err != nil {
		return nil, err
	}

	plan.ID = result.GetPlanID()

	return &wire.PlanResponse{Plan: plan}, nil
}

// Confirm carries out a plan under a number of the operators' own. The same
// number and content gets the first answer again. An error with FateUnknown may
// have decided; confirming again under the same number is safe.
func (s *Server) Confirm(ctx context.Context, r *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	switch {
	case r.GetOperator() == "":
		return nil, missing("Operator")
	case r.GetNumber() == 0:
		return nil, missing("Number")
	case r.GetPlanID() == "":
		return nil, missing("PlanID")
	}

	result, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_Decision{Decision: &wire.Decision{
		Operator:     r.GetOperator(),
		Number:       r.GetNumber(),
		PlanID:       r.GetPlanID(),
		AtUnixMillis: time.Now().UnixMilli(),
	}}})
	if err != nil {
		return nil, err
	}

	return &wire.ConfirmResponse{Answer: result.GetDecision()}, nil
}

// History returns the kept decisions, the latest first.
func (s *Server) History(_ context.Context, r *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	p := s.published.Load()

	return &wire.HistoryResponse{Entries: newest(p.decisions, r.GetLimit()), Floor: p.floor}, nil
}

// Diff compares a declaration with the state.
func (s *Server) Diff(_ context.Context, r *wire.DiffRequest) (*wire.DiffResponse, error) {
	declaration, err := declare(r.GetSource(), r.GetDeclaration())
	if err != nil {
		return nil, err
	}

	base, err := s.currentBase()
	if err != nil {
		return nil, err
	}

	changes, err := declaration.Changes(base)
	if err != nil {
		return nil, newFault(twirp.InvalidArgument, err.Error())
	}

	return &wire.DiffResponse{
		Version:    base.Version,
		Changes:    changes,
		Undeclared: declaration.Undeclared(base),
	}, nil
}

func declare(source string, data []byte) (*intent.Declaration, error) {
	d, err := intent.Parse(source, data)

	var e *intent.Error
	if errors.As(err, &e) {
		return nil, newFault(twirp.InvalidArgument, e.Error())
	}

	return d, err
}

// currentBase returns the state for a plan. A control VM that cannot show that
// its state is current makes none: it may lack a zone that went out long ago.
func (s *Server) currentBase() (intent.Base, error) {
	if _, fresh := s.age(time.Now()); !fresh {
		return intent.Base{}, proposalFault(twirp.Unavailable,
			"this control VM cannot show that its state is current; ask another", OutcomeNotDone)
	}

	records := s.published.Load().records

	return intent.Base{Version: records.Version, Records: records.All(), StopBlocker: s.StopUnsafe}, nil
}

func loadsOf(g gathering) map[string]*wire.NodeLoad {
	out := map[string]*wire.NodeLoad{}

	for _, s := range g.latest() {
		if s.node.GetLoad() != nil {
			out[s.node.GetID()] = s.node.GetLoad()
		}
	}

	return out
}

// defaultLimit is how many decisions are returned where no limit is given.
const defaultLimit = 20

func newest(entries []*wire.DecisionEntry, limit uint32) []*wire.DecisionEntry {
	n := int(limit)
	if n == 0 {
		n = defaultLimit
	}

	out := make([]*wire.DecisionEntry, 0, min(n, len(entries)))
	for i := len(entries) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, entries[i])
	}

	return out
}
