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

// outcome is what a caller saw of one request.
type outcome string

const (
	answered outcome = "Answered"
	notRun   outcome = "NotRun"
	unsure   outcome = "MayHaveRun"
	// cut answers broke off; late ones did at their caller's own deadline; wrong
	// ones ended but are not the request's own.
	cut     outcome = "Cut"
	late    outcome = "Late"
	wrong   outcome = "Wrong"
	failed  outcome = "Failed"
	notSent outcome = "NotSent"
)

// result is one request's outcome with its times.
type result struct {
	outcome outcome
	cause   string
	// first and total are the waits for the first token and for the whole answer.
	first time.Duration
	total time.Duration
}

// maxSends is how often a caller sends a booking under the same key while it
// does not know what became of it.
const maxSends = 4

// resendPause is how long such a caller waits between two sends.
const resendPause = 200 * time.Millisecond

// lateSlack is how long before its caller's clock an entry's may end the wait.
const lateSlack = 100 * time.Millisecond

func (l *Generator) draft(ctx context.Context, q *request) result {
	prompt := "draft for " + q.ref
	body, _ := json.Marshal(testserver.DraftRequest{Prompt: prompt, Tokens: q.tokens})
	start := time.Now()

	resp, err := l.post(ctx, q, 0, l.DraftService+"/v1/drafts", body, "")
	if err != nil {
		return result{outcome: failed}
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}

	res := readDraft(resp.Body, prompt, q.tokens, start)
	if res.outcome == cut && res.total >= l.Timeout-lateSlack {
		res.outcome = late
	}

	return res
}

func readDraft(body io.Reader, prompt string, tokens int, start time.Time) result {
	in := bufio.NewReader(body)

	var (
		got bytes.Buffer
		res result
	)

	for {
		line, err := in.ReadBytes('\n')
		if res.first == 0 && len(line) > 0 {
			res.first = time.Since(start)
		}

		got.Write(line)

		if err != nil {
			res.total = time.Since(start)
			res.outcome = judgeDraft(got.String(), err, prompt, tokens)

			return res
		}
	}
}

func judgeDraft(got string, err error, prompt string, tokens int) outcome {
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return cut
	}

	var want bytes.Buffer
	for n := 1; n <= tokens; n++ {
		want.WriteString(testserver.Event(prompt, n))
	}

	want.WriteString(testserver.LastEvent)

	if got != want.String() {
		return wrong
	}

	return answered
}

// book sends a booking, again under the same key and through other entries
// while its caller does not know what became of it.
func (l *Generator) book(ctx context.Context, q *request) result {
	body, _ := json.Marshal(testserver.BookingRequest{Ref: q.ref, Slot: q.slot()})
	start := time.Now()

	var res result

	for try := range maxSends {
		res = l.bookOnce(ctx, q, try, body)
		res.total = time.Since(start)

		if res.outcome != unsure && res.outcome != failed && res.outcome != cut {
			return res
		}

		if !pauses.Sleep(ctx, resendPause) {
			return res
		}
	}

	return res
}

func (l *Generator) bookOnce(ctx context.Context, q *request, try int, body []byte) result {
	resp, err := l.post(ctx, q, try, l.BookingService+"/v1/bookings", body, "key-"+q.ref)
	if err != nil {
		return result{outcome: failed}
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusCreated {
		return refused(resp)
	}

	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{outcome: cut}
	}

	var b testserver.BookingResponse
	if json.Unmarshal(got, &b) != nil || b.Ref != q.ref || b.Slot != q.slot() {
		return result{outcome: wrong}
	}

	return result{outcome: answered}
}

func (l *Generator) post(ctx context.Context, q *request, try int, path string, body []byte, key string) (*http.Response, error) {
	base := l.Entries[(q.first+try)%len(l.Entries)]

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err //nolint:wrapcheck // only counted
	}

	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Parsleygate-Request-Id", q.ref+"-"+strconv.Itoa(try))
	r.Header.Set("Parsleygate-Workspace", q.workspace)
	r.Header.Set("Parsleygate-Timeout-Ms", strconv.FormatInt(l.Timeout.Milliseconds(), 10))

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	return l.client.Do(r) //nolint:wrapcheck // only counted
}

func refused(resp *http.Response) result {
	res := result{outcome: wrong, cause: resp.Header.Get("Parsleygate-Cause")}

	switch resp.Header.Get("Parsleygate-Verdict") {
	case "NotRun":
		res.outcome = notRun
	case "MayHaveRun":
		res.outcome = unsure
	}

	_, _ = io.Copy(io.Discard, resp.Body)

	return res
}
