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
	// CostTolerance is the difference of cost below which the pick is random (0.005).
	CostTolerance float64
	// OtherZoneCost and OtherRegion are added to the cost of far targets (0.02, 0.5).
	OtherZoneCost   float64
	OtherRegionCost float64
	// PrefixGain is taken off the cost of a target that holds the whole prompt (0.75).
	PrefixGain float64
	// AffinityGain is taken off the cost of the target that a prompt's opening hashes
	// to, so that entries that know nothing of each other send it to the same (0.4).
	AffinityGain float64
	// AffinityBlocks is how many blocks are a prompt's opening (4): long enough to
	// tell conversations with a common system prompt apart.
	AffinityBlocks int
	// InitialSlots is how many requests a warm target may get before its first report, and how many more a cold one is asked for (1).
	InitialSlots int
	// ReportHalfWeightAge is the age at which a report counts half against the pool's mean
	// (100 ms). Short on purpose: what this entry has in flight is exact, and a
	// long trust in the same old report makes all entries send to the same targets.
	ReportHalfWeightAge time.Duration
	// ConsecutiveFailures is how many failures in a row set a target aside (3).
	ConsecutiveFailures int
	// ConsecutiveConnectFailures is how many failures to reach it set a target aside as down (1).
	ConsecutiveConnectFailures int
	// MaxFailureRatio is the share of recent requests failed that sets a target aside (0.5).
	MaxFailureRatio float64
	// SlowRatio is how many times the median first byte sets a target aside (4).
	SlowRatio float64
	// MaxEjectedRatio is the largest share of a pool that may be set aside (0.34).
	MaxEjectedRatio float64
	// BaseEjectionTime is the first pause before a probe; it doubles up to ProbeAtMost (1 s, 30 s).
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// CreditRequestInterval is the shortest time between two asks for a credit of one target
	// (200 ms), AskColdEvery the same for a cold one at which this entry has no free
	// slot and whose agent did not say when to come again (50 ms), AskDownEvery for
	// one that can't be reached (1 s).
	CreditRequestInterval            time.Duration
	ColdCreditRequestInterval        time.Duration
	UnreachableCreditRequestInterval time.Duration
	// ProbesNeeded is how many probes in a row must succeed (2).
	ProbesNeeded int
	// ConsecutiveUnresponsive is how many silent connections without a success between set a target aside (3).
	ConsecutiveUnresponsive int
	// WarmUpInterval is how often an entry gives an idle cold target work that a warm one could take (500 ms).
	WarmUpInterval time.Duration
	// ColdTrafficThreshold is the share of the warm capacity in use from which cold targets
	// get all that their credits allow (0.5).
	ColdTrafficThreshold float64
	// StopReportTTL is how long an agent's word that it is leaving, or in a zone that
	// is out, is believed without the configuration saying so (2 s).
	StopReportTTL time.Duration
	// DemandTTL is how long after a request its service counts as in demand (10 s).
	DemandTTL time.Duration
	// CreditRenewBefore is how long before its end a credit is asked for anew (1 s).
	CreditRenewBefore time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Candidates = cmp.Or(s.Candidates, 32)
	s.CostTolerance = cmp.Or(s.CostTolerance, 0.005)
	s.OtherZoneCost = cmp.Or(s.OtherZoneCost, 0.02)
	s.OtherRegionCost = cmp.Or(s.OtherRegionCost, 0.5)
	s.PrefixGain = cmp.Or(s.PrefixGain, 0.75)
	s.AffinityGain = cmp.Or(s.AffinityGain, 0.4)
	s.AffinityBlocks = cmp.Or(s.AffinityBlocks, 4)
	s.InitialSlots = cmp.Or(s.InitialSlots, 1)
	s.ReportHalfWeightAge = cmp.Or(s.ReportHalfWeightAge, 100*time.Millisecond)
	s.ConsecutiveFailures = cmp.Or(s.ConsecutiveFailures, 3)
	s.ConsecutiveConnectFailures = cmp.Or(s.ConsecutiveConnectFailures, 1)
	s.CreditRequestInterval = cmp.Or(s.CreditRequestInterval, 200*time.Millisecond)
	s.ColdCreditRequestInterval = cmp.Or(s.ColdCreditRequestInterval, 50*time.Millisecond)
	s.UnreachableCreditRequestInterval = cmp.Or(s.UnreachableCreditRequestInterval, time.Second)
	s.ColdTrafficThreshold = cmp.Or(s.ColdTrafficThreshold, 0.5)
	s.MaxFailureRatio = cmp.Or(s.MaxFailureRatio, 0.5)
	s.SlowRatio = cmp.Or(s.SlowRatio, 4)
	s.MaxEjectedRatio = cmp.Or(s.MaxEjectedRatio, 0.34)
	s.BaseEjectionTime = cmp.Or(s.BaseEjectionTime, time.Second)
	s.MaxEjectionTime = cmp.Or(s.MaxEjectionTime, 30*time.Second)
	s.ProbesNeeded = cmp.Or(s.ProbesNeeded, 2)
	s.ConsecutiveUnresponsive = cmp.Or(s.ConsecutiveUnresponsive, 3)
	s.WarmUpInterval = cmp.Or(s.WarmUpInterval, 500*time.Millisecond)
	s.StopReportTTL = cmp.Or(s.StopReportTTL, 2*time.Second)
	s.DemandTTL = cmp.Or(s.DemandTTL, 10*time.Second)
	s.CreditRenewBefore = cmp.Or(s.CreditRenewBefore, time.Second)

	return s
}
