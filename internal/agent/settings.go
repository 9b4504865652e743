package agent

import (
	"cmp"
	"time"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/orders"
)

// Settings tune an Agent. Zero fields take their defaults.
type Settings struct {
	Admission admission.Settings
	// MaxBodyBytes bounds a request's body, MaxHeaderBytes the headers of requests and answers.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxAnswerBytes bounds one recorded answer.
	MaxAnswerBytes int
	// ReadTimeout is how long an entry may take to send a request whole.
	ReadTimeout time.Duration
	// IdleTimeout closes an entry's connection that carries nothing.
	IdleTimeout time.Duration
	// AckTimeout is how long an entry's end may acknowledge nothing of what was sent.
	AckTimeout time.Duration
	// MaxPendingBytes bounds the requests that are read or in flight, in bytes.
	MaxPendingBytes int
	// WriteTimeout is how long an entry may take nothing of an answer.
	WriteTimeout time.Duration
	// DialTimeout bounds a connect to the target.
	DialTimeout time.Duration
	// TargetIdleTimeout is how long the target may send nothing of an answer.
	TargetIdleTimeout time.Duration
	// MaxRequestDuration bounds a request, whatever its deadline.
	MaxRequestDuration time.Duration
	// HeartbeatInterval is how often the entry hears of a request while there is nothing to relay.
	HeartbeatInterval time.Duration
	// TickInterval is how often the core looks at the time.
	TickInterval time.Duration
	// OrderTimeout bounds one order to the engine; OrderSettle is how long an order
	// without an answer bars the next one at an engine that ignores fencing numbers.
	OrderTimeout          time.Duration
	UnsettledOrderTimeout time.Duration
	// AttemptQueryWait is how long a leaving agent waits to be asked for an answer that didn't
	// reach its entry.
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

// applyDefaults puts the defaults into zero fields.
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
