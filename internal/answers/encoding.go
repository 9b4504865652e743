package answers

import "bytes"

// EncodingScanner finds a Transfer-Encoding in an answer of HTTP/1.0, which that version does not have. The framing of
// such an answer is faulty (RFC 9112, 6.1), and the HTTP library removes the field. The zero value is at the beginning of
// an answer.
type EncodingScanner struct {
	// line is the beginning of the current line.
	line [32]byte
	n    int
	// inFields is set behind the status line.
	inFields bool
	// isOld is set for a head of HTTP/1.0, informational for one that another head follows.
	isOld, informational bool
	ended, found         bool
}

// Found reports whether the answer has a Transfer-Encoding and is one of HTTP/1.0.
func (s *EncodingScanner) Found() bool { return s.found }

// Scan scans the next bytes of the answer, until its final head has ended.
func (s *EncodingScanner) Scan(b []byte) {
	for len(b) > 0 && !s.ended {
		line, rest, hasEnd := bytes.Cut(b, []byte("\n"))
		s.n += copy(s.line[s.n:], line)
		b = rest

		if hasEnd {
			s.endLine(bytes.TrimSuffix(s.line[:s.n], []byte("\r")))
			s.n = 0
		}
	}
}

func (s *EncodingScanner) endLine(line []byte) {
	switch {
	case !s.inFields:
		version, status, _ := bytes.Cut(line, []byte(" "))
		s.isOld = bytes.Equal(version, []byte("HTTP/1.0"))
		s.informational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		s.inFields = true
	case len(line) == 0:
		s.ended = !s.informational
		s.inFields = false
	case s.isOld && !s.informational && bytes.HasPrefix(bytes.ToLower(line), []byte("transfer-encoding:")):
		s.found = true
	}
}
