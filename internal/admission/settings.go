package admission

import (
	"cmp"
	"time"
)

// Settings configures a Core. Zero fields are replaced by their defaults.
type Settings struct {
	// CreditLifetime is how long a credit is valid. Slots that an entry requested are
	// reserved only for ReservationTTL. After that a request on the credit is admitted
	// if there is capacity.
	CreditLifetime time.Duration
	ReservationTTL time.Duration
	// ActiveTimeout is how long an entry counts in the fair shares after its last use of
	// or request for a credit.
	ActiveTimeout time.Duration
	// WaitTimeout is how long a waiting entry keeps its queue position past the time at
	// which it was advised to ask again.
	WaitTimeout time.Duration
	// AttemptRetention is how long the record of an ended attempt is kept after its
	// end and the expiry of its credit.
	AttemptRetention time.Duration
	// MaxAttempts bounds the number of stored attempts, MaxAnswerBytes the total size
	// of recorded answers.
	MaxAttempts    int
	MaxAnswerBytes int
	// AnnounceTimeout is how long after its last announcement the target counts as down.
	AnnounceTimeout time.Duration
	// UnknownWorkTTL is how long requests of an earlier agent incarnation count against
	// the limit if the target does not report how many requests it holds.
	UnknownWorkTTL time.Duration
	// CanceledWorkTTL is the same for a request that was canceled at a cold target.
	CanceledWorkTTL time.Duration
	// RampInterval is the shortest time in which the limit of a ramping target may double.
	RampInterval time.Duration
}

// Defaults of the fields of Settings.
const (
	DefaultCreditLifetime   = 2 * time.Second
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

// fill sets zero fields to their defaults.
func (s *Settings) fill() {
	s.CreditLifetime = cmp.Or(s.CreditLifetime, DefaultCreditLifetime)
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
