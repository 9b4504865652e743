package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Refusal is the response body of a request that has no answer.
type Refusal struct {
	RequestID string
	// Verdict is NotRun, MayHaveRun or Ran.
	Verdict string
	Cause   verdict.Cause
	// RetryAfterSeconds is the time after which a retry may succeed, or 0 if none is
	// known.
	RetryAfterSeconds int    `json:",omitempty"`
	Detail            string `json:",omitempty"`
}

// httpStatus returns the HTTP status for a refusal.
func httpStatus(err *verdict.Error) int {
	switch err.Cause {
	case verdict.CauseUnknownService:
		return http.StatusNotFound
	case verdict.CauseMalformed:
		return http.StatusBadRequest
	case verdict.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CauseKeyConflict:
		return http.StatusUnprocessableEntity
	case verdict.CauseKeyBusy:
		return http.StatusConflict
	case verdict.CauseOverload, verdict.CauseColdLimit:
		return http.StatusTooManyRequests
	case verdict.CauseDeadline:
		return http.StatusGatewayTimeout
	default:
		return httpStatusOfVerdict(err.Verdict)
	}
}

func httpStatusOfVerdict(v verdict.Verdict) int {
	if v == verdict.NotRun {
		return http.StatusServiceUnavailable
	}

	return http.StatusBadGateway
}

func writeRefusal(w http.ResponseWriter, id string, err *verdict.Error) {
	body := Refusal{RequestID: id, Verdict: err.Verdict.String(), Cause: err.Cause}
	if err.Err != nil {
		body.Detail = err.Err.Error()
	}

	h := w.Header()
	h.Set(HeaderVerdict, body.Verdict)
	h.Set(HeaderCause, string(err.Cause))
	h.Set("Content-Type", "application/json")

	if !err.RetryAt.IsZero() {
		seconds := math.Ceil(time.Until(err.RetryAt).Seconds())
		body.RetryAfterSeconds = max(1, int(seconds))
		h.Set("Retry-After", strconv.Itoa(body.RetryAfterSeconds))
	}

	w.WriteHeader(httpStatus(err))
	_ = json.NewEncoder(w).Encode(body)
}
