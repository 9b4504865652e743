package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"
)

// maxWriteTime bounds one write to a caller. A caller that reads nothing for so long does not
// read its answer at all, and targets close such connections sooner.
const maxWriteTime = 10 * time.Second

// boundWrite bounds the next write to the caller. A connection without deadlines is not
// bounded.
func (p *proxiedRequest) boundWrite() {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(maxWriteTime))
}

// unboundWrites removes the bound, which would also apply to the connection's next request.
func (p *proxiedRequest) unboundWrites() {
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Time{})
}

// maxRestTime is how long the server may wait for the rest of a body that is not needed, before it answers and
// closes the connection.
const maxRestTime = time.Second

// boundRestOfBody bounds the wait for the rest of a body that was not read whole. The server removes the
// bound when it waits for the connection's next request.
func (p *proxiedRequest) boundRestOfBody() {
	if p.body == nil && p.req.ContentLength != 0 {
		_ = http.NewResponseController(p.w).SetReadDeadline(time.Now().Add(maxRestTime))
	}
}

// endSlowReader ends the request because its memory is needed, while one side does not read
// what is held for it, or is still sending its answer or its body. It is called from another request's goroutine.
func (p *proxiedRequest) endSlowReader(slow reader, bytes int64, waited time.Duration, cancel context.CancelFunc) {
	p.relay.counters.slowReaders.Add(1)
	p.relay.Logger.Log(p.req.Context(), slog.LevelWarn, "Request ended: the memory for requests is full, and this one waits for a slow reader or sender.",
		"reader", slow, "held", bytes, "waited", waited.Round(time.Millisecond), "limit", p.relay.memory.limit, "request", p.caller.ID)
	cancel()

	switch slow {
	case readerCaller:
		_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now())
	case senderCaller:
		_ = http.NewResponseController(p.w).SetReadDeadline(time.Now())
	case readerNone, readerTarget, senderTarget:
	}
}
