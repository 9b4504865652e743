package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/shares"
)

const (
	// skewAt is when most new connections begin to go to one entry, skewDuration how long they do.
	skewAt       = 7 * time.Second
	skewDuration = 10 * time.Second
	// skewGrace is the time after which requests must be served as before.
	skewGrace = 3 * time.Second
	// minServedRatio is the least ratio of the fraction of requests that are served at the first
	// attempt that an entry has read to the fraction before.
	minServedRatio = 0.75
	// maxDeclined is the number of connections that a caller opens again after they were declined,
	// each after redialDelay.
	maxDeclined = 3
	redialDelay = 20 * time.Millisecond
	// demandInterval is the interval at which the mean demand is computed, and demandReports the number
	// of intervals after which it reaches the entries.
	demandInterval = 200 * time.Millisecond
	demandReports  = 5
)

// skewLoad describes how callers open connections during skewDuration. Each request has its own.
type skewLoad struct {
	// fraction is the fraction of the requests that go to the first entry, and to the next one after
	// each moveInterval, if it is above 0.
	fraction     float64
	moveInterval time.Duration
	// surge is the ratio of the load to the one before.
	surge float64
	// declines is set if entries decline connections.
	declines bool
	// meanLost is set if the entries get no mean after the beginning, meanFactor, if above 0, the
	// ratio of the mean that they get to the true one.
	meanLost   bool
	meanFactor float64
	// restarts is set if all entries forget the demand as the skew begins.
	restarts bool
}

// skewCounts counts requests by their result.
type skewCounts struct{ arrived, inTime, late, refused, unread int }

// served returns the fraction of requests that were served at the first attempt that an entry has read.
func (c skewCounts) served() float64 { return float64(c.inTime+c.late) / float64(max(1, c.arrived)) }

func (c skewCounts) String() string {
	return fmt.Sprintf("%.3f served (%d arrived, %d in time, %d late, %d refused, %d never read)", c.served(), c.arrived, c.inTime, c.late, c.refused, c.unread)
}

// skewSim is the part of a simulation that concerns connections of callers.
type skewSim struct {
	skewLoad

	decliners []*callers.Decliner
	retries   []delayed
	// means are the means of the demand that have not reached the entries, oldest first.
	means          []float64
	before, during skewCounts
	declined       int
}

func newSkewSim(l skewLoad, entries int) *skewSim {
	sim := &skewSim{skewLoad: l}
	for range entries {
		sim.decliners = append(sim.decliners, &callers.Decliner{})
	}

	return sim
}

// loadAt returns the ratio of the load to the one at the beginning.
func (sim *skewSim) loadAt(now time.Time) float64 {
	if sim == nil || sim.surge == 0 || now.Sub(startTime) < skewAt {
		return 1
	}

	return sim.surge
}

// choose returns the entry that gets a new connection, where i would get it without the skew.
func (sim *skewSim) choose(now time.Time, r *rand.Rand, i int) int {
	if sim == nil || now.Sub(startTime) < skewAt || r.Float64() >= sim.fraction {
		return i
	}

	if sim.moveInterval > 0 {
		return int((now.Sub(startTime)-skewAt)/sim.moveInterval) % len(sim.decliners)
	}

	return 0
}

// accept reports whether entry i accepts a connection, on which waiting requests wait. Otherwise the
// caller opens another one, unless it has opened enough of them.
func (sim *skewSim) accept(now time.Time, i, waiting, attempt int, counts *skewCounts, redial func(now time.Time)) bool {
	if sim == nil {
		return true
	}

	if !sim.declines || !sim.decliners[i].Decline(now, func() int { return waiting }) {
		sim.decliners[i].Demand.Add(now)

		return true
	}

	sim.declined++

	if attempt < maxDeclined {
		sim.retries = append(sim.retries, delayed{at: now.Add(redialDelay), run: redial})
	} else {
		counts.unread++
	}

	return false
}

// refuse counts a request that an entry or a target has refused.
func (sim *skewSim) refuse(now time.Time, i int, counts *skewCounts) {
	if sim != nil {
		counts.refused++
		sim.decliners[i].RecordRefused(now)
	}
}

// finish counts a request that was answered.
func (c *skewCounts) finish(late bool) {
	if late {
		c.late++
	} else {
		c.inTime++
	}
}

// counts returns the counts to which a request that arrives now belongs.
func (sim *skewSim) counts(now time.Time, timeout time.Duration) *skewCounts {
	if sim == nil {
		return &skewCounts{}
	}

	since := now.Sub(startTime)
	sinceMove := since - skewAt

	if sim.moveInterval > 0 {
		sinceMove %= sim.moveInterval
	}

	switch {
	case since > skewAt-timeout-2*time.Second && since < skewAt-timeout:
		return &sim.before
	case since >= skewAt && sinceMove >= skewGrace && since < skewAt+skewDuration-timeout:
		return &sim.during
	default:
		return &skewCounts{}
	}
}

// tick opens the connections that are due, and reports the mean demand to each entry.
func (sim *skewSim) tick(now time.Time) {
	if sim == nil {
		return
	}

	if sim.restarts && now.Equal(startTime.Add(skewAt)) {
		for i := range sim.decliners {
			sim.decliners[i] = &callers.Decliner{}
		}
	}

	due := sim.retries
	sim.retries = nil

	for _, e := range due {
		if e.at.After(now) {
			sim.retries = append(sim.retries, e)
		} else {
			e.run(now)
		}
	}

	if now.Sub(startTime)%demandInterval != 0 || sim.meanLost && now.Sub(startTime) > 2*time.Second {
		return
	}

	sum := 0.0
	for _, d := range sim.decliners {
		sum += d.Demand.PerSecond(now)
	}

	sim.means = append(sim.means, sum/float64(len(sim.decliners)))
	if len(sim.means) <= demandReports {
		return
	}

	mean := sim.means[len(sim.means)-1-demandReports]
	if sim.meanFactor > 0 {
		mean *= sim.meanFactor
	}

	for _, d := range sim.decliners {
		d.Demand.SetMean(now, mean)
	}
}

// deskConfig describes a service without groups.
type deskConfig struct {
	service                 dispatch.Service
	entries, targets, slots int
	// serviceTime is the mean time that a request takes in a slot. utilization is the fraction of all
	// slots that the requests occupy.
	serviceTime time.Duration
	utilization float64
	// reportsLoad is set if targets state their load in each answer.
	reportsLoad bool
	// ratePerSecond is the rate limit that targets state; zero if they state none.
	ratePerSecond          float64
	latencyTarget, timeout time.Duration
	skew                   skewLoad
}

type deskRequest struct {
	entry           *testEntry
	placed          dispatch.Action
	arrived, endsAt time.Time
	counts          *skewCounts
}

// deskSim is a run of a deskConfig.
type deskSim struct {
	*entrySet
	*skewSim

	cfg             deskConfig
	r               *rand.Rand
	waiting         map[uint64]*deskRequest
	running, queued map[string][]*deskRequest
	// maxAtTarget is the largest number of requests at a target at once.
	maxAtTarget int
}

// maxQueuedAtDesk is the number of requests that a target queues. It rejects others.
const maxQueuedAtDesk = 4

func (c deskConfig) simulate(seed uint64) *deskSim {
	sim := &deskSim{
		cfg: c, r: rand.New(rand.NewPCG(seed, 3)), waiting: map[uint64]*deskRequest{},
		running: map[string][]*deskRequest{}, queued: map[string][]*deskRequest{},
		entrySet: newEntrySet(c.entries, c.targets, c.service, func(t *dispatch.Target) { t.Slots = c.slots }),
		skewSim:  newSkewSim(c.skew, c.entries),
	}

	const tick = 4 * time.Millisecond

	perSecond := c.utilization * float64(c.targets*c.slots) / c.serviceTime.Seconds()

	for n := range int((skewAt + skewDuration) / tick) {
		now := startTime.Add(time.Duration(n) * tick)

		for range poisson(sim.r, perSecond*sim.loadAt(now)*tick.Seconds()) {
			counts := sim.counts(now, c.timeout)
			counts.arrived++

			sim.send(now, sim.choose(now, sim.r, sim.r.IntN(c.entries)), 0, &deskRequest{arrived: now, counts: counts})
		}

		for _, t := range sim.targets {
			sim.advance(now, t.ID)
		}

		sim.tick(now)

		if n%5 == 0 {
			for _, e := range sim.entries {
				sim.handle(now, e, e.Tick(now))
			}
		}
	}

	return sim
}

// send sends a request to entry i on a new connection. attempt counts those that were declined.
func (sim *deskSim) send(now time.Time, i, attempt int, req *deskRequest) {
	e := sim.entries[i]

	redial := func(now time.Time) {
		sim.send(now, (i+1+sim.r.IntN(len(sim.entries)-1))%len(sim.entries), attempt+1, req)
	}
	if !sim.accept(now, i, e.Waiting(), attempt, req.counts, redial) {
		return
	}

	req.entry = e
	sim.lastID++
	sim.waiting[sim.lastID] = req
	sim.handle(now, e, e.Submit(now, dispatch.Request{
		ID: sim.lastID, Service: sim.service.Name, SoftDeadline: req.arrived.Add(sim.cfg.latencyTarget), Deadline: req.arrived.Add(sim.cfg.timeout),
	}))
}

func (sim *deskSim) handle(now time.Time, e *testEntry, actions []dispatch.Action) {
	for _, a := range actions {
		req := sim.waiting[a.ID]
		delete(sim.waiting, a.ID)

		if !a.Placed {
			sim.refuse(now, slices.Index(sim.entries, e), req.counts)

			continue
		}

		req.placed = a
		id := a.Target.ID
		sim.sent[id] = append(sim.sent[id], now)
		sim.maxAtTarget = max(sim.maxAtTarget, len(sim.queued[id])+len(sim.running[id])+1)

		if len(sim.queued[id]) >= maxQueuedAtDesk {
			sim.refuse(now, slices.Index(sim.entries, e), req.counts)
			sim.handle(now, e, e.Finish(now, a, 1, dispatch.Rejected))

			continue
		}

		sim.queued[id] = append(sim.queued[id], req)
	}
}

func (sim *deskSim) advance(now time.Time, id string) {
	var ended []*deskRequest

	sim.running[id] = slices.DeleteFunc(sim.running[id], func(req *deskRequest) bool {
		if now.Before(req.endsAt) {
			return false
		}

		ended = append(ended, req)

		return true
	})

	for len(sim.running[id]) < sim.cfg.slots && len(sim.queued[id]) > 0 {
		req := sim.queued[id][0]
		sim.queued[id] = sim.queued[id][1:]
		req.endsAt = now.Add(time.Duration((0.5 + sim.r.Float64()) * float64(sim.cfg.serviceTime)))
		sim.running[id] = append(sim.running[id], req)
	}

	for _, req := range ended {
		req.counts.finish(now.Sub(req.arrived) > sim.cfg.latencyTarget)

		if sim.cfg.reportsLoad {
			sim.handle(now, req.entry, req.entry.ReportLoad(now, sim.service.Name, id, dispatch.Load{Running: len(sim.running[id]), Waiting: len(sim.queued[id])}))
		}

		if sim.cfg.ratePerSecond > 0 {
			req.entry.ReportRateLimit(now, req.placed, dispatch.RateLimit{PerSecond: sim.cfg.ratePerSecond, Stated: true})
		}

		sim.handle(now, req.entry, req.entry.Finish(now, req.placed, 1, dispatch.Completed))
	}
}

// maxSentPerSecond returns the largest number of requests that a target was sent within a second.
func (sim *deskSim) maxSentPerSecond() int {
	most := 0

	for _, times := range sim.sent {
		from := 0
		for i := range times {
			for times[i].Sub(times[from]) >= time.Second {
				from++
			}

			most = max(most, i-from+1)
		}
	}

	return most
}

// bookings is a service whose targets bound their connections.
func bookings(entries int, utilization float64, skew skewLoad) deskConfig {
	return deskConfig{
		service: dispatch.Service{Name: "bookings", MaxConnections: 120}, entries: entries, targets: 20, slots: 6, serviceTime: 120 * time.Millisecond,
		utilization: utilization, latencyTarget: 600 * time.Millisecond, timeout: 1500 * time.Millisecond, skew: skew,
	}
}

// rated is a service whose targets state a rate limit.
func rated(entries int, utilization float64, skew skewLoad) deskConfig {
	c := bookings(entries, utilization, skew)
	c.service.MaxConnections, c.ratePerSecond = 0, 75

	return c
}

// drafts is a service whose targets bound the requests per second while they are cold.
func drafts(entries int, utilization float64, skew skewLoad) deskConfig {
	return deskConfig{
		service: dispatch.Service{Name: "drafts", ColdPerSecond: 26}, entries: entries, targets: 20, slots: 6, serviceTime: 400 * time.Millisecond,
		utilization: utilization, reportsLoad: true, latencyTarget: time.Second, timeout: 1500 * time.Millisecond, skew: skew,
	}
}

// skewCase is a case of the tests below.
type skewCase struct {
	entries               int
	utilization, fraction float64
}

func (c skewCase) String() string {
	return fmt.Sprintf("Entries=%d/Utilization=%.1f/Fraction=%.1f", c.entries, c.utilization, c.fraction)
}

// skewCases lists the sizes and loads with which skewed connections are tested: of the large ones,
// which take long, the hardest load.
func skewCases() []skewCase {
	return []skewCase{
		{3, 0.9, 1},
		{7, 0.6, 1},
		{7, 0.9, 0.7},
		{7, 0.9, 1},
		{14, 0.9, 1},
		{39, 0.9, 1},
		{largeSkew, 0.9, 1},
	}
}

// largeSkew is the largest number of entries. It is tested with fewer kinds of limits, as a run takes
// long.
const largeSkew = 289

// requireLimits fails if a target got more requests than all entries together may send there.
func (sim *deskSim) requireLimits(t *testing.T) {
	t.Helper()

	if limit := sim.service.MaxConnections; limit > 0 {
		require.LessOrEqual(t, sim.maxAtTarget, limit)
	}

	if limit := sim.cfg.ratePerSecond; limit > 0 {
		require.LessOrEqual(t, float64(sim.maxSentPerSecond()), limit)
	}

	if limit := sim.service.ColdPerSecond; limit > 0 {
		require.LessOrEqual(t, float64(sim.maxSentPerSecond()), limit*coldOvershoot+coldSlack)
	}
}

// Guards against requests that are refused at the one entry that gets most new connections, because
// its shares of limits are small, while the other entries leave theirs unused.
func TestSkewedConnectionsAreServedByTheOtherEntries(t *testing.T) {
	t.Parallel()

	for name, service := range map[string]func(int, float64, skewLoad) deskConfig{"Connections": bookings, "Cold": drafts, "Rate": rated} {
		for _, c := range skewCases() {
			if c.entries == largeSkew && name == "Rate" {
				continue
			}

			t.Run(name+"/"+c.String(), func(t *testing.T) {
				t.Parallel()

				sim := service(c.entries, c.utilization, skewLoad{fraction: c.fraction, declines: true}).simulate(1)

				t.Logf("before %v; during %v, %d declined", sim.before, sim.during, sim.declined)
				require.GreaterOrEqual(t, sim.during.served(), minServedRatio*sim.before.served())
				require.LessOrEqual(t, sim.during.unread, sim.during.arrived/50)
				sim.requireLimits(t)
			})
		}
	}
}

// Guards against shares of the connections of targets that are too small for one entry which gets all
// requests of a small deployment: no connection needs to be declined there.
func TestSkewedRequestsFitTheConnectionsOfAFewEntries(t *testing.T) {
	t.Parallel()

	for _, c := range skewCases() {
		if c.entries > 14 {
			continue
		}

		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()

			sim := bookings(c.entries, c.utilization, skewLoad{fraction: c.fraction}).simulate(1)

			t.Logf("before %v; during %v", sim.before, sim.during)
			require.GreaterOrEqual(t, sim.during.served(), minServedRatio*sim.before.served())
			sim.requireLimits(t)
		})
	}
}

// Guards against an entry that declines too late, or for too long, where most connections go to one
// entry after the other.
func TestSkewedConnectionsMayMoveToAnotherEntry(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{3, 7, 39} {
		t.Run(fmt.Sprintf("Entries=%d", entries), func(t *testing.T) {
			t.Parallel()

			sim := drafts(entries, 0.9, skewLoad{fraction: 1, moveInterval: 4200 * time.Millisecond, declines: true}).simulate(1)

			t.Logf("before %v; during %v, %d declined", sim.before, sim.during, sim.declined)
			require.GreaterOrEqual(t, sim.during.served(), minServedRatio*sim.before.served())
			sim.requireLimits(t)
		})
	}
}

// Guards against entries that decline each other's callers, who are then served by none: because the
// load rises at all entries, or because the mean that they hear is outdated or wrong.
func TestConnectionsAreDeclinedInVainRarely(t *testing.T) {
	t.Parallel()

	for name, l := range map[string]skewLoad{
		"Surge":             {surge: 2},
		"SurgeAfterLoss":    {surge: 2, meanLost: true},
		"SkewAfterLoss":     {fraction: 1, meanLost: true},
		"MeanTooLow":        {meanFactor: 0.3},
		"MeanTooHigh":       {meanFactor: 5},
		"SurgeMeanTooLow":   {surge: 2, meanFactor: 0.3},
		"SkewMeanTooLow":    {fraction: 1, meanFactor: 0.3},
		"SkewAfterRestarts": {fraction: 1, restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			without := drafts(7, 0.9, l).simulate(1)
			l.declines = true
			with := drafts(7, 0.9, l).simulate(1)

			t.Logf("during %v, %d declined; without declining %v", with.during, with.declined, without.during)
			with.requireLimits(t)
			require.GreaterOrEqual(t, with.during.served(), 0.95*without.during.served())
		})
	}
}

// skewedFleet is a group whose targets bear a load, and the part of it that arrives.
func skewedFleet(c skewCase, prioritized bool) fleetConfig {
	f := overloadedFleet(c.entries)
	f.callerSigma, f.skew = 0.2, &skewLoad{fraction: c.fraction, declines: true}

	if !prioritized {
		f.levels = nil
	}

	f.targets = map[int]int{3: 8, 7: 24, 14: 32, 39: 129, 289: 645}[c.entries]
	f.subsetSize = shares.SubsetSize(c.entries, f.targets)
	f.duration = skewAt + skewDuration + f.timeout
	f.perSecond = c.utilization * float64(f.targets) * 6 / (17.8 * f.step.Seconds())

	return f
}

// Guards against streams that are refused at the one entry that gets most new connections.
func TestSkewedStreamsAreServedByTheOtherEntries(t *testing.T) {
	t.Parallel()

	for name, prioritized := range map[string]bool{"Plain": false, "Prioritized": true} {
		for _, c := range skewCases() {
			if c.entries == largeSkew && prioritized {
				continue
			}

			t.Run(name+"/"+c.String(), func(t *testing.T) {
				t.Parallel()

				sim := skewedFleet(c, prioritized).simulate(1)

				t.Logf("before %v; during %v, %d declined", sim.skewed.before, sim.skewed.during, sim.skewed.declined)
				require.GreaterOrEqual(t, sim.skewed.during.served(), minServedRatio*sim.skewed.before.served())
				require.LessOrEqual(t, sim.skewed.during.unread, sim.skewed.during.arrived/50)
				require.Less(t, sim.queuedFraction(), 0.02)
			})
		}
	}
}
