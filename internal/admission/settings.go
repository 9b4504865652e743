package admission

import (
	"cmp"
	"time"
)

// Settings tune a Core. Zero fields take their defaults.
type Settings struct {
	// CreditLife is how long a credit holds. Slots that an entry asked for are
	// reserved for ReserveFor only; after that a request is let in where there is room.
	CreditLife time.Duration
	ReserveFor time.Duration
	// ActiveFor is how long an entry counts in the fair shares after it was heard of.
	ActiveFor time.Duration
	// WaitLife is for how long a waiting entry that doesn't ask again keeps its turn.
	WaitLife time.Duration
	// RememberFor is how long an ended attempt is remembered after its credit's expiry.
	RememberFor time.Duration
	// MaxAttempts bounds the remembered attempts, MaxAnswerBytes the recorded answers.
	MaxAttempts    int
	MaxAnswerBytes int
	// AnnounceSilence is how long the target may stay silent before it counts as down.
	AnnounceSilence time.Duration
	// UnknownFor is how long work of an earlier agent incarnation is counted
	// where the target doesn't report what it holds.
	UnknownFor time.Duration
	// SettleFor is the same for a request that was cancelled on a cold target.
	SettleFor time.Duration
	// RampInterval is the shortest time in which the limit may double.
	RampInterval time.Duration
}

// The defaults of Settings.
const (
	DefaultCreditLife      = 2 * time.Second
	DefaultReserveFor      = 50 * time.Millisecond
	DefaultActiveFor       = time.Second
	DefaultWaitLife        = 100 * time.Millisecond
	DefaultRememberFor     = time.Minute
	DefaultMaxAttempts     = 1 << 16
	DefaultMaxAnswerBytes  = 8 << 20
	DefaultAnnounceSilence = 3 * time.Second
	DefaultUnknownFor      = 10 * time.Second
	DefaultSettleFor       = time.Second
	DefaultRampInterval    = time.Second
)

// fill puts the defaults into zero fields.
func (s *Settings) fill() {
	s.CreditLife = cmp.Or(s.CreditLife, DefaultCreditLife)
	s.ReserveFor = cmp.Or(s.ReserveFor, DefaultReserveFor)
	s.ActiveFor = cmp.Or(s.ActiveFor, DefaultActiveFor)
	s.WaitLife = cmp.Or(s.WaitLife, DefaultWaitLife)
	s.RememberFor = cmp.Or(s.RememberFor, DefaultRememberFor)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.MaxAnswerBytes = cmp.Or(s.MaxAnswerBytes, DefaultMaxAnswerBytes)
	s.AnnounceSilence = cmp.Or(s.AnnounceSilence, DefaultAnnounceSilence)
	s.UnknownFor = cmp.Or(s.UnknownFor, DefaultUnknownFor)
	s.SettleFor = cmp.Or(s.SettleFor, DefaultSettleFor)
	s.RampInterval = cmp.Or(s.RampInterval, DefaultRampInterval)
}
