package control

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Claim claims the key of a non-idempotent request in the replicated state. If the error
// has OutcomeUnknown, the claim may have been granted; retrying with the same attempt ID is
// safe.
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

// Settle records the outcome of the attempt that holds a claim. Retrying after any error is
// safe.
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

// propose commits a command. Its errors carry the outcome: with OutcomeUnknown the command
// may have been committed, so the caller must not treat the error as a rejection.
func (s *Server) propose(ctx context.Context, command *wire.Command) (*wire.Result, error) {
	return s.proposeBy(ctx, s.Propose, command)
}

// proposeBy commits a command by one of the functions of the log.
func (s *Server) proposeBy(ctx context.Context, propose func(context.Context, []byte) (uint64, []byte, error), command *wire.Command) (*wire.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, newRPCError(twirp.InvalidArgument, err.Error())
	}

	_, raw, err := propose(ctx, data)
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
