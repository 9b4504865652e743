package control

import "github.com/twitchtv/twirp"

// The values of the twirp error metadata FateKey: what became of a proposal.
const (
	OutcomeKey     = "Fate"
	OutcomeUnknown = "Unknown"
	OutcomeNotDone = "NotDone"
)

// fault is an error as callers of this VM's services get it.
type fault struct{ twirpError }

// twirpError renames the interface, so that embedding it leaves Error a method.
type twirpError = twirp.Error

func newFault(code twirp.ErrorCode, text string) fault {
	return fault{twirpError: twirp.NewError(code, text)}
}

// proposalFault is a fault that says what became of the proposed command.
func proposalFault(code twirp.ErrorCode, text, fate string) fault {
	return fault{twirpError: twirp.NewError(code, text).WithMeta(OutcomeKey, fate)}
}

func missing(field string) fault {
	return fault{twirpError: twirp.RequiredArgumentError(field)}
}
