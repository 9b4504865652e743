package role

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// rankWatchInterval is the interval at which an agent checks its engine's rank, group and
	// epoch.
	rankWatchInterval = 200 * time.Millisecond
	// peerTimeout bounds one request to another agent. After it, the request goes to
	// the engine beside that agent directly.
	peerTimeout = 70 * time.Millisecond
	// peerSumTimeout bounds a request to an agent that must fetch counts of other
	// agents to answer it.
	peerSumTimeout = 2 * peerTimeout
	// directorCheckTimeout bounds a check whether the directing agent is alive. It is
	// longer than peerTimeout, because that agent may answer slowly while it
	// communicates with all ranks of a large group, and must not be considered failed
	// then.
	directorCheckTimeout = 250 * time.Millisecond
	// switchStopTimeout bounds how long an agent that stops directing continues a
	// switch in progress.
	switchStopTimeout = 3 * time.Second
)

// RankAgent is the role of an agent beside a rank of a lock-step group. Its fields must
// be set before Run.
type RankAgent struct {
	ID       string
	Cluster  string
	Zone     string
	Listener net.Listener
	Seeds    func() []netip.AddrPort
	// Engine is the engine on this VM. EngineAt returns a client for another rank's
	// engine, which is used if the agent beside it does not answer.
	Engine lockstep.Engine
	// LoadConn receives the load subscriptions of entries.
	LoadConn net.PacketConn
	EngineAt func(netip.AddrPort) lockstep.Engine
	Logs     logs.Output
	Dump     *dump.Dump
	// Bounds are those of the clients of Listener.
	Bounds callers.Bounds

	logger   *slog.Logger
	follower *view.Follower
	clients  followClients
	peerHTTP *http.Client

	lastReport atomic.Pointer[receivedReport]
	// steps is used only by load.
	steps stepProgress
	skew  *mapSkew
	// relayIndex selects the entry that is tried first as a relay.
	relayIndex atomic.Int32
	engines    engineCache

	// mu guards the fields below. activeVersion is the version of the map in use.
	mu sync.Mutex
	// highestAttempted is the highest map version with which this agent attempted a
	// switch, in any epoch.
	highestAttempted uint64
	// lastDemand is the demand of the group when this agent last stopped directing it.
	lastDemand    groupDemand
	maps          lockstep.MapCache
	activeVersion uint64
	// lastPacked is the last packed order, reused for all ranks.
	lastPacked *packedOrder
	// countEncoder holds the counts sent to other agents; countDecoders hold those
	// received from them, by countsKey.
	countEncoder  lockstep.CountEncoder
	countDecoders map[string]*lockstep.CountDecoder
	// helperIndex selects the helper of each part of the group, by the first rank of
	// the part.
	helperIndex map[int]int
}

// Run runs the role until ctx ends.
func (a *RankAgent) Run(ctx context.Context) error {
	a.logger = a.Logs.Logger("rank")
	a.engines.newEngine = a.EngineAt
	a.Dump.Add("Rank", func() any {
		r, err := a.Engine.Report(ctx)

		return RankState{Report: r, Error: errorText(err)}
	})
	a.peerHTTP = newFollowClient()
	a.skew = newMapSkew()
	a.countEncoder.Mark = uint64(time.Now().UnixMicro())
	a.countDecoders = make(map[string]*lockstep.CountDecoder)

	mux := http.NewServeMux()
	mux.Handle(wire.RankPeerPathPrefix, wire.NewRankPeerServer(a))

	listener := a.Bounds.Listen("Ranks", a.Listener)
	server := listener.Server(mux)

	g, work := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(server, listener, "ranks") })
	g.Go(func() error {
		t := &loadreport.Publisher{Cluster: a.Cluster, Conn: a.LoadConn, Load: a.load, Changed: a.skew.changed, Logger: a.logger}

		return t.Run(work)
	})
	g.Go(func() error {
		a.watchRank(work)

		return eris.Wrap(server.Close(), "close rank server")
	})

	a.logger.Info("Started.", "zone", a.Zone)

	err := eris.Wrap(g.Wait(), "run agent")
	a.logger.Info("Stopped.", "error", err)

	return err
}

// standbyRank is the rank whose agent replaces the directing agent if that one fails.
const standbyRank = 1

// watchRank directs the group while this VM's rank is rank 0, and acts as its standby
// while it is standbyRank.
func (a *RankAgent) watchRank(ctx context.Context) {
	tick := time.NewTicker(rankWatchInterval)
	defer tick.Stop()

	// The follower outlives ctx, because a switch in progress needs it to finish. It also
	// outlives the epochs of the group: one that starts anew knows the ranks only half a
	// second after the group has opened.
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()

	for {
		r, err := a.recentReport(ctx, rankWatchInterval)
		if directs := err == nil && r.Group != "" && r.Rank <= standbyRank && r.Size > standbyRank; directs && ctx.Err() == nil {
			if a.follower == nil {
				a.follow(follow)
			}

			a.direct(ctx, r)
			a.lastReport.Store(nil) // It may be one of the epoch that has ended.

			continue // The next epoch has begun.
		}

		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// follow starts the follower, which runs until ctx ends.
func (a *RankAgent) follow(ctx context.Context) {
	a.follower = &view.Follower{
		Cluster: a.Cluster, ID: a.ID, Zone: a.Zone, Seeds: a.Seeds, Poll: a.clients.poll,
		// Routes are omitted: each control VM sends the complete configuration on a
		// change, and one with 1,773 routes occupied a link of 8 Mbit/s for a second,
		// during which the directing agent received nothing else.
		ServicesOnly: true,
		Stopping:     func() bool { return true }, OnChange: func(*view.ClusterState) {}, Logger: a.Logs.Logger("view"),
	}
	a.follower.Init()

	go func() { _ = a.follower.Run(ctx) }()
}

// direct directs the group of r, or acts as its standby, until its epoch ends.
func (a *RankAgent) direct(ctx context.Context, r lockstep.Report) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	shape, ok := a.awaitShape(ctx, r)
	if !ok {
		return
	}

	go a.watchEpoch(ctx, stop, r)

	done := make(chan struct{})

	go func() {
		defer close(done)
		a.runGroup(ctx, shape, r)
	}()

	<-ctx.Done()

	select {
	case <-done:
	case <-time.After(switchStopTimeout):
		a.logger.Warn("An expert map switch did not finish before the stop timeout.")
	}
}

// runGroup directs the group, or acts as its standby.
func (a *RankAgent) runGroup(ctx context.Context, shape lockstep.Shape, r lockstep.Report) {
	a.resetCounts()

	logger := a.Logs.Logger("experts")
	ranks := lockstep.GroupClient{Size: r.Size, Epoch: r.Epoch, Poll: a.pollFunc(r), Order: a.orderFunc(r), FanOut: a.fanOutFunc(r)}

	if r.Rank == standbyRank {
		s := &lockstep.Standby{
			Group: ranks, Settings: lockstep.DefaultSettings(), Logger: logger,
			DirectorAlive: func(ctx context.Context) bool { return a.peerAnswers(ctx, r, 0) },
		}
		s.Run(ctx)

		return
	}

	a.mu.Lock()
	d := &lockstep.Director{
		Shape: shape, Group: ranks, Settings: lockstep.DefaultSettings(), Logger: logger, HighestAttempted: a.highestAttempted,
		InitialDemand: a.lastDemand.at(time.Now(), r.Group),
		OnSkew:        func(skew float64) { a.skew.set(time.Now(), r, skew) },
	}
	a.mu.Unlock()

	d.Run(ctx)

	a.mu.Lock()
	defer a.mu.Unlock()

	a.highestAttempted = max(a.highestAttempted, d.HighestAttempted)
	a.lastDemand = groupDemand{group: r.Group, demand: d.Demand(), validUntil: time.Now().Add(demandTTL)}
}

// demandTTL is how long the demand for experts is expected to stay about the same.
const demandTTL = 10 * time.Second

// groupDemand is the demand of a group at the end of an epoch.
type groupDemand struct {
	group      string
	demand     lockstep.Demand
	validUntil time.Time
}

// at returns the demand of a group, or nil if it is not known or too old.
func (d groupDemand) at(now time.Time, group string) lockstep.Demand {
	if d.group != group || !now.Before(d.validUntil) {
		return nil
	}

	return d.demand
}

// peerAnswers reports whether the agent beside a rank answers. It returns true if the
// directory does not contain the rank.
func (a *RankAgent) peerAnswers(ctx context.Context, group lockstep.Report, rank int) bool {
	t, err := a.target(group, rank)
	if err != nil {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, directorCheckTimeout)
	defer cancel()

	_, err = a.peer(t).Look(ctx, &wire.LookRequest{Cluster: a.Cluster})

	return err == nil
}

// watchEpoch calls stop once the engine reports another epoch, rank, group or group
// size.
func (a *RankAgent) watchEpoch(ctx context.Context, stop context.CancelFunc, initial lockstep.Report) {
	tick := time.NewTicker(rankWatchInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		if r, err := a.Engine.Report(ctx); err == nil && (r.Epoch != initial.Epoch || r.Rank != initial.Rank || r.Group != initial.Group || r.Size != initial.Size) {
			stop()

			return
		}
	}
}

// awaitShape waits until the configuration declares the group's shape and the directory
// contains all ranks. It reports false if the epoch or ctx ends first.
func (a *RankAgent) awaitShape(ctx context.Context, r lockstep.Report) (lockstep.Shape, bool) {
	for {
		f := a.follower.State()

		if ranks, service := a.rankTargets(f, r); len(ranks) == r.Size && f.Table != nil {
			if s := f.Table.Service(service); s != nil && s.Experts.Sets > 0 {
				a.warnOfForeignRanks(f, r)

				return lockstep.Shape{
					Sets: s.Experts.Sets, Experts: s.Experts.Experts, Ranks: r.Size,
					Slots: s.Experts.Slots, SpareSlots: s.Experts.SpareSlots, CopyTime: s.Experts.CopyTime,
					EventGap: s.PrioritizedGap,
				}, true
			}
		}

		if now, err := a.Engine.Report(ctx); err == nil && now.Epoch != r.Epoch {
			return lockstep.Shape{}, false
		}

		select {
		case <-ctx.Done():
			return lockstep.Shape{}, false
		case <-time.After(rankWatchInterval / 4):
		}
	}
}
