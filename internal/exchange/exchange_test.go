package exchange_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// script drives one exchange by the lines of a test file. Each line is a report to the
// exchange. Its output is the action that the exchange returns.
type script struct {
	start  time.Time
	now    time.Time
	budget int
	e      *exchange.Exchange
}

func TestExchange(t *testing.T) {
	t.Parallel()

	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{start: time.Unix(1000, 0)}

		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "request":
				return s.request(d)
			case "reports":
				return s.reports(t, d.Input)
			default:
				t.Fatalf("unknown command %s", d.Cmd)

				return ""
			}
		})
	})
}

func (s *script) request(d *datadriven.TestData) string {
	s.now = s.start
	s.budget = 10

	if d.HasArg("no-budget") {
		s.budget = 0
	}

	s.e = &exchange.Exchange{
		Idempotent: d.HasArg("idempotent"),
		Keyed:      d.HasArg("keyed"),
		Resumable:  d.HasArg("resumable"),
		Deadline:   s.start.Add(10 * time.Second),
		Retry: func(now time.Time, _ *verdict.Error, attempts int) (time.Time, bool) {
			s.budget--

			return now, s.budget >= 0 && attempts < 4 && now.Before(s.start.Add(10*time.Second))
		},
	}

	return s.actionLine(s.e.Start(s.now))
}

func (s *script) reports(t *testing.T, input string) string {
	t.Helper()

	var out strings.Builder
	for line := range strings.Lines(input) {
		out.WriteString(s.actionLine(s.report(t, strings.Fields(line))))
	}

	return out.String()
}

func (s *script) report(t *testing.T, words []string) exchange.Action {
	t.Helper()

	arg := func(n int) string {
		if n < len(words) {
			return words[n]
		}

		return ""
	}

	switch words[0] {
	case "after":
		d, err := time.ParseDuration(arg(1))
		if err != nil {
			t.Fatal(err)
		}

		s.now = s.now.Add(d)

		return s.report(t, words[2:])
	case "chosen":
		return s.e.Chosen(&wire.ClaimHolder{AttemptID: arg(1)})
	case "no-target":
		return s.e.NoTarget(verdict.Refuse(verdict.CauseNoTarget, s.retryAt(arg(1))))
	case "claimed":
		return s.e.Claimed(s.now, claimResponse(arg(1), arg(2)))
	case "looked-up":
		return s.e.LookedUp(s.now, claimResponse(arg(1), arg(2)))
	case "claim-failed":
		return s.e.ClaimFailed(s.now)
	case "ended":
		return s.e.Ended(s.now, attemptOutcome(words[1:]))
	case "asked":
		return s.e.AttemptQueried(s.now, askResponse(arg(1), arg(2)))
	case "ask-failed":
		return s.e.QueryFailed(s.now)
	default:
		t.Fatalf("unknown report %v", words)

		return exchange.Action{}
	}
}

// retryAt returns the time at which a refusal permits a retry, or zero for "".
func (s *script) retryAt(after string) time.Time {
	d, err := time.ParseDuration(after)
	if err != nil {
		return time.Time{}
	}

	return s.now.Add(d)
}

func claimResponse(state, arg string) *wire.ClaimResponse {
	r := &wire.ClaimResponse{State: wire.ClaimState(wire.ClaimState_value["Claim"+state])}

	switch r.State {
	case wire.ClaimState_ClaimOpen:
		r.Holder = &wire.ClaimHolder{AttemptID: arg}
	case wire.ClaimState_ClaimRecorded:
		r.Answer = &wire.Answer{Body: []byte(arg)}
	default:
	}

	return r
}

func askResponse(state, body string) *wire.AskResponse {
	r := &wire.AskResponse{State: wire.AskState(wire.AskState_value["Ask"+state])}
	if body != "" {
		r.Answer = &wire.Answer{Body: []byte(body)}
	}

	return r
}

func attemptOutcome(words []string) exchange.Outcome {
	outcome := exchange.Outcome{Err: &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent}}

	for _, word := range words {
		switch word {
		case "whole":
			outcome.Complete = true
			outcome.Err = nil
			outcome.Answer = &wire.Answer{Body: []byte("fresh")}
		case "relayed":
			outcome.Relayed = true
		case "caller-gone":
			outcome.CallerDisconnected = true
		case "silent":
		default:
			outcome.Err = verdict.Refuse(verdict.Cause(word), time.Time{})
		}
	}

	return outcome
}

func (s *script) actionLine(a exchange.Action) string {
	return s.describe(a) + "\n"
}

func (s *script) describe(a exchange.Action) string {
	switch a.Kind {
	case exchange.Choose:
		return fmt.Sprintf("Choose%s%s", textIf(a.Resume, " to resume"), textIf(a.At.After(s.now), " at "+a.At.Sub(s.start).String()))
	case exchange.Claim:
		return fmt.Sprintf("Claim replacing %q", a.Replaces)
	case exchange.Send:
		return fmt.Sprintf("Send%s", textIf(a.Resume, " to resume"))
	case exchange.QueryAttempt:
		return fmt.Sprintf("Ask %s at %s", a.Holder.GetAttemptID(), a.At.Sub(s.start))
	case exchange.LookUp:
		return "LookUp"
	case exchange.Settle:
		return fmt.Sprintf("Settle %s %s, then %s", a.Attempt, a.Verdict, s.describe(*a.Then))
	case exchange.Deliver:
		return fmt.Sprintf("Deliver %q", a.Answer.GetBody())
	case exchange.Finish:
		if a.Err == nil {
			return "Finish whole"
		}

		return fmt.Sprintf("Finish %v", a.Err)
	default:
		return "nothing"
	}
}

func textIf(b bool, s string) string {
	if b {
		return s
	}

	return ""
}
