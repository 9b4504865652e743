package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an end of an event that is missed or invented where a piece of the stream
// ends, for each kind of line end.
func TestScannerFindsEventsInAnyPieces(t *testing.T) {
	t.Parallel()

	cases := []struct {
		stream string
		// complete is the part of the stream that belongs to complete events.
		complete string
		lastID   string
	}{
		{"", "", ""},
		{"\n", "\n", ""},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2"},
		{"id: 1\ndata: a\n\n\n", "id: 1\ndata: a\n\n\n", "1"},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 1\ndata: a\n\n", "1"},
		{"id: 1\ndata: a\n\nid: 2", "id: 1\ndata: a\n\n", "1"},
		{"id:1\n\ndata: without an ID\n\n", "id:1\n\ndata: without an ID\n\n", "1"},
		{"id: 1\n\nidentity: 2\n\nxid: 3\n\n: id: 4\n\n", "id: 1\n\nidentity: 2\n\nxid: 3\n\n: id: 4\n\n", "1"},
		{"id: a b \n\nid\n\n", "id: a b \n\nid\n\n", "a b"},
		{": comment\n", "", ""},
	}

	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for _, tc := range cases {
			stream := strings.ReplaceAll(tc.stream, "\n", lineEnd)
			complete := strings.ReplaceAll(tc.complete, "\n", lineEnd)

			for size := 1; size <= len(stream)+1; size++ {
				t.Run(fmt.Sprintf("%q in pieces of %d", stream, size), func(t *testing.T) {
					t.Parallel()

					var (
						s   Scanner
						end int
					)

					for from := 0; from < len(stream); from += size {
						piece := stream[from:min(from+size, len(stream))]
						if n := s.Scan([]byte(piece)); n > 0 {
							end = from + n
						}
					}

					require.Equal(t, complete, stream[:end])
					require.Equal(t, tc.lastID, s.LastID())
					require.Equal(t, complete != stream, s.InsideEvent())
				})
			}
		}
	}
}

// Guards against memory that grows with an endless id line.
func TestScannerBoundsIDLines(t *testing.T) {
	t.Parallel()

	var s Scanner

	s.Scan([]byte("id: " + strings.Repeat("1", 3*maxIDLine) + "\n\n"))
	require.Less(t, len(s.LastID()), maxIDLine)
	require.LessOrEqual(t, cap(s.idLine), 2*maxIDLine)
	require.False(t, s.InsideEvent())
}

// Guards against the ID of an event that was not complete when its stream was broken off.
func TestScannerInterrupt(t *testing.T) {
	t.Parallel()

	var s Scanner

	s.Scan([]byte("id: 1\n\nid: 2\nda"))
	s.Interrupt()
	require.False(t, s.InsideEvent())

	s.Scan([]byte("data: a\n\n"))
	require.Equal(t, "1", s.LastID())
}

// Guards against a stream that is not recognized by its header, and against reading other
// bytes as events.
func TestIsReadable(t *testing.T) {
	t.Parallel()

	cases := []struct {
		contentType, contentEncoding string
		stream, readable             bool
	}{
		{"text/event-stream", "", true, true},
		{"Text/Event-Stream ; charset=utf-8", "Identity", true, true},
		{"text/event-stream", "gzip", true, false},
		{"text/event-streams", "", false, false},
		{"", "", false, false},
	}
	for _, tc := range cases {
		require.Equal(t, tc.stream, IsStream(tc.contentType), tc)
		require.Equal(t, tc.readable, IsReadable(tc.contentType, tc.contentEncoding), tc)
	}
}

// Guards against a resumed stream that counts as continued although its caller has all of it.
func TestScannerSeesNewEvents(t *testing.T) {
	t.Parallel()

	cases := []struct {
		after, stream string
		want          bool
	}{
		{"", "", false},
		{"", ": comment\n\n\n", false},
		{"", "data: a\n", false},
		{"", "data: a\n\n", true},
		{"", "id: 1\ndata: a\n\n", true},
		{"2", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		{"2", "id: 2\n\n: id: 3\n\n", false},
		{"2", "id: 2\n\nid: 3\n\n", true},
		{"9", "id: 10\n\n", true},
		{"2", "id: 2\n\ndata: without an ID\n\n", true},
		{"b", "id: b\n\n", false},
		{"b", "id: c\n\n", true},
	}
	for _, tc := range cases {
		s := Scanner{After: tc.after}
		s.Scan([]byte(tc.stream))
		require.Equal(t, tc.want, s.SawNew(), "%+v", tc)
	}
}

// Guards against resuming after an earlier event than the caller has, because the last target
// repeated some.
func TestScannerKeepsLastIDOfRepeatedEvents(t *testing.T) {
	t.Parallel()

	var s Scanner

	s.Scan([]byte("id: 7\n\nid: 8\nda"))
	s.Interrupt()

	s.Scan([]byte("id: 6\n\n"))
	require.True(t, s.Repeated())
	require.Equal(t, "7", s.LastID())

	s.Scan([]byte("data: without an ID\n\n"))
	require.False(t, s.Repeated())
	require.Equal(t, "7", s.LastID())

	s.Scan([]byte("id: 8\n\n"))
	require.False(t, s.Repeated())
	require.Equal(t, "8", s.LastID())
}

// Guards against an event that counts as complete before the LF of its last CR LF: a caller would lack
// that byte if the stream was broken off there and resumed.
func TestScannerWaitsForTheRestOfALineEnd(t *testing.T) {
	t.Parallel()

	var s Scanner

	require.Equal(t, 0, s.Scan([]byte("id: 1\r\ndata: a\r\n\r")))
	require.True(t, s.InsideEvent())
	require.Empty(t, s.LastID())
	require.False(t, s.SawNew())

	require.Equal(t, 1, s.Scan([]byte("\n")))
	require.False(t, s.InsideEvent())
	require.Equal(t, "1", s.LastID())

	// The line ends may differ.
	require.Equal(t, 0, s.Scan([]byte("id: 2\r\n\r")))
	require.Equal(t, len("id: 3\r\r"), s.Scan([]byte("id: 3\r\rx")))
	require.Equal(t, "3", s.LastID())
}
