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
	// WriteStall is how long an entry may take nothing of an answer.
	WriteStall time.Duration
	// DialTimeout bounds a connect to the target.
	DialTimeout time.Duration
	// TargetSilence is how long the target may send nothing of an answer.
	TargetSilence time.Duration
	// MaxRunning bounds a request, whatever its deadline.
	MaxRunning time.Duration
	// HeartbeatEvery is how often the entry hears of a request while there is nothing to relay.
	HeartbeatEvery time.Duration
	// TickEvery is how often the core looks at the time.
	TickEvery time.Duration
	// OrderTimeout bounds one order to the engine; OrderSettle is how long an order
	// without an answer bars the next one at an engine that ignores fencing numbers.
	OrderTimeout time.Duration
	OrderSettle  time.Duration
	// AskWait is how long a leaving agent waits to be asked for an answer that didn't
	// reach its entry.
	AskWait time.Duration
}

// The defaults of Settings.
const (
	DefaultMaxBodyBytes   = 16 << 20
	DefaultMaxHeaderBytes = 64 << 10
	DefaultMaxAnswerBytes = 256 << 10
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultAckTimeout     = 10 * time.Second
	DefaultPendingBytes   = 64 << 20
	DefaultWriteStall     = 30 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultTargetSilence  = time.Minute
	DefaultMaxRunning     = 10 * time.Minute
	DefaultHeartbeatEvery = time.Second
	DefaultTickEvery      = 100 * time.Millisecond
	DefaultOrderTimeout   = 5 * time.Minute
	DefaultOrderSettle    = orders.DefaultUnsettledTimeout
	DefaultAskWait        = 5 * time.Second
)

// fill puts the defaults into zero fields.
func (s *Settings) fill() {
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.MaxHeaderBytes = cmp.Or(s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, DefaultMaxAnswerBytes)
	s.ReadTimeout = cmp.Or(s.ReadTimeout, DefaultReadTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.AckTimeout = cmp.Or(s.AckTimeout, DefaultAckTimeout)
	s.MaxPendingBytes = cmp.Or(s.MaxPendingBytes, DefaultPendingBytes)
	s.WriteStall = cmp.Or(s.WriteStall, DefaultWriteStall)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.TargetSilence = cmp.Or(s.TargetSilence, DefaultTargetSilence)
	s.MaxRunning = cmp.Or(s.MaxRunning, DefaultMaxRunning)
	s.HeartbeatEvery = cmp.Or(s.HeartbeatEvery, DefaultHeartbeatEvery)
	s.TickEvery = cmp.Or(s.TickEvery, DefaultTickEvery)
	s.OrderTimeout = cmp.Or(s.OrderTimeout, DefaultOrderTimeout)
	s.OrderSettle = cmp.Or(s.OrderSettle, DefaultOrderSettle)
	s.AskWait = cmp.Or(s.AskWait, DefaultAskWait)
}
