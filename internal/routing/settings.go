package routing

import (
	"cmp"
	"time"
)

// Settings configures a Chooser. A zero field takes the default in parentheses.
type Settings struct {
	// Candidates is how many targets are compared for one request (32). This covers all
	// targets of a subset, and a random part of a longer list.
	Candidates int
	// CostTolerance is the difference in cost below which the pick is random (0.005).
	CostTolerance float64
	// OtherZoneCost and OtherRegionCost are added to the cost of targets outside of the
	// caller's zone or region (0.02, 0.5).
	OtherZoneCost   float64
	OtherRegionCost float64
	// PrefixGain is subtracted from the cost of a target that holds the complete prompt
	// (0.75).
	PrefixGain float64
	// AffinityGain is subtracted from the cost of the target that the start of the
	// prompt hashes to (0.4), so that entries send it to the same target without
	// exchanging state.
	AffinityGain float64
	// AffinityBlocks is how many blocks are hashed as the start of a prompt (4). This
	// is long enough to distinguish conversations with a common system prompt.
	AffinityBlocks int
	// InitialSlots is how many requests a warm target may get before its first report,
	// and how many slots beyond those in use are at least requested of a cold one (1).
	InitialSlots int
	// ReportHalfWeightAge is the age at which a report has half its weight against the
	// pool's mean (100 ms). It is short because this entry's requests in flight are
	// exact, and relying longer on the same old report makes all entries send to the
	// same targets.
	ReportHalfWeightAge time.Duration
	// ConsecutiveFailures is how many consecutive failures eject a target (3).
	ConsecutiveFailures int
	// ConsecutiveConnectFailures is how many consecutive failures to reach a target
	// eject it as down (1).
	ConsecutiveConnectFailures int
	// MaxFailureRatio is the share of failed recent requests above which a target is
	// ejected (0.5).
	MaxFailureRatio float64
	// SlowRatio is the ratio to the median time to first byte above which a target is
	// ejected (4).
	SlowRatio float64
	// MaxEjectedRatio is the largest share of a pool that may be ejected (0.34).
	MaxEjectedRatio float64
	// BaseEjectionTime is the time from an ejection to the first probe. It doubles with
	// each failed probe, up to MaxEjectionTime (1 s, 30 s).
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// CreditRequestInterval is the minimum time between two credit requests to one
	// target (200 ms). ColdCreditRequestInterval applies to a cold target at which this
	// entry has no free slot, if its agent sent no retry time (50 ms).
	// UnreachableCreditRequestInterval applies to an unreachable target (1 s).
	CreditRequestInterval            time.Duration
	ColdCreditRequestInterval        time.Duration
	UnreachableCreditRequestInterval time.Duration
	// ProbesNeeded is how many consecutive probes must succeed (2).
	ProbesNeeded int
	// ConsecutiveUnresponsive is how many unresponsive connections without a success in
	// between eject a target (3).
	ConsecutiveUnresponsive int
	// WarmUpInterval is the interval at which an entry sends an idle cold target a
	// request that a warm one could handle (500 ms).
	WarmUpInterval time.Duration
	// ColdTrafficThreshold is the share of the warm capacity in use above which cold
	// targets get all requests that their credits allow (0.5).
	ColdTrafficThreshold float64
	// StopReportTTL is how long an agent's report that it is draining, or in a zone that
	// is out, is used if the configuration does not confirm it (2 s).
	StopReportTTL time.Duration
	// DemandTTL is how long a service counts as in demand after a request (10 s).
	DemandTTL time.Duration
	// CreditRenewBefore is how long before its expiry a credit is renewed (1 s).
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
