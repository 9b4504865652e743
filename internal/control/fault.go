package control

import "github.com/twitchtv/twirp"

// OutcomeKey is the key of the twirp error metadata that holds the outcome of a proposal.
// The other constants are its values.
const (
	OutcomeKey     = "Fate"
	OutcomeUnknown = "Unknown"
	OutcomeNotDone = "NotDone"
)

// rpcError is an error as clients of this VM's services receive it.
type rpcError struct{ twirpError }

// twirpError is an alias under which the interface can be embedded: a field named Error
// would hide the method Error.
type twirpError = twirp.Error

func newRPCError(code twirp.ErrorCode, text string) rpcError {
	return rpcError{twirpError: twirp.NewError(code, text)}
}

// newProposalError returns an error with the outcome of the proposed command.
func newProposalError(code twirp.ErrorCode, text, outcome string) rpcError {
	return rpcError{twirpError: twirp.NewError(code, text).WithMeta(OutcomeKey, outcome)}
}

func missingField(field string) rpcError {
	return rpcError{twirpError: twirp.RequiredArgumentError(field)}
}
