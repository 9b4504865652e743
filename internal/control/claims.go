package control

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Claim claims the key of a non-idempotent request in the replicated state. An
// error with FateUnknown may have granted the claim; asking again for the same
// attempt is safe.
func (s *Server) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if err := checkKey(r.GetService(), r.GetKey()); err != nil {
		return nil, err
	}

	if r.GetHolder() != nil && r.GetHolder().GetAttemptID() == "" {
		return nil, missingField("Holder.AttemptID")
	}

	if len(r.GetBodyDigest()) == 0 {
		return nil, missingField("BodyDigest")
	}

	result, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_Claim{Claim: r}})
	if err != nil {
		return nil, err
	}

	return result.GetClaim(), nil
}

// Settle records what became of the attempt that holds a claim. It may be sent
// again after any error.
func (s *Server) Settle(ctx context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error) {
	if err := checkKey(r.GetService(), r.GetKey()); err != nil {
		return nil, err
	}

	if r.GetAttemptID() == "" {
		return nil, missingField("AttemptID")
	}

	result, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_Settle{Settle: r}})
	if err != nil {
		return nil, err
	}

	return result.GetSettle(), nil
}

func checkKey(service, key string) error {
	if service == "" {
		return missingField("Service")
	}

	if key == "" {
		return missingField("Key")
	}

	return nil
}

// propose commits a command. Where the log cannot tell whether it was
// committed, the error says so, and no caller may take it for a refusal.
func (s *Server) propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, newRPCError(twirp.InvalidArgument, err.Error())
	}

	_, raw, err := s.Propose(ctx, data)
	if err != nil {
		return nil, s.proposeError(err)
	}

	result := &wire.Result{}
	if err := proto.Unmarshal(raw, result); err != nil {
		return nil, newProposalError(twirp.Internal, err.Error(), OutcomeUnknown)
	}

	if result.GetFault() != "" {
		return nil, newProposalError(twirp.Internal, result.GetFault(), OutcomeNotDone)
	}

	return result, nil
}

func (s *Server) proposeError(err error) error {
	if s.NotProposed(err) {
		return newProposalError(twirp.Unavailable, "nothing was committed: "+err.Error(), OutcomeNotDone)
	}

	return newProposalError(twirp.Unavailable, "whether it was committed is unknown: "+err.Error(), OutcomeUnknown)
}
