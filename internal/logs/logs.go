// Package logs makes the loggers of a process: short sentences behind a fixed
// prefix for each part, with debug lines switched on part by part.
package logs

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// AllParts in Output.Debug switches on the debug lines of every part.
const AllParts = "all"

// DroppedMetric is the metric of lines that a Queue dropped.
const DroppedMetric = "Logs.DroppedLines"

// Output is where the log of one process goes.
type Output struct {
	// Writer receives the lines.
	Writer io.Writer
	// Debug names the parts whose debug lines are written.
	Debug []string
}

// ParseDebug reads the value of the flag --log-output: part names with commas between them.
func ParseDebug(s string) []string {
	if s == "" {
		return nil
	}

	return strings.Split(s, ",")
}

// Logger returns the logger of one part. Its lines begin with "part: ".
func (o Output) Logger(part string) *slog.Logger {
	level := slog.LevelInfo
	if slices.Contains(o.Debug, part) || slices.Contains(o.Debug, AllParts) {
		level = slog.LevelDebug
	}

	next := slog.NewTextHandler(o.Writer, &slog.HandlerOptions{Level: level, ReplaceAttr: shortError})

	return slog.New(&prefixHandler{Handler: next, prefix: part + ": "})
}

// shortError writes an error as its text: eris errors would bring their stack.
func shortError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}

	return a
}

// Discard returns a logger that writes nothing.
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
