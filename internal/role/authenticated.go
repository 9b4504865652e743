package role

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// authenticatedControl requires that a process reports under the name in its
// certificate. Otherwise one process could report another one as leaving, and so take
// it out of service.
type authenticatedControl struct {
	*control.Server
}

// Poll implements wire.Control.
func (s *authenticatedControl) Poll(ctx context.Context, r *wire.PollRequest) (*wire.PollResponse, error) {
	if name := identity.PeerName(ctx); name != "" && name != r.GetNode().GetID() {
		return nil, twirp.NewErrorf(twirp.PermissionDenied, "the certificate is of %s, the report of %s", name, r.GetNode().GetID())
	}

	return s.Server.Poll(ctx, r)
}

// authenticatedOperator records operators by the names in their certificates, so that
// the history does not depend on the name that the command sent.
type authenticatedOperator struct {
	*control.Server
}

// Plan implements wire.Operator.
func (s *authenticatedOperator) Plan(ctx context.Context, r *wire.PlanRequest) (*wire.PlanResponse, error) {
	r.Operator = operatorName(ctx, r.GetOperator())

	return s.Server.Plan(ctx, r)
}

// Confirm implements wire.Operator.
func (s *authenticatedOperator) Confirm(ctx context.Context, r *wire.ConfirmRequest) (*wire.ConfirmResponse, error) {
	r.Operator = operatorName(ctx, r.GetOperator())

	return s.Server.Confirm(ctx, r)
}

func operatorName(ctx context.Context, claimed string) string {
	if name := identity.PeerName(ctx); name != "" {
		return name
	}

	return claimed
}
