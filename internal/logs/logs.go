// Package logs creates the loggers of a process. Each part of the process logs with
// its own message prefix, and debug lines are enabled per part.
package logs

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// AllParts in Output.Debug enables the debug lines of every part.
const AllParts = "all"

// DroppedMetric is the name of the metric that counts the lines dropped by a Queue.
const DroppedMetric = "Logs.DroppedLines"

// Output configures the log output of one process.
type Output struct {
	// Writer receives the lines.
	Writer io.Writer
	// Debug lists the parts whose debug lines are written.
	Debug []string
}

// ParseDebug parses the value of the --log-output flag, a comma-separated list of parts.
func ParseDebug(s string) []string {
	if s == "" {
		return nil
	}

	return strings.Split(s, ",")
}

// Logger returns the logger of one part. Its messages begin with "part: ".
func (o Output) Logger(part string) *slog.Logger {
	level := slog.LevelInfo
	if slices.Contains(o.Debug, part) || slices.Contains(o.Debug, AllParts) {
		level = slog.LevelDebug
	}

	next := slog.NewTextHandler(o.Writer, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError})

	return slog.New(&prefixHandler{Handler: next, prefix: part + ": "})
}

// shortError replaces an error value by its text, because eris errors would be logged
// with their stack traces.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}

	return a
}

// Discard returns a logger that discards all lines.
func Discard() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}

type prefixHandler struct {
	slog.Handler

	prefix string
}

func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message

	if err := h.Handler.Handle(ctx, r); err != nil {
		return eris.Wrap(err, "write log line")
	}

	return nil
}

func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
