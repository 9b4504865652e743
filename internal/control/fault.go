package control

import "github.com/twitchtv/twirp"

// The values of the twirp error metadata FateKey: what became of a proposal.
const (
	OutcomeKey     = "Fate"
	OutcomeUnknown = "Unknown"
	OutcomeNotDone = "NotDone"
)

// rpcError is an error as callers of this VM's services get it.
type rpcError struct{ twirpError }

// twirpError renames the interface, so that embedding it leaves Error a method.
type twirpError = twirp.Error

func newRPCError(code twirp.ErrorCode, text string) rpcError {
	return rpcError{twirpError: twirp.NewError(code, text)}
}

// newProposalError is a fault that says what became of the proposed command.
func newProposalError(code twirp.ErrorCode, text, outcome string) rpcError {
	return rpcError{twirpError: twirp.NewError(code, text).WithMeta(OutcomeKey, outcome)}
}

func missingField(field string) rpcError {
	return rpcError{twirpError: twirp.RequiredArgumentError(field)}
}
