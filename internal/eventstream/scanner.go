// Package eventstream finds the ends of events in a stream of server-sent events
// (text/event-stream), which arrives in pieces of any size.
package eventstream

import (
	"bytes"
	"strconv"
)

// maxIDLine bounds the bytes of an id line that are kept. The rest of a longer line is
// ignored.
const maxIDLine = 4 << 10

// Scanner follows a stream of events. Its zero value is at the start of a stream. Lines
// end with LF, CR LF or CR.
type Scanner struct {
	// After is the ID after which the stream resumes, or "" if it starts at its beginning.
	After string

	// afterCR is set if the last byte was a CR, so that an LF belongs to the same line end. usesCRLF is
	// set once that was so.
	afterCR, usesCRLF bool
	// endsAtLF is set after a CR that ends an event of a stream with CR LF, whose LF is still missing.
	endsAtLF bool
	// lineBegun is set inside a line, and eventBegun after a line of the current event.
	lineBegun  bool
	eventBegun bool
	// idLine holds the current line as long as it may be an id line.
	idLine []byte
	notID  bool
	// id is the ID of the current event, and lastID that of the last complete one.
	id     string
	lastID string
	// hasField and hasID are set if the current event has a line that is no comment, and an
	// ID of its own.
	hasField bool
	hasID    bool
	sawNew   bool
	// repeated is set if the last complete event had an ID up to After. endedID is the ID of that event,
	// endedHasID and endedHasField are its hasID and hasField.
	repeated                  bool
	endedID                   string
	endedHasID, endedHasField bool
}

// Scan follows b, the next piece of the stream. It returns the length of the part of b
// that belongs to complete events.
func (s *Scanner) Scan(b []byte) int {
	end := 0

	for from := 0; from < len(b); {
		n, ended := s.ScanEvent(b[from:])
		from += n

		if ended {
			end = from
		}
	}

	return end
}

// ScanEvent follows b up to the end of its first event. It returns how many bytes it has
// followed, and whether they end an event. An event of a stream with CR LF ends with the LF.
func (s *Scanner) ScanEvent(b []byte) (n int, ended bool) {
	for i, c := range b {
		if s.endsAtLF {
			s.endsAtLF, s.afterCR = false, false
			s.endEvent()

			if c == '\n' {
				i++
			}

			return i, true
		}

		isRest := c == '\n' && s.afterCR
		s.afterCR = c == '\r'
		s.usesCRLF = s.usesCRLF || isRest

		switch {
		case isRest:
			if !s.InsideEvent() {
				return i + 1, true
			}
		case c != '\n' && c != '\r':
			s.addToLine(c)
		case s.lineBegun:
			s.endLine()
		case c == '\r' && s.usesCRLF && s.eventBegun:
			s.endsAtLF = true
		default:
			s.endEvent()

			return i + 1, true
		}
	}

	return len(b), false
}

func (s *Scanner) addToLine(c byte) {
	s.lineBegun = true

	if s.notID || len(s.idLine) == maxIDLine {
		return
	}

	s.idLine = append(s.idLine, c)
	s.notID = !bytes.HasPrefix(s.idLine, idField[:min(len(s.idLine), len(idField))])
}

var idField = []byte("id:")

func (s *Scanner) endLine() {
	if id, ok := bytes.CutPrefix(s.idLine, idField); ok && !s.notID {
		s.id = string(bytes.TrimSpace(id))
		s.hasID = true
	}

	if s.idLine[0] != ':' {
		s.hasField = true
	}

	s.eventBegun = true
	s.lineBegun = false
	s.notID = false
	s.idLine = s.idLine[:0]
}

func (s *Scanner) endEvent() {
	if s.eventBegun {
		s.repeated = s.hasID && s.isRepeated(s.id)
		s.sawNew = s.sawNew || s.hasField && !s.repeated
	}

	s.endedID, s.endedHasID, s.endedHasField = s.id, s.hasID, s.hasField

	if s.repeated {
		s.id = s.lastID
	}

	s.eventBegun, s.hasField, s.hasID = false, false, false
	s.lastID = s.id
}

// isRepeated reports whether the stream was resumed after the event with this ID, or after a
// later one.
func (s *Scanner) isRepeated(id string) bool {
	if s.After == "" || id == s.After {
		return s.After != ""
	}

	n, err := strconv.ParseUint(id, 10, 64)
	after, afterErr := strconv.ParseUint(s.After, 10, 64)

	return err == nil && afterErr == nil && n <= after
}

// SawNew reports whether there has been a complete event after After. Comments are no events.
func (s *Scanner) SawNew() bool { return s.sawNew }

// InsideEvent reports whether the stream so far ends inside an event, or inside a CR LF. A stream
// that ends there has been broken off, however it is framed.
func (s *Scanner) InsideEvent() bool { return s.lineBegun || s.eventBegun || s.afterCR && s.usesCRLF }

// EventID returns the ID of the last complete event. It returns false if the event has none of its own.
func (s *Scanner) EventID() (string, bool) { return s.endedID, s.endedHasID }

// IsComment reports whether all lines of the last complete event are comments.
func (s *Scanner) IsComment() bool { return !s.endedHasField }

// LastID returns the ID of the last complete event that had one and is not repeated, or "".
func (s *Scanner) LastID() string { return s.lastID }

// Repeated reports whether the last complete event is one up to After.
func (s *Scanner) Repeated() bool { return s.repeated }

// Interrupt drops the incomplete event at the end of a stream that another one resumes
// after LastID.
func (s *Scanner) Interrupt() { *s = Scanner{After: s.lastID, id: s.lastID, lastID: s.lastID} }
