package relay

import (
	"net/http"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/routes"
)

// Call is what a caller says of its request beside method, path and body.
type Call struct {
	// ID is the caller's own name of this try; answers carry it.
	ID  string
	Key string
	// Deadline is when the caller stops waiting; zero where it does not say.
	Deadline time.Time
	// LastEvent is the event after which a stream is to go on; empty for its beginning.
	LastEvent string
	// PromptTokens and AnswerTokens are the size of a draft; zero where unknown.
	PromptTokens int
	AnswerTokens int
}

// Send is what a target is told beside the caller's own request.
type Send struct {
	TargetID  string
	Workspace string
	Left      time.Duration
	LastEvent string
}

// Word is what a target says on the head of an answer beside the answer itself.
type Word struct {
	// ID repeats the request's.
	ID string
	// Signed answers were made by a target for a request.
	Signed bool
	// NotRun: the target did not run the request and never will.
	NotRun bool
	// Moved: another target than the one that was meant answers at this address.
	Moved bool
	// Load is the target's, where it tells.
	Load    dispatch.Load
	HasLoad bool
	// AtFault names the target because of which this one refused; empty for none.
	AtFault string
}

// Dialect is how callers and targets of a deployment speak beside plain HTTP.
type Dialect struct {
	// ReadCall reads the head of a caller's request.
	ReadCall func(r *http.Request, now time.Time) (Call, error)
	// PutSend sets the headers of a request to a target. Those of the caller that
	// only concern the system are taken off.
	PutSend func(h http.Header, s Send)
	// ReadWord reads the head of a target's answer.
	ReadWord func(status int, h http.Header) Word
	// RetryAfter is the text of the header Retry-After.
	RetryAfter func(d time.Duration) string
	// Patience is how long a caller waits for the next event of a stream, its first
	// included.
	Patience func(r *routes.Route) time.Duration
}
