package role

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/loads"
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// rankWatch is how often an agent looks whether its rank is the first one.
	rankWatch = 200 * time.Millisecond
	// rankPeer bounds one question to another agent; then its engine is asked itself.
	rankPeer = 70 * time.Millisecond
	// rankStop bounds how long a stopping agent finishes a switch.
	rankStop = 3 * time.Second
)

// RankAgent is the role of an agent beside a rank of a lock-step group. Its fields
// are set before Run.
type RankAgent struct {
	ID       string
	Cluster  string
	Zone     string
	Listener net.Listener
	Seeds    func() []netip.AddrPort
	// Engine is the one on this VM, EngineAt another rank's: it is spoken to where
	// the agent beside it does not answer.
	Engine lockstep.Engine
	// Datagrams takes entries' asks for loads.
	Datagrams net.PacketConn
	EngineAt  func(netip.AddrPort) lockstep.Engine
	Logs      logs.Output
	Dump      *dump.Dump

	logger   *slog.Logger
	follower *view.Follower
	clients  followClients
	peers    *http.Client

	// relay is the entry that is tried first.
	relay atomic.Int32
	// tried is the highest version of a map that this agent tried, in any epoch.
	tried uint64

	engines engines

	// mu guards the maps that this agent knows, and which of them is in use.
	mu    sync.Mutex
	maps  lockstep.Maps
	inUse uint64
}

// Run runs the role until ctx ends.
func (a *RankAgent) Run(ctx context.Context) error {
	a.logger = a.Logs.Logger("rank")
	a.engines.at = a.EngineAt
	a.Dump.Add("Rank", func() any {
		r, err := a.Engine.Report(ctx)

		return RankState{Report: r, Error: errorText(err)}
	})
	a.peers = newFollowClient()

	mux := http.NewServeMux()
	mux.Handle(wire.RankPeerPathPrefix, wire.NewRankPeerServer(a))

	web := &http.Server{Handler: mux, ReadHeaderTimeout: controlTry}

	g, work := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(web, a.Listener, "ranks") })
	g.Go(func() error {
		t := &loads.Teller{Cluster: a.Cluster, Conn: a.Datagrams, Load: a.load, Logger: a.logger}

		return t.Run(work)
	})
	g.Go(func() error {
		a.watch(work)

		return eris.Wrap(web.Close(), "close ranks")
	})

	a.logger.Info("Started.", "zone", a.Zone)

	err := eris.Wrap(g.Wait(), "run agent")
	a.logger.Info("Stopped.", "error", err)

	return err
}

func (a *RankAgent) load(ctx context.Context) (loads.Load, error) {
	r, err := a.Engine.Report(ctx)

	return loads.Load{Running: r.Running, Waiting: r.Waiting}, err
}

// standbyRank is the rank whose agent stands by for the directing one.
const standbyRank = 1

// RankState is the engine of this VM in a dump.
type RankState struct {
	Report lockstep.Report
	Error  string
}

func errorText(err error) string {
	if err == nil {
		return ""
	}

	return err.Error()
}

// watch directs the group while this VM's rank is its first one, and stands by
// while it is the second.
func (a *RankAgent) watch(ctx context.Context) {
	tick := time.NewTicker(rankWatch)
	defer tick.Stop()

	for {
		if r, err := a.Engine.Report(ctx); err == nil && r.Group != "" && r.Rank <= standbyRank && r.Size > standbyRank {
			a.direct(ctx, r)
		}

		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// direct directs the group of r until its epoch ends.
func (a *RankAgent) direct(ctx context.Context, r lockstep.Report) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()

	// What this agent must know of the others outlives ctx, until a switch that has
	// begun is finished.
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()

	a.follower = &view.Follower{
		Cluster: a.Cluster, ID: a.ID, Zone: a.Zone, Seeds: a.Seeds, Ask: a.clients.ask,
		Leaving: func() bool { return true }, OnChange: func(*view.Followed) {}, Logger: a.Logs.Logger("view"),
	}
	a.follower.Init()

	go func() { _ = a.follower.Run(follow) }()

	shape, ok := a.awaitShape(ctx, r)
	if !ok {
		return
	}

	go a.watchEpoch(ctx, stop, r)

	done := make(chan struct{})

	go func() {
		defer close(done)
		a.serveGroup(ctx, shape, r)
	}()

	<-ctx.Done()

	select {
	case <-done:
	case <-time.After(rankStop):
		a.logger.Warn("A switch was not finished in time.")
	}
}

// serveGroup directs the group, or stands by.
func (a *RankAgent) serveGroup(ctx context.Context, shape lockstep.Shape, r lockstep.Report) {
	logger := a.Logs.Logger("experts")
	ranks := lockstep.Ranks{Size: r.Size, Epoch: r.Epoch, Look: a.lookAt(r), Order: a.orderAt(r)}

	if r.Rank == standbyRank {
		s := &lockstep.Standby{
			Ranks: ranks, Settings: lockstep.DefaultSettings(), Logger: logger,
			Director: func(ctx context.Context) bool { return a.answers(ctx, r, 0) },
		}
		s.Run(ctx)

		return
	}

	d := &lockstep.Director{Shape: shape, Ranks: ranks, Settings: lockstep.DefaultSettings(), Logger: logger, Tried: a.tried}
	d.Run(ctx)
	a.tried = d.Tried
}

// answers reports whether the agent beside a rank answers.
func (a *RankAgent) answers(ctx context.Context, group lockstep.Report, rank int) bool {
	t, err := a.target(group, rank)
	if err != nil {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, rankPeer)
	defer cancel()

	_, err = a.peer(t).Look(ctx, &wire.LookRequest{Cluster: a.Cluster})

	return err == nil
}

// watchEpoch ends ctx once the group has another epoch or this rank is not the
// first one any more.
func (a *RankAgent) watchEpoch(ctx context.Context, stop context.CancelFunc, was lockstep.Report) {
	tick := time.NewTicker(rankWatch)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		if r, err := a.Engine.Report(ctx); err == nil && (r.Epoch != was.Epoch || r.Rank != was.Rank || r.Group != was.Group || r.Size != was.Size) {
			stop()

			return
		}
	}
}

// awaitShape waits for the configuration and the directory to name all ranks.
func (a *RankAgent) awaitShape(ctx context.Context, r lockstep.Report) (lockstep.Shape, bool) {
	for {
		f := a.follower.State()

		if ranks, service := a.ranks(f, r); len(ranks) == r.Size && f.Table != nil {
			if s := f.Table.Service(service); s != nil && s.Experts.Sets > 0 {
				return lockstep.Shape{
					Sets: s.Experts.Sets, Experts: s.Experts.Experts, Ranks: r.Size,
					Places: s.Experts.Places, Spare: s.Experts.Spare, Copy: s.Experts.Copy,
				}, true
			}
		}

		if now, err := a.Engine.Report(ctx); err == nil && now.Epoch != r.Epoch {
			return lockstep.Shape{}, false
		}

		select {
		case <-ctx.Done():
			return lockstep.Shape{}, false
		case <-time.After(rankWatch / 4):
		}
	}
}

// ranks returns the targets of a group by rank, and their service. An earlier
// incarnation that the directory still holds gives way to the later one.
func (a *RankAgent) ranks(f *view.Followed, r lockstep.Report) (map[int]directory.Target, string) {
	out := make(map[int]directory.Target)
	service := ""

	for _, t := range f.Targets {
		if have, ok := out[t.Group.Rank]; t.Group.Name == r.Group && (!ok || t.Group.Epoch > have.Group.Epoch || t.Born > have.Born) {
			out[t.Group.Rank] = t
			service = t.Service
		}
	}

	return out, service
}

// errNoRank says that the directory names no target for a rank.
var errNoRank = errors.New("role: the rank's target is not known")

func (a *RankAgent) target(r lockstep.Report, rank int) (directory.Target, error) {
	ranks, _ := a.ranks(a.follower.State(), r)

	t, ok := ranks[rank]
	if !ok {
		return t, errNoRank
	}

	return t, nil
}

// peerAddress returns where the agent beside a target listens: at this agent's own
// port.
func (a *RankAgent) peerAddress(t directory.Target) string {
	own, _ := netip.ParseAddrPort(a.Listener.Addr().String())

	return netip.AddrPortFrom(t.Address.Addr(), own.Port()).String()
}

func (a *RankAgent) peer(t directory.Target) wire.RankPeer {
	return wire.NewRankPeerProtobufClient("http://"+a.peerAddress(t), a.peers)
}

func (a *RankAgent) engineOf(t directory.Target) lockstep.Engine { return a.engines.of(t.Address) }

func (a *RankAgent) lookAt(group lockstep.Report) func(context.Context, int, lockstep.Question) (lockstep.Look, error) {
	return func(ctx context.Context, rank int, q lockstep.Question) (lockstep.Look, error) {
		others := a.neighbours(group, rank, q)
		if rank == group.Rank {
			return a.look(ctx, q, others)
		}

		t, err := a.target(group, rank)
		if err != nil {
			return lockstep.Look{}, err
		}

		try, cancel := context.WithTimeout(ctx, rankPeer)
		defer cancel()

		out, err := a.peer(t).Look(try, &wire.LookRequest{Cluster: a.Cluster, Counts: q.Counts, Lists: q.Lists, Others: others})
		if err == nil {
			return lookFromWire(out), nil
		}

		// Its agent may just be starting again. The report alone is cheap from afar.
		report, err := a.engineOf(t).Report(ctx)

		return lockstep.Look{Report: report}, err
	}
}

// neighbours returns the agents whose counts a rank's agent is to add to its own.
func (a *RankAgent) neighbours(group lockstep.Report, rank int, q lockstep.Question) []string {
	var out []string

	for other := rank + 1; q.Counts && other < rank+q.Sum; other++ {
		if t, err := a.target(group, other); err == nil {
			out = append(out, a.peerAddress(t))
		}
	}

	return out
}

// addCounts adds other agents' counts to counts. Where one does not answer there are
// none: a sum over fewer ranks would look as if counts had fallen.
func (a *RankAgent) addCounts(ctx context.Context, counts []uint64, others []string) ([]uint64, error) {
	answers := make([]*wire.LookAnswer, len(others))

	g, ctx := errgroup.WithContext(ctx)
	for i, at := range others {
		g.Go(func() error {
			var err error

			answers[i], err = wire.NewRankPeerProtobufClient("http://"+at, a.peers).Look(ctx, &wire.LookRequest{Cluster: a.Cluster, Counts: true})

			return eris.Wrap(err, "add counts")
		})
	}

	if err := g.Wait(); err != nil {
		return nil, eris.Wrap(err, "add counts")
	}

	for _, answer := range answers {
		if len(answer.GetCounts()) != len(counts) {
			return nil, errCounts
		}

		for i, n := range answer.GetCounts() {
			counts[i] += n
		}
	}

	return counts, nil
}

// errCounts says that two ranks count different experts.
var errCounts = errors.New("role: ranks of a group count different experts")

func (a *RankAgent) orderAt(group lockstep.Report) func(context.Context, int, *wire.EngineOrder) wire.EngineResult {
	return func(ctx context.Context, rank int, o *wire.EngineOrder) wire.EngineResult {
		t, err := a.target(group, rank)
		if err != nil {
			return wire.EngineResult_EngineUnknown
		}

		sent := proto.CloneOf(o)
		sent.Cluster = a.Cluster

		if stopsTheGroup(o) {
			if got := a.relayed(ctx, t, sent); got != wire.EngineResult_EngineUnknown {
				return got
			}

			return a.engineOf(t).Order(ctx, o)
		}

		if rank == group.Rank {
			return a.Engine.Order(ctx, o)
		}

		if got := a.byPeer(ctx, t, sent); got != wire.EngineResult_EngineUnknown {
			return got
		}

		return a.engineOf(t).Order(ctx, o)
	}
}

// byPeer gives an order by way of the agent beside a target. A map goes as the
// changes from the one in use, which most agents know.
func (a *RankAgent) byPeer(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		ctx, cancel := context.WithTimeout(ctx, rankPeer)
		defer cancel()

		return a.send(ctx, t, o)
	}

	m := lockstep.MapOf(o)
	o.Map = nil

	a.mu.Lock()
	a.maps.Put(o.GetVersion(), m)
	base := a.maps.Get(a.inUse)
	o.Base = a.inUse
	a.mu.Unlock()

	if base != nil {
		o.Changes = base.Changes(m)

		if got := a.send(ctx, t, o); got != wire.EngineResult_EngineNoBase {
			return got
		}
	}

	o.Base, o.Changes, o.Whole = 0, nil, m.Pack()

	return a.send(ctx, t, o)
}

func (a *RankAgent) send(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	out, err := a.peer(t).Order(ctx, o)
	if err != nil {
		return wire.EngineResult_EngineUnknown
	}

	return out.GetResult()
}

// stopsTheGroup reports whether an order holds a step, or ends that. These go by a
// VM without an engine: where a rank's own VM froze just after it had given one,
// nobody could ask its engine whether it is armed, and the group would stand still
// until that VM wakes.
func stopsTheGroup(o *wire.EngineOrder) bool {
	return o.GetKind() == wire.EngineOrderKind_EngineOrderHold || o.GetKind() == wire.EngineOrderKind_EngineOrderGo
}

// relayTries is how many entries are tried.
const relayTries = 2

// relayed gives an order by way of an entry.
func (a *RankAgent) relayed(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	relays := a.follower.State().Relays

	for i := range min(relayTries, len(relays)) {
		at := relays[(int(a.relay.Load())+i)%len(relays)]
		try, cancel := context.WithTimeout(ctx, rankPeer)
		out, err := wire.NewEngineRelayProtobufClient("http://"+at.String(), a.peers).Relay(try, &wire.RelayedOrder{Engine: t.Address.String(), Order: o})

		cancel()

		if err == nil && out.GetResult() != wire.EngineResult_EngineUnknown {
			return out.GetResult()
		}

		a.relay.Add(1)
	}

	return wire.EngineResult_EngineUnknown
}

// look looks at this VM's engine, and adds the counts of others.
func (a *RankAgent) look(ctx context.Context, q lockstep.Question, others []string) (lockstep.Look, error) {
	report, err := a.Engine.Report(ctx)
	out := lockstep.Look{Report: report}

	if err == nil {
		a.mu.Lock()
		a.inUse = report.Map
		a.mu.Unlock()
	}

	if err == nil && q.Counts {
		out.Counts, err = a.Engine.Counts(ctx)
	}

	if err == nil && len(others) > 0 {
		out.Counts, err = a.addCounts(ctx, out.Counts, others)
	}

	if err == nil && q.Lists {
		out.ListsOf, out.Lists, err = a.Engine.Lists(ctx)
	}

	return out, err
}

// Look implements wire.RankPeer.
func (a *RankAgent) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookAnswer, error) {
	if r.GetCluster() != a.Cluster {
		return nil, errOtherCluster
	}

	l, err := a.look(ctx, lockstep.Question{Counts: r.GetCounts(), Lists: r.GetLists()}, r.GetOthers())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error()) //nolint:wrapcheck // the server looks for its own type
	}

	out := &wire.LookAnswer{Report: l.Report.ToWire(), Counts: l.Counts, ListsOf: l.ListsOf}
	for _, set := range l.Lists {
		out.Lists = append(out.Lists, lockstep.SetToWire(set))
	}

	return out, nil
}

// Order implements wire.RankPeer.
func (a *RankAgent) Order(ctx context.Context, o *wire.EngineOrder) (*wire.EngineOrderAnswer, error) {
	if o.GetCluster() != a.Cluster {
		return nil, errOtherCluster
	}

	a.mu.Lock()
	ok, err := a.maps.Open(o)
	a.mu.Unlock()

	switch {
	case err != nil:
		return nil, twirp.InvalidArgumentError("Map", err.Error())
	case !ok:
		return &wire.EngineOrderAnswer{Result: wire.EngineResult_EngineNoBase}, nil
	}

	return &wire.EngineOrderAnswer{Result: a.Engine.Order(ctx, o)}, nil
}

// errOtherCluster refuses what is meant for another deployment.
var errOtherCluster = twirp.NewError(twirp.FailedPrecondition, "this agent belongs to another cluster")

func lookFromWire(w *wire.LookAnswer) lockstep.Look {
	l := lockstep.Look{Report: lockstep.ReportFromWire(w.GetReport()), Counts: w.GetCounts(), ListsOf: w.GetListsOf()}

	for _, set := range w.GetLists() {
		experts := make([]uint16, 0, len(set.GetExperts()))
		for _, e := range set.GetExperts() {
			experts = append(experts, uint16(e))
		}

		l.Lists = append(l.Lists, experts)
	}

	return l
}

// followClients are the connections of a follower, one client a control VM.
type followClients struct {
	clients sync.Map // of *http.Client, by address
}

// ask asks a control VM over a connection of its own. One that went silent is
// given up with its question, and the next one dials anew.
func (c *followClients) ask(ctx context.Context, control netip.AddrPort, q *wire.FollowRequest) (*wire.FollowResponse, error) {
	kept, ok := c.clients.Load(control)
	if !ok {
		kept, _ = c.clients.LoadOrStore(control, newFollowClient())
	}

	client := kept.(*http.Client)

	out, err := wire.NewPublisherProtobufClient("http://"+control.String(), client).Follow(ctx, q)
	if err != nil {
		client.CloseIdleConnections()
	}

	return out, eris.Wrap(err, "follow control VM")
}

func newFollowClient() *http.Client {
	dialer := &identity.Dialer{Timeout: controlDial}

	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.Dial, IdleConnTimeout: controlIdle, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
}
