package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

// outcome is the result of a request from the caller's point of view.
type outcome string

const (
	answered   outcome = "Answered"
	notRun     outcome = "NotRun"
	mayHaveRun outcome = "MayHaveRun"
	// truncated means that the answer broke off, and timedOut that it did so at the
	// caller's deadline. wrongAnswer means a complete answer that does not match the
	// request, or a refusal without a verdict.
	truncated   outcome = "Cut"
	timedOut    outcome = "Late"
	wrongAnswer outcome = "Wrong"
	failed      outcome = "Failed"
	notSent     outcome = "NotSent"
)

// result is the outcome of a request and its latencies.
type result struct {
	outcome outcome
	cause   string
	// firstToken is the time to the first token, total that to the end of the answer.
	firstToken time.Duration
	total      time.Duration
}

// maxBookingAttempts bounds how many times a caller sends a booking with the same idempotency
// key while the outcome is unknown.
const maxBookingAttempts = 4

// resendInterval is the time between two attempts of a booking.
const resendInterval = 200 * time.Millisecond

// deadlineTolerance is how much earlier than its caller an entry may end a request for
// its deadline.
const deadlineTolerance = 100 * time.Millisecond

func (g *Generator) sendDraft(ctx context.Context, q *request) result {
	prompt := "draft for " + q.ref
	body, _ := json.Marshal(testserver.DraftRequest{Prompt: prompt, Tokens: q.tokens})
	start := time.Now()

	resp, err := g.post(ctx, q, 0, g.DraftService+"/v1/drafts", body, "")
	if err != nil {
		return result{outcome: failed}
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}

	res := readDraft(resp.Body, prompt, q.tokens, start)
	if res.outcome == truncated && res.total >= g.Timeout-deadlineTolerance {
		res.outcome = timedOut
	}

	return res
}

func readDraft(body io.Reader, prompt string, tokens int, start time.Time) result {
	reader := bufio.NewReader(body)

	var (
		got bytes.Buffer
		res result
	)

	for {
		line, err := reader.ReadBytes('\n')
		if res.firstToken == 0 && len(line) > 0 {
			res.firstToken = time.Since(start)
		}

		got.Write(line)

		if err != nil {
			res.total = time.Since(start)
			res.outcome = checkDraft(got.String(), err, prompt, tokens)

			return res
		}
	}
}

func checkDraft(got string, err error, prompt string, tokens int) outcome {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return truncated
	}

	var want bytes.Buffer
	for n := 1; n <= tokens; n++ {
		want.WriteString(testserver.Event(prompt, n))
	}

	want.WriteString(testserver.LastEvent)

	if got != want.String() {
		return wrongAnswer
	}

	return answered
}

// sendBooking sends a booking. While the outcome is unknown, it resends the booking with
// the same idempotency key to the next entry.
func (g *Generator) sendBooking(ctx context.Context, q *request) result {
	body, _ := json.Marshal(testserver.BookingRequest{Ref: q.ref, Slot: q.slot()})
	start := time.Now()

	var res result

	for attempt := range maxBookingAttempts {
		res = g.attemptBooking(ctx, q, attempt, body)
		res.total = time.Since(start)

		if res.outcome != mayHaveRun && res.outcome != failed && res.outcome != truncated {
			return res
		}

		if !pauses.Sleep(ctx, resendInterval) {
			return res
		}
	}

	return res
}

func (g *Generator) attemptBooking(ctx context.Context, q *request, attempt int, body []byte) result {
	resp, err := g.post(ctx, q, attempt, g.BookingService+"/v1/bookings", body, "key-"+q.ref)
	if err != nil {
		return result{outcome: failed}
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusCreated {
		return readRefusal(resp)
	}

	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{outcome: truncated}
	}

	var b testserver.BookingResponse
	if json.Unmarshal(got, &b) != nil || b.Ref != q.ref || b.Slot != q.slot() {
		return result{outcome: wrongAnswer}
	}

	return result{outcome: answered}
}

func (g *Generator) post(ctx context.Context, q *request, attempt int, path string, body []byte, key string) (*http.Response, error) {
	base := g.Entries[(q.firstEntry+attempt)%len(g.Entries)]

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err //nolint:wrapcheck // only counted
	}

	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Parsleygate-Request-Id", q.ref+"-"+strconv.Itoa(attempt))
	r.Header.Set("Parsleygate-Workspace", q.workspace)
	r.Header.Set("Parsleygate-Timeout-Ms", strconv.FormatInt(g.Timeout.Milliseconds(), 10))

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	return g.client.Do(r) //nolint:wrapcheck // only counted
}

func readRefusal(resp *http.Response) result {
	res := result{outcome: wrongAnswer, cause: resp.Header.Get("Parsleygate-Cause")}

	switch resp.Header.Get("Parsleygate-Verdict") {
	case "NotRun":
		res.outcome = notRun
	case "MayHaveRun":
		res.outcome = mayHaveRun
	}

	_, _ = io.Copy(io.Discard, resp.Body)

	return res
}
