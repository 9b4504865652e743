package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/load"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

// fakeEntry is an entry whose answers to bookings and drafts are given by book and draft.
type fakeEntry struct {
	book  func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, attempt int)
	draft func(w http.ResponseWriter, d testserver.DraftRequest)

	mu       sync.Mutex
	runs     map[string]int
	attempts map[string]int
	requests []string
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()

	var d testserver.DraftRequest

	if strings.HasSuffix(r.URL.Path, "/v1/drafts") {
		_ = json.NewDecoder(r.Body).Decode(&d)
		f.requests = append(f.requests, fmt.Sprint(r.Header.Get("Parsleygate-Workspace"), d))
		f.draft(w, d)

		return
	}

	var b testserver.BookingRequest

	_ = json.NewDecoder(r.Body).Decode(&b)
	f.requests = append(f.requests, fmt.Sprint(r.Header.Get("Parsleygate-Workspace"), b))
	f.attempts[b.Ref]++
	f.book(f, w, b, f.attempts[b.Ref])
}

func (f *fakeEntry) recordRun(b testserver.BookingRequest) { f.runs[b.Ref]++ }

func answer(w http.ResponseWriter, b testserver.BookingRequest) {
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(testserver.BookingResponse{BookingID: "id", Ref: b.Ref, Slot: b.Slot})
}

func refuse(w http.ResponseWriter, v string) {
	w.Header().Set("Parsleygate-Verdict", v)
	w.Header().Set("Parsleygate-Cause", "Overload")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func completeDraft(d testserver.DraftRequest) string {
	var b strings.Builder
	for n := 1; n <= d.Tokens; n++ {
		b.WriteString(testserver.Event(d.Prompt, n))
	}

	return b.String() + testserver.LastEvent
}

func runLoad(t *testing.T, f *fakeEntry, bookingShare float64, phase func() string) *load.Report {
	t.Helper()

	f.runs, f.attempts = make(map[string]int), make(map[string]int)
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)

	g := &load.Generator{
		Entries: []string{server.URL}, DraftService: "assist", BookingService: "desk",
		Rate: 100, Duration: 100 * time.Millisecond, BookingShare: bookingShare, Tokens: 3, Workspaces: 3,
		Timeout: 5 * time.Second, Seed: 5, MaxInFlight: 64, Phase: phase,
		Runs: func(context.Context) (map[string]int, error) { return f.runs, nil },
	}
	r, err := g.Run(t.Context())
	require.NoError(t, err)

	return r
}

func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// The report must contain each violated guarantee about a booking, and must not report a
// violation for correct answers.
func TestBookings(t *testing.T) {
	t.Parallel()

	type outcome struct {
		duplicated, ranAfterNotRun, answeredNotRun, violated bool
		count                                                string
	}

	cases := []struct {
		name string
		book func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, attempt int)
		want outcome
	}{
		{"answered", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) {
			f.recordRun(b)
			answer(w, b)
		}, outcome{count: "Answered"}},
		{"ran twice", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) {
			f.recordRun(b)
			f.recordRun(b)
			answer(w, b)
		}, outcome{duplicated: true, violated: true, count: "Answered"}},
		{"ran after NotRun", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) {
			f.recordRun(b)
			refuse(w, "NotRun")
		}, outcome{ranAfterNotRun: true, violated: true, count: "NotRun"}},
		{"not run", func(_ *fakeEntry, w http.ResponseWriter, _ testserver.BookingRequest, _ int) { refuse(w, "NotRun") }, outcome{count: "NotRun"}},
		{"answered and not run", func(_ *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) { answer(w, b) }, outcome{answeredNotRun: true, violated: true, count: "Answered"}},
		{"may have run, and ran", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, attempt int) {
			if attempt == 1 {
				f.recordRun(b)
			}
			refuse(w, "MayHaveRun")
		}, outcome{count: "MayHaveRun"}},
		{"may have run, then NotRun, and ran", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, attempt int) {
			if attempt == 1 {
				f.recordRun(b)
				refuse(w, "MayHaveRun")
				return
			}
			refuse(w, "NotRun")
		}, outcome{ranAfterNotRun: true, violated: true, count: "NotRun"}},
		{"aborted, then NotRun, and ran", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, attempt int) {
			if attempt == 1 {
				f.recordRun(b)
				abort(w)
			}
			refuse(w, "NotRun")
		}, outcome{ranAfterNotRun: true, violated: true, count: "NotRun"}},
		{"run again at a resend", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, attempt int) {
			f.recordRun(b)
			if attempt == 1 {
				refuse(w, "MayHaveRun")
				return
			}
			answer(w, b)
		}, outcome{duplicated: true, violated: true, count: "Answered"}},
		{"answer to another booking", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) {
			f.recordRun(b)
			b.Ref = "other"
			answer(w, b)
		}, outcome{violated: true, count: "Wrong"}},
		{"answer for another slot", func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) {
			f.recordRun(b)
			b.Slot = "other"
			answer(w, b)
		}, outcome{violated: true, count: "Wrong"}},
		{"no verdict", func(_ *fakeEntry, w http.ResponseWriter, _ testserver.BookingRequest, _ int) {
			w.WriteHeader(http.StatusBadGateway)
		}, outcome{violated: true, count: "Wrong"}},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			r := runLoad(t, &fakeEntry{book: c.book}, 1, nil)
			got := outcome{duplicated: len(r.Duplicated) > 0, ranAfterNotRun: len(r.RanAfterNotRun) > 0, answeredNotRun: len(r.AnsweredNotRun) > 0, violated: r.HasViolations(), count: c.want.count}
			require.Equal(t, c.want, got)
			require.Positive(t, r.Count(c.want.count))
		})
	}
}

// A draft that is truncated, or mixed with another one, must not count as answered.
func TestDrafts(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name  string
		draft func(w http.ResponseWriter, d testserver.DraftRequest)
		count string
		want  bool
	}{
		{"complete", func(w http.ResponseWriter, d testserver.DraftRequest) { _, _ = w.Write([]byte(completeDraft(d))) }, "Answered", false},
		{"truncated", func(w http.ResponseWriter, d testserver.DraftRequest) {
			_, _ = w.Write([]byte(completeDraft(d)[:10]))
			_ = http.NewResponseController(w).Flush()
			abort(w)
		}, "Cut", false},
		{"truncated with a regular end", func(w http.ResponseWriter, d testserver.DraftRequest) { _, _ = w.Write([]byte(completeDraft(d)[:10])) }, "Wrong", true},
		{"answer to another prompt", func(w http.ResponseWriter, d testserver.DraftRequest) {
			d.Prompt = "other"
			_, _ = w.Write([]byte(completeDraft(d)))
		}, "Wrong", true},
		{"more tokens than requested", func(w http.ResponseWriter, d testserver.DraftRequest) {
			_, _ = w.Write([]byte(completeDraft(d) + completeDraft(d)))
		}, "Wrong", true},
		{"refused", func(w http.ResponseWriter, _ testserver.DraftRequest) { refuse(w, "NotRun") }, "NotRun", false},
		{"aborted before the response header", func(w http.ResponseWriter, _ testserver.DraftRequest) { abort(w) }, "Failed", false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			r := runLoad(t, &fakeEntry{draft: c.draft}, 0, nil)
			require.Equal(t, c.want, r.HasViolations())
			require.Positive(t, r.Count(c.count))
		})
	}
}

// The same seed sends the same requests, and each is counted in its phase.
func TestSeedAndPhases(t *testing.T) {
	t.Parallel()

	runSeed := func() ([]string, *load.Report) {
		f := &fakeEntry{
			book: func(f *fakeEntry, w http.ResponseWriter, b testserver.BookingRequest, _ int) {
				f.recordRun(b)
				answer(w, b)
			},
			draft: func(w http.ResponseWriter, d testserver.DraftRequest) { _, _ = w.Write([]byte(completeDraft(d))) },
		}
		n := 0
		r := runLoad(t, f, 0.5, func() string {
			n++

			return fmt.Sprintf("phase-%d", min(n, 2))
		})

		return slices.Sorted(slices.Values(f.requests)), r
	}

	first, r := runSeed()
	second, _ := runSeed()
	require.NotEmpty(t, first)
	require.Equal(t, first, second)

	phases := make(map[string]int)
	for _, row := range r.Rows {
		phases[row.Phase] += row.Counts["Answered"]
	}

	require.Equal(t, map[string]int{"phase-1": 1, "phase-2": len(first) - 1}, phases)

	var out strings.Builder

	r.Print(&out)
	require.Contains(t, out.String(), "Bookings: 0 doubled, 0 ran after NotRun, 0 answered but not run")
}
