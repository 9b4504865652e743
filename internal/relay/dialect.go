package relay

import (
	"net/http"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/routes"
)

// RequestInfo holds the request headers of a caller that the relay evaluates.
type RequestInfo struct {
	// ID is the ID that the caller gave to this attempt. Answers repeat it.
	ID  string
	Key string
	// Deadline is when the caller stops waiting; zero if not given.
	Deadline time.Time
	// LastEvent is the ID of the event after which the stream resumes; empty to start at the
	// beginning.
	LastEvent string
	// PromptTokens and AnswerTokens are the size of a generation request; zero if unknown.
	PromptTokens int
	AnswerTokens int
	// LengthHint is the caller's estimate of the tokens that will be generated; zero if it gave
	// none that can be read.
	LengthHint int
	// PromptParts are the IDs of the parts of the prompt in their order, except for the last one. OwnPart
	// is the last one, which belongs to the request alone or to its session; empty if there is none.
	PromptParts []string
	OwnPart     string
	// ContentHeaders are the values of the headers that, together with the body, determine the answer.
	ContentHeaders []string
}

// ForwardInfo holds the values that the relay adds to a forwarded request as headers.
type ForwardInfo struct {
	TargetID  string
	Workspace string
	Remaining time.Duration
	LastEvent string
	// EnginePriority is the priority of the request for the engine, 0 first; valid if
	// HasEnginePriority is set.
	EnginePriority    int
	HasEnginePriority bool
}

// ResponseInfo holds what the relay evaluates in the head of a target's response.
type ResponseInfo struct {
	// ID is the ID of the request that the target answers.
	ID string
	// Signed is set if the response carries a target's signature.
	Signed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Misdirected is set if a target other than the intended one answers at this address.
	Misdirected bool
	// Load is the target's load; valid if HasLoad is set.
	Load    dispatch.Load
	HasLoad bool
	// RateLimit is the limit that the target states. RateLimitError is set if it cannot be read,
	// which says nothing about a limit.
	RateLimit      dispatch.RateLimit
	RateLimitError error
	// Rest is how long the target, which turned the request away, wants no more requests of this
	// entry; zero if it does not ask for that. RestError is set if it cannot be read.
	Rest      time.Duration
	RestError error
	// Leaving is set if the target is about to end. LeavingError is set if it cannot be read.
	Leaving      bool
	LeavingError error
	// AtFault is the ID of the target that made this one refuse; empty if there is none.
	AtFault string
}

// Dialect implements the header conventions and timeouts that a deployment's callers and
// targets use on top of HTTP.
type Dialect struct {
	// ReadRequest decodes the headers of a caller's request that arrived at now.
	ReadRequest func(r *http.Request, now time.Time) (RequestInfo, error)
	// SetForwardHeaders sets the headers of a request to a target, and removes those of the
	// caller that are meant for the load balancer only.
	SetForwardHeaders func(h http.Header, info ForwardInfo)
	// ReadResponse decodes the head of a target's response.
	ReadResponse func(status int, h http.Header) ResponseInfo
	// RetryAfter formats the value of the Retry-After header.
	RetryAfter func(d time.Duration) string
	// EventTimeout returns how long a caller waits for the first or the next event of a
	// stream before it disconnects.
	EventTimeout func(r *routes.Route) time.Duration
}
