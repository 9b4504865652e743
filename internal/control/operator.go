package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/intent"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Plan computes the changes that a declaration would make, and stores the plan for Confirm.
func (s *Server) Plan(ctx context.Context, r *wire.PlanRequest) (*wire.PlanResponse, error) {
	if r.GetOperator() == "" {
		return nil, missingField("Operator")
	}

	declaration, err := parseDeclaration(r.GetSource(), r.GetDeclaration())
	if err != nil {
		return nil, err
	}

	base, err := s.planBase()
	if err != nil {
		return nil, err
	}

	base.Loads = loadsByID(s.collectPolls(ctx))

	plan, err := declaration.Plan(base, r.GetOperator(), r.GetOverride())
	if err != nil {
		return nil, newRPCError(twirp.InvalidArgument, err.Error())
	}

	result, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_StorePlan{StorePlan: plan}})
	if err != nil {
		return nil, err
	}

	plan.ID = result.GetPlanID()

	return &wire.PlanResponse{Plan: plan}, nil
}

// Confirm carries out a plan under a number that the operators choose. A repeated
// confirmation with the same number and plan gets the first answer again. After an error
// with OutcomeUnknown the plan may have been carried out; confirming again under the same
// number is safe.
func (s *Server) Confirm(ctx context.Context, r *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	switch {
	case r.GetOperator() == "":
		return nil, missingField("Operator")
	case r.GetNumber() == 0:
		return nil, missingField("Number")
	case r.GetPlanID() == "":
		return nil, missingField("PlanID")
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

// History returns the retained decisions, latest first.
func (s *Server) History(_ context.Context, r *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	p := s.published.Load()

	return &wire.HistoryResponse{Entries: newestDecisions(p.decisions, r.GetLimit()), Floor: p.numberFloor}, nil
}

// Diff returns the differences between a declaration and the state.
func (s *Server) Diff(_ context.Context, r *wire.DiffRequest) (*wire.DiffResponse, error) {
	declaration, err := parseDeclaration(r.GetSource(), r.GetDeclaration())
	if err != nil {
		return nil, err
	}

	base, err := s.planBase()
	if err != nil {
		return nil, err
	}

	changes, err := declaration.Changes(base)
	if err != nil {
		return nil, newRPCError(twirp.InvalidArgument, err.Error())
	}

	return &wire.DiffResponse{
		Version:    base.Version,
		Changes:    changes,
		Undeclared: declaration.Undeclared(base),
	}, nil
}

func parseDeclaration(source string, data []byte) (*intent.Declaration, error) {
	d, err := intent.Parse(source, data)

	var e *intent.Error
	if errors.As(err, &e) {
		return nil, newRPCError(twirp.InvalidArgument, e.Error())
	}

	return d, err
}

// planBase returns the state that a plan starts from. It fails if this VM cannot show that
// its state is current: the state may lack, for example, a zone that was taken out long
// ago.
func (s *Server) planBase() (intent.Base, error) {
	if _, valid := s.age(time.Now()); !valid {
		return intent.Base{}, newProposalError(twirp.Unavailable,
			"this control VM cannot show that its state is current; ask another", OutcomeNotDone)
	}

	records := s.published.Load().records

	return intent.Base{Version: records.Version, Records: records.All(), StopBlocker: s.StopBlocker}, nil
}

func loadsByID(collected collectedPolls) map[string]*wire.NodeLoad {
	out := map[string]*wire.NodeLoad{}

	for _, poll := range collected.latest() {
		if poll.node.GetLoad() != nil {
			out[poll.node.GetID()] = poll.node.GetLoad()
		}
	}

	return out
}

// defaultHistoryLimit is the number of decisions returned if the request sets no limit.
const defaultHistoryLimit = 20

func newestDecisions(entries []*wire.DecisionEntry, limit uint32) []*wire.DecisionEntry {
	n := int(limit)
	if n == 0 {
		n = defaultHistoryLimit
	}

	out := make([]*wire.DecisionEntry, 0, min(n, len(entries)))
	for i := len(entries) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, entries[i])
	}

	return out
}
