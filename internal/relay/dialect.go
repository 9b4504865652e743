package relay

import (
	"net/http"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/routes"
)

// RequestInfo is what a caller says of its request beside method, path and body.
type RequestInfo struct {
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

// ForwardInfo is what a target is told beside the caller's own request.
type ForwardInfo struct {
	TargetID  string
	Workspace string
	Remaining time.Duration
	LastEvent string
}

// ResponseInfo is what a target says on the head of an answer beside the answer itself.
type ResponseInfo struct {
	// ID repeats the request's.
	ID string
	// Signed answers were made by a target for a request.
	Signed bool
	// NotRun: the target did not run the request and never will.
	NotRun bool
	// Misdirected: another target than the one that was meant answers at this address.
	Misdirected bool
	// Load is the target's, where it tells.
	Load    dispatch.Load
	HasLoad bool
	// AtFault names the target because of which this one refused; empty for none.
	AtFault string
}

// Dialect is how callers and targets of a deployment speak beside plain HTTP.
type Dialect struct {
	// ReadRequest reads the head of a caller's request.
	ReadRequest func(r *http.Request, now time.Time) (RequestInfo, error)
	// SetForwardHeaders sets the headers of a request to a target. Those of the caller that
	// only concern the system are taken off.
	SetForwardHeaders func(h http.Header, s ForwardInfo)
	// ReadResponse reads the head of a target's answer.
	ReadResponse func(status int, h http.Header) ResponseInfo
	// RetryAfter is the text of the header Retry-After.
	RetryAfter func(d time.Duration) string
	// EventTimeout is how long a caller waits for the next event of a stream, its first
	// included.
	EventTimeout func(r *routes.Route) time.Duration
}
