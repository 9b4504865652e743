// Package eventstream finds the ends of events in a stream of server-sent events
// (text/event-stream), which arrives in pieces of any size.
package eventstream

import "bytes"

// maxIDLine bounds the bytes of an id line that are kept. The rest of a longer line is
// ignored.
const maxIDLine = 4 << 10

// Scanner follows a stream of events. Its zero value is at the start of a stream. Lines
// end with LF, CR LF or CR.
type Scanner struct {
	// afterCR is set if the last byte was a CR, so that an LF belongs to the same line end.
	afterCR bool
	// lineBegun is set inside a line, and eventBegun after a line of the current event.
	lineBegun  bool
	eventBegun bool
	// idLine holds the current line as long as it may be an id line.
	idLine []byte
	notID  bool
	// id is the ID of the current event, and lastID that of the last complete one.
	id     string
	lastID string
}

// Scan follows b, the next piece of the stream. It returns the length of the part of b
// that belongs to complete events.
func (s *Scanner) Scan(b []byte) int {
	end := 0

	for i, c := range b {
		isRest := c == '\n' && s.afterCR
		s.afterCR = c == '\r'

		switch {
		case isRest:
			if !s.InsideEvent() {
				end = i + 1
			}
		case c != '\n' && c != '\r':
			s.addToLine(c)
		case s.lineBegun:
			s.endLine()
		default:
			s.endEvent()

			end = i + 1
		}
	}

	return end
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
	}

	s.eventBegun = true
	s.lineBegun = false
	s.notID = false
	s.idLine = s.idLine[:0]
}

func (s *Scanner) endEvent() {
	s.eventBegun = false
	s.lastID = s.id
}

// InsideEvent reports whether the stream so far ends inside an event. A stream that ends
// there has been broken off, however it is framed.
func (s *Scanner) InsideEvent() bool { return s.lineBegun || s.eventBegun }

// LastID returns the ID of the last complete event that had one, or "".
func (s *Scanner) LastID() string { return s.lastID }

// Interrupt drops the incomplete event at the end of a stream that another one continues.
func (s *Scanner) Interrupt() { *s = Scanner{id: s.lastID, lastID: s.lastID} }
