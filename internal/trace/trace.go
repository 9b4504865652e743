// Package trace tells the course of one request from the logs of several processes.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one log line that names the request.
type Line struct {
	At time.Time
	// Process is where it was logged: what stands before the line, or the file.
	Process string
	Message string
	// Fields are the rest of the line, in its order.
	Fields []Field
}

// Field is one name and value of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field, or "".
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}

	return ""
}

// maxLine bounds a log line (bytes).
const maxLine = 1 << 20

// Read returns the lines of one log that name the request. Source names the log.
func Read(source, request string, r io.Reader) ([]Line, error) {
	var out []Line

	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)

	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), request) {
			continue
		}

		if l, ok := parseLine(source, scanner.Text()); ok && l.Get("request") == request {
			out = append(out, l)
		}
	}

	return out, eris.Wrapf(scanner.Err(), "read %s", source)
}

// parseLine reads one line as log/slog writes it, with anything before it.
func parseLine(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}

	l := Line{Process: source}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.Process = before[len(before)-1]
	}

	for _, f := range splitFields(text[start:]) {
		switch f.Name {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, f.Value)
			if err != nil {
				return Line{}, false
			}

			l.At = at
		case "level":
		case "msg":
			l.Message = f.Value
		default:
			l.Fields = append(l.Fields, f)
		}
	}

	return l, l.Message != ""
}

// splitFields splits name=value pairs; a value may be quoted.
func splitFields(s string) []Field {
	var out []Field

	for s = strings.TrimSpace(s); s != ""; s = strings.TrimLeft(s, " ") {
		name, rest, ok := strings.Cut(s, "=")
		if !ok {
			break
		}

		var value string

		if strings.HasPrefix(rest, `"`) {
			value, s = unquote(rest[1:])
		} else {
			value, s, _ = strings.Cut(rest, " ")
		}

		out = append(out, Field{Name: name, Value: value})
	}

	return out
}

// unquote reads up to the closing quote and returns what follows it.
func unquote(s string) (value, rest string) {
	var b strings.Builder

	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && i+1 < len(s):
			i++
			b.WriteByte(s[i])
		case s[i] == '"':
			return b.String(), s[i+1:]
		default:
			b.WriteByte(s[i])
		}
	}

	return b.String(), ""
}

// causeMeanings say in words what the causes of refusals and failures mean.
var causeMeanings = map[string]string{ //nolint:gochecknoglobals // a constant table
	"Overload":           "there was no room at any target in the time that the caller waits, or the target said that it is full",
	"NoTarget":           "the service had no target that takes new work",
	"TargetDown":         "no connection to the target came up, or all targets that it may go to were tried",
	"StaleConfiguration": "this entry knew no configuration yet",
	"AnswerBroken":       "the target's answer broke off, or was none",
	"AnswerCrossed":      "the answer on the connection belonged to another request",
	"DeadlinePassed":     "the target did not answer in the caller's time",
	"EarlierIncarnation": "another target answers at the address now",
	"CallerCancelled":    "the caller left",
	"Stopping":           "this entry was about to end, and a request of this service usually takes longer",
	"UnknownService":     "the operators removed the service while it waited",
}

// Print writes the course of a request in words, in the order of the lines' times. The
// clocks of VMs differ, so lines of different processes may stand a little apart.
func Print(w io.Writer, request string, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })

	if len(lines) == 0 {
		_, err := fmt.Fprintf(w, "No line names request %s. Served requests are sampled: one that was served may have left none.\n", request)

		return eris.Wrap(err, "tell")
	}

	for i := range lines {
		if _, err := fmt.Fprintf(w, "%s  %s  %s\n", lines[i].At.Format("15:04:05.000"), lines[i].Process, lines[i].format()); err != nil {
			return eris.Wrap(err, "tell")
		}
	}

	return nil
}

// format tells one line as a sentence, with the inputs that decided it below.
func (l *Line) format() string {
	var b strings.Builder

	b.WriteString(l.Message)

	if cause := l.Get("cause"); cause != "" {
		fmt.Fprintf(&b, " Cause %s", cause)

		if meaning := causeMeanings[cause]; meaning != "" {
			b.WriteString(": " + meaning)
		}

		b.WriteString(".")
	}

	for _, f := range l.Fields {
		if f.Name != "request" && f.Name != "cause" && f.Value != "" {
			fmt.Fprintf(&b, "\n      %s: %s", f.Name, f.Value)
		}
	}

	return b.String()
}
