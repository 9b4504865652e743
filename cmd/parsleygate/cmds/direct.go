package cmds

import (
	"context"
	"net/http"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/settings"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/platform"
)

// runDirectEntry runs an entry that forwards requests to targets directly, without agents.
func runDirectEntry(ctx context.Context, p *process) error {
	s := p.settings

	ready, err := listenOn(ctx, s.Routing.ReadyAddress)
	if err != nil {
		return err
	}

	datagrams, err := listenDatagrams(ctx, s.Process.AdminAddress)
	if err != nil {
		return err
	}

	e := &role.DirectEntry{
		LoadConn: datagrams, AgentPort: s.Seeds.Port,
		RelayAddress: s.Process.AdminAddress, EngineAt: platform.Engine, InternalMux: p.adminMux,
		ID: s.Process.ID, Cluster: s.Process.Cluster, Zone: s.Process.Zone, Listener: p.listener, ReadyListener: ready,
		Seeds: p.seedSource(), Dialect: platform.Dialect(), ReadinessHandler: platform.Readiness,
		Budget:          &retries.SharedBudget{Ratio: s.Routing.RetryRatio, Slack: s.Routing.MinRetries, Window: s.Routing.RetryWindow},
		PriorityControl: s.Routing.PriorityControl, MaxIdleConnections: idleConnections(s.Routing.IdleConnections),
		MaxCallerConnections: callerConnections(s.Routing.CallerConnections, idleConnections(s.Routing.IdleConnections), s.Process.MemoryMB),
		StopTimeout:          s.Routing.StopTimeout, MaxHeldBytes: int64(s.Process.MemoryMB) << 20 / heldMemoryDivisor,
		MaxHeaderBytes: s.Entry.MaxHeaderBytes, Bounds: p.bounds, Logs: p.logs, Dump: p.dump,
	}

	return e.Run(ctx)
}

// runRankAgent runs the agent of a rank of a lock-step group.
func runRankAgent(ctx context.Context, p *process) error {
	s := p.settings

	datagrams, err := listenDatagrams(ctx, s.Process.Address)
	if err != nil {
		return err
	}

	a := &role.RankAgent{
		LoadConn: datagrams,
		ID:       s.Process.ID, Cluster: s.Process.Cluster, Zone: s.Process.Zone, Listener: p.listener, Seeds: p.seedSource(),
		Engine: platform.Engine(s.Rank.EngineAddress), EngineAt: platform.Engine,
		Bounds: p.bounds, Logs: p.logs, Dump: p.dump,
	}

	return a.Run(ctx)
}

// runAutoMemberControl runs a control VM that discovers the other members through seeds. A
// VM that was removed from the control set while it was down rejoins with a new ID.
func runAutoMemberControl(ctx context.Context, p *process) error {
	// Each run opens its own listener, so that connections are refused, rather than left
	// unanswered, while the VM waits for its disk.
	if err := p.listener.Close(); err != nil {
		return eris.Wrap(err, "close listener")
	}

	s := p.settings
	folder := &role.MemberFolder{
		Dir: filepath.Clean(s.Control.DataFolder), Self: s.Process.Address, Seeds: p.seedSource(),
		Options: role.MemberOptions{Bootstrap: s.Operating.Bootstrap, Volatile: s.Control.Volatile},
	}
	supervisor := &role.Supervisor{
		RunOnce:      func(ctx context.Context) error { return runControlOnce(ctx, p, folder) },
		ClearDataDir: folder.Clear,
		Logger:       p.logs.Logger("control"),
	}

	return supervisor.Run(ctx)
}

func runControlOnce(ctx context.Context, p *process, folder *role.MemberFolder) error {
	s := p.settings

	self, err := folder.Open()
	if err != nil {
		return err
	}

	operators, err := listenOn(ctx, s.Operating.Address)
	if err != nil {
		return err
	}

	listener, err := listenOn(ctx, s.Process.Address)
	if err != nil {
		return err
	}

	c := &role.Control{
		VM: self.ID, Cluster: s.Process.Cluster, Zone: s.Process.Zone, Incarnation: role.IncarnationAt(time.Now()),
		Listener: listener, Identity: p.identity, Dir: filepath.Join(filepath.Clean(s.Control.DataFolder), "log"),
		Bounds: p.bounds, Logs: p.logs, Dump: p.dump, Founders: self.Founders(),
		AutoMembership: &role.AutoMembership{Settings: membership.DefaultSettings(s.Operating.ToleratedFailures), Seeds: folder.Seeds},
		TrustedNetwork: s.Process.TrustedNetwork, OperatorListener: operators, Zones: s.Zones, AnnounceInterval: s.Operating.AnnounceInterval, MaxTargets: s.Control.MaxTargets,
		ReadDocument: func(sent []byte) (*wire.RouteTable, error) {
			d, err := platform.ReadDocument(sent)
			if err != nil {
				return nil, err
			}

			return d.ToWire(), nil
		},
		OperatorHandler: func(server *control.Server) http.Handler { return operatorHandler(server, p) },
	}

	if s.Control.Volatile {
		c.Files = journal.MemoryFiles()
	} else {
		c.TargetsFile = filepath.Join(filepath.Clean(s.Control.DataFolder), "targets")
	}

	c.Build()

	return c.Run(ctx)
}

func operatorHandler(server *control.Server, p *process) http.Handler {
	api := &platform.ControlAPI{
		Adopt: server.Adopt, Document: server.Document, OrderZone: server.SetZoneOut,
		Announce: server.Announce, Leave: server.Leave, Logger: p.logs.Logger("operators"),
	}

	return api.Handler()
}

// seedSource returns a function that returns the current seeds in the settings file. The
// file is reloaded periodically, because the platform may replace it without a signal. If
// it cannot be read, the previous seeds stay in use.
func (p *process) seedSource() func() []netip.AddrPort {
	var (
		current  = p.settings.Seeds.ControlAddresses()
		loadedAt time.Time
	)

	return func() []netip.AddrPort {
		if now := time.Now(); now.Sub(loadedAt) > seedsReloadInterval {
			loadedAt = now

			if s, err := settings.Load(p.path); err == nil {
				current = s.Seeds.ControlAddresses()
			} else {
				p.logs.Logger("settings").Warn("Reloading the settings file failed; the previous seeds stay in use.", "error", err)
			}
		}

		return current
	}
}

// seedsReloadInterval is the minimum time between two reloads of the settings file.
const seedsReloadInterval = time.Second
