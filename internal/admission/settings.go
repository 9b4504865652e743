package admission

import (
	"cmp"
	"time"
)

// Settings tune a Core. Zero fields take their defaults.
type Settings struct {
	// CreditLife is how long a credit holds. Slots that an entry asked for are
	// reserved for ReserveFor only; after that a request is let in where there is room.
	CreditLife     time.Duration
	ReservationTTL time.Duration
	// ActiveTimeout is how long an entry counts in the fair shares after it was heard of.
	ActiveTimeout time.Duration
	// WaitTimeout is for how long a waiting entry that doesn't ask again keeps its turn.
	WaitTimeout time.Duration
	// AttemptRetention is how long an ended attempt is remembered after its credit's expiry.
	AttemptRetention time.Duration
	// MaxAttempts bounds the remembered attempts, MaxAnswerBytes the recorded answers.
	MaxAttempts    int
	MaxAnswerBytes int
	// AnnounceTimeout is how long the target may stay silent before it counts as down.
	AnnounceTimeout time.Duration
	// UnknownWorkTTL is how long work of an earlier agent incarnation is counted
	// where the target doesn't report what it holds.
	UnknownWorkTTL time.Duration
	// CanceledWorkTTL is the same for a request that was cancelled on a cold target.
	CanceledWorkTTL time.Duration
	// RampInterval is the shortest time in which the limit may double.
	RampInterval time.Duration
}

// The defaults of Settings.
const (
	DefaultCreditLife       = 2 * time.Second
	DefaultReservationTTL   = 50 * time.Millisecond
	DefaultActiveTimeout    = time.Second
	DefaultWaitTimeout      = 100 * time.Millisecond
	DefaultAttemptRetention = time.Minute
	DefaultMaxAttempts      = 1 << 16
	DefaultMaxAnswerBytes   = 8 << 20
	DefaultAnnounceTimeout  = 3 * time.Second
	DefaultUnknownWorkTTL   = 10 * time.Second
	DefaultCanceledWorkTTL  = time.Second
	DefaultRampInterval     = time.Second
)

// fill puts the defaults into zero fields.
func (s *Settings) fill() {
	s.CreditLife = cmp.Or(s.CreditLife, DefaultCreditLife)
	s.ReservationTTL = cmp.Or(s.ReservationTTL, DefaultReservationTTL)
	s.ActiveTimeout = cmp.Or(s.ActiveTimeout, DefaultActiveTimeout)
	s.WaitTimeout = cmp.Or(s.WaitTimeout, DefaultWaitTimeout)
	s.AttemptRetention = cmp.Or(s.AttemptRetention, DefaultAttemptRetention)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, DefaultMaxAnswerBytes)
	s.AnnounceTimeout = cmp.Or(s.AnnounceTimeout, DefaultAnnounceTimeout)
	s.UnknownWorkTTL = cmp.Or(s.UnknownWorkTTL, DefaultUnknownWorkTTL)
	s.CanceledWorkTTL = cmp.Or(s.CanceledWorkTTL, DefaultCanceledWorkTTL)
	s.RampInterval = cmp.Or(s.RampInterval, DefaultRampInterval)
}
