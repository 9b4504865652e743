package agent

import (
	"cmp"
	"time"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/orders"
)

// Settings configure an Agent. Zero fields take their defaults.
type Settings struct {
	Admission admission.Settings
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes the headers of requests and
	// responses.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxAnswerBytes bounds one recorded response.
	MaxAnswerBytes int
	// ReadTimeout bounds the time in which an entry must send a complete request.
	ReadTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// AckTimeout is how long sent data may remain unacknowledged by an entry before its
	// connection is closed.
	AckTimeout time.Duration
	// MaxPendingBytes bounds the total size of the requests that are being read or in flight.
	MaxPendingBytes int
	// WriteTimeout is how long a write to an entry may block before the entry counts as
	// disconnected.
	WriteTimeout time.Duration
	// DialTimeout bounds connecting to the target.
	DialTimeout time.Duration
	// TargetIdleTimeout is how long the target may send nothing before its response fails.
	TargetIdleTimeout time.Duration
	// MaxRequestDuration bounds a request, whatever its deadline.
	MaxRequestDuration time.Duration
	// HeartbeatInterval is the interval of heartbeats to the entry while the target sends
	// nothing.
	HeartbeatInterval time.Duration
	// TickInterval is the interval at which the admission core checks for expired state.
	TickInterval time.Duration
	// OrderTimeout bounds one order to the engine. UnsettledOrderTimeout is how long an
	// unanswered order blocks the next one at an engine that ignores fencing numbers.
	OrderTimeout          time.Duration
	UnsettledOrderTimeout time.Duration
	// AttemptQueryWait is how long a draining agent stays up for an entry to query a response
	// that it did not receive.
	AttemptQueryWait time.Duration
}

// The defaults of Settings.
const (
	DefaultMaxBodyBytes          = 16 << 20
	DefaultMaxHeaderBytes        = 64 << 10
	DefaultMaxAnswerBytes        = 256 << 10
	DefaultReadTimeout           = 10 * time.Second
	DefaultIdleTimeout           = 90 * time.Second
	DefaultAckTimeout            = 10 * time.Second
	DefaultMaxPendingBytes       = 64 << 20
	DefaultWriteTimeout          = 30 * time.Second
	DefaultDialTimeout           = time.Second
	DefaultTargetIdleTimeout     = time.Minute
	DefaultMaxRequestDuration    = 10 * time.Minute
	DefaultHeartbeatInterval     = time.Second
	DefaultTickInterval          = 100 * time.Millisecond
	DefaultOrderTimeout          = 5 * time.Minute
	DefaultUnsettledOrderTimeout = orders.DefaultUnsettledTimeout
	DefaultAttemptQueryWait      = 5 * time.Second
)

// applyDefaults sets zero fields to their defaults.
func (s *Settings) applyDefaults() {
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.MaxHeaderBytes = cmp.Or(s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, DefaultMaxAnswerBytes)
	s.ReadTimeout = cmp.Or(s.ReadTimeout, DefaultReadTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.AckTimeout = cmp.Or(s.AckTimeout, DefaultAckTimeout)
	s.MaxPendingBytes = cmp.Or(s.MaxPendingBytes, DefaultMaxPendingBytes)
	s.WriteTimeout = cmp.Or(s.WriteTimeout, DefaultWriteTimeout)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.TargetIdleTimeout = cmp.Or(s.TargetIdleTimeout, DefaultTargetIdleTimeout)
	s.MaxRequestDuration = cmp.Or(s.MaxRequestDuration, DefaultMaxRequestDuration)
	s.HeartbeatInterval = cmp.Or(s.HeartbeatInterval, DefaultHeartbeatInterval)
	s.TickInterval = cmp.Or(s.TickInterval, DefaultTickInterval)
	s.OrderTimeout = cmp.Or(s.OrderTimeout, DefaultOrderTimeout)
	s.UnsettledOrderTimeout = cmp.Or(s.UnsettledOrderTimeout, DefaultUnsettledOrderTimeout)
	s.AttemptQueryWait = cmp.Or(s.AttemptQueryWait, DefaultAttemptQueryWait)
}
