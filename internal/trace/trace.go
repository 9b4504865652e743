// Package trace collects the log lines of one request from the logs of several processes
// and prints them in order of time.
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

// Line is one log line of the request.
type Line struct {
	At time.Time
	// Process identifies the process that logged the line: the last field before the line's
	// timestamp if there is one, else the name of the log.
	Process string
	Message string
	// Fields are the other attributes of the line, in their original order.
	Fields []Field
}

// Field is one attribute of a log line.
type Field struct{ Name, Value string }

// Get returns the value of the named field, or "" if the line has no such field.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}

	return ""
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read returns the lines in r that have the given request ID. The source is the name of
// the log.
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

// parseLine parses a line written by slog.TextHandler, which may have text before it.
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

// splitFields splits a line into its name=value pairs. Values may be quoted.
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

// unquote returns the value up to the closing quote of s, and the text after that quote.
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

// causeMeanings maps the causes of refusals and failures to their explanations.
var causeMeanings = map[string]string{ //nolint:gochecknoglobals // a constant table
	"Overload":           "no target had free capacity within the caller's deadline, or the target reported that it was full",
	"NoTarget":           "no target of the service accepted new requests",
	"TargetDown":         "the connection to the target failed, or all eligible targets were tried",
	"StaleConfiguration": "this entry had not received a configuration yet",
	"AnswerBroken":       "the target's answer was truncated or missing",
	"AnswerCrossed":      "the answer on the connection belonged to another request",
	"DeadlinePassed":     "the target did not answer before the caller's deadline",
	"EarlierIncarnation": "the target's address is now used by another target",
	"CallerCancelled":    "the caller disconnected",
	"Stopping":           "this entry was shutting down, and the request could not end in the time left, as far as those of its service before tell, or did not",
	"Quarantined":        "targets ended under this request, or while they began to answer requests with a part of its prompt; such requests are held back",
	"TargetFailure":      "the target answered with a failure of its own",
	"UnknownService":     "the operators removed the service while the request was queued",
}

// Print writes the lines of a request in order of their timestamps. The clocks of VMs
// differ, so lines of different processes may be slightly out of order.
func Print(w io.Writer, request string, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })

	if len(lines) == 0 {
		_, err := fmt.Fprintf(w, "No log line has request ID %s. Completed requests are sampled, so one that succeeded may not have been logged.\n", request)

		return eris.Wrap(err, "write trace")
	}

	for i := range lines {
		if _, err := fmt.Fprintf(w, "%s  %s  %s\n", lines[i].At.Format("15:04:05.000"), lines[i].Process, lines[i].format()); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}

	return nil
}

// format returns the message and the cause of a line, followed by its other fields, one
// per line.
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
