package routing

import (
	"cmp"
	"time"
)

// Settings are the tunable numbers of a Chooser. The zero value of each field
// stands for the default named beside it.
type Settings struct {
	// Candidates is how many targets are compared for one request (32): all of a
	// subset, a random part of a longer list.
	Candidates int
	// NearEqual is the difference of cost below which the pick is random (0.005).
	NearEqual float64
	// OtherZone and OtherRegion are added to the cost of far targets (0.02, 0.5).
	OtherZone   float64
	OtherRegion float64
	// PrefixGain is taken off the cost of a target that holds the whole prompt (0.75).
	PrefixGain float64
	// HomeGain is taken off the cost of the target that a prompt's opening hashes
	// to, so that entries that know nothing of each other send it to the same (0.4).
	HomeGain float64
	// HomeBlocks is how many blocks are a prompt's opening (4): long enough to
	// tell conversations with a common system prompt apart.
	HomeBlocks int
	// FirstContact is how many requests a warm target may get before its first report, and how many more a cold one is asked for (1).
	FirstContact int
	// ReportLife is the age at which a report counts half against the pool's mean
	// (100 ms). Short on purpose: what this entry has in flight is exact, and a
	// long trust in the same old report makes all entries send to the same targets.
	ReportLife time.Duration
	// FailureRun is how many failures in a row set a target aside (3).
	FailureRun int
	// DownRun is how many failures to reach it set a target aside as down (1).
	DownRun int
	// FailureShare is the share of recent requests failed that sets a target aside (0.5).
	FailureShare float64
	// SlowRatio is how many times the median first byte sets a target aside (4).
	SlowRatio float64
	// SetAsideShare is the largest share of a pool that may be set aside (0.34).
	SetAsideShare float64
	// ProbeAfter is the first pause before a probe; it doubles up to ProbeAtMost (1 s, 30 s).
	ProbeAfter  time.Duration
	ProbeAtMost time.Duration
	// AskEvery is the shortest time between two asks for a credit of one target
	// (200 ms), AskColdEvery the same for a cold one at which this entry has no free
	// slot and whose agent did not say when to come again (50 ms), AskDownEvery for
	// one that can't be reached (1 s).
	AskEvery     time.Duration
	AskColdEvery time.Duration
	AskDownEvery time.Duration
	// ProbesNeeded is how many probes in a row must succeed (2).
	ProbesNeeded int
	// SilentLimit is how many silent connections without a success between set a target aside (3).
	SilentLimit int
	// WarmUpEvery is how often an entry gives an idle cold target work that a warm one could take (500 ms).
	WarmUpEvery time.Duration
	// WarmUpAbove is the share of the warm capacity in use from which cold targets
	// get all that their credits allow (0.5).
	WarmUpAbove float64
	// StoppedFor is how long an agent's word that it is leaving, or in a zone that
	// is out, is believed without the configuration saying so (2 s).
	StoppedFor time.Duration
	// DemandLife is how long after a request its service counts as in demand (10 s).
	DemandLife time.Duration
	// RenewBefore is how long before its end a credit is asked for anew (1 s).
	RenewBefore time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Candidates = cmp.Or(s.Candidates, 32)
	s.NearEqual = cmp.Or(s.NearEqual, 0.005)
	s.OtherZone = cmp.Or(s.OtherZone, 0.02)
	s.OtherRegion = cmp.Or(s.OtherRegion, 0.5)
	s.PrefixGain = cmp.Or(s.PrefixGain, 0.75)
	s.HomeGain = cmp.Or(s.HomeGain, 0.4)
	s.HomeBlocks = cmp.Or(s.HomeBlocks, 4)
	s.FirstContact = cmp.Or(s.FirstContact, 1)
	s.ReportLife = cmp.Or(s.ReportLife, 100*time.Millisecond)
	s.FailureRun = cmp.Or(s.FailureRun, 3)
	s.DownRun = cmp.Or(s.DownRun, 1)
	s.AskEvery = cmp.Or(s.AskEvery, 200*time.Millisecond)
	s.AskColdEvery = cmp.Or(s.AskColdEvery, 50*time.Millisecond)
	s.AskDownEvery = cmp.Or(s.AskDownEvery, time.Second)
	s.WarmUpAbove = cmp.Or(s.WarmUpAbove, 0.5)
	s.FailureShare = cmp.Or(s.FailureShare, 0.5)
	s.SlowRatio = cmp.Or(s.SlowRatio, 4)
	s.SetAsideShare = cmp.Or(s.SetAsideShare, 0.34)
	s.ProbeAfter = cmp.Or(s.ProbeAfter, time.Second)
	s.ProbeAtMost = cmp.Or(s.ProbeAtMost, 30*time.Second)
	s.ProbesNeeded = cmp.Or(s.ProbesNeeded, 2)
	s.SilentLimit = cmp.Or(s.SilentLimit, 3)
	s.WarmUpEvery = cmp.Or(s.WarmUpEvery, 500*time.Millisecond)
	s.StoppedFor = cmp.Or(s.StoppedFor, 2*time.Second)
	s.DemandLife = cmp.Or(s.DemandLife, 10*time.Second)
	s.RenewBefore = cmp.Or(s.RenewBefore, time.Second)

	return s
}
