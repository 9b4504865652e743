package cmds

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/agent"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/settings"
)

// process is a running entry, agent or control VM, with what its settings configure.
type process struct {
	// path is the settings file, which may be replaced while the process runs.
	path     string
	settings *settings.Settings
	logs     logs.Output
	dump     *dump.Dump
	listener net.Listener
	identity *identity.Identity
	// adminMux is served on the admin address: the dump, the metrics, and handlers that the
	// role adds.
	adminMux *http.ServeMux
	// bounds are those of the clients of all ports that are not for callers.
	bounds callers.Bounds
}

// processCommands returns the commands that run the roles, and the check command.
func processCommands() []*cobra.Command {
	return []*cobra.Command{
		newRoleCommand(settings.RoleEntry, "Run an entry, which forwards the requests of callers to targets", runEntry),
		newRoleCommand(settings.RoleAgent, "Run an agent, the only path of requests to the target on its VM", runAgent),
		newRoleCommand(settings.RoleControl, "Run a control VM, which holds a replica of the state of the system", runControl),
		newCheck(),
	}
}

func newRoleCommand(r settings.Role, short string, run func(context.Context, *process) error) *cobra.Command {
	var logOutput string

	c := &cobra.Command{
		Use:   string(r) + " FILE",
		Short: short,
		Long:  short + ".\n\nFILE is the settings file. SIGTERM stops the process gracefully; SIGUSR1 writes a dump of its state to standard error.",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := loadSettings(r, args[0])
			if err != nil {
				return err
			}

			if logOutput != "" {
				s.Process.LogOutput = logOutput
			}

			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()

			// SIGHUP announces that the settings file has changed. The settings that may change
			// at run time are reloaded periodically anyway, so the signal is ignored. Without
			// this call it would terminate the process.
			signal.Ignore(syscall.SIGHUP)

			return startProcess(ctx, args[0], s, c.OutOrStdout(), c.ErrOrStderr(), run)
		},
	}
	c.Flags().StringVar(&logOutput, "log-output", "", "comma-separated list of parts whose debug lines are logged, or all")

	return c
}

func loadSettings(r settings.Role, path string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}

	if s.Process.Role != r {
		return nil, eris.Errorf("%s: [Process] Role is %s; this command runs %s", path, s.Process.Role, r)
	}

	return s, nil
}

func startProcess(ctx context.Context, path string, s *settings.Settings, stdout, stderr io.Writer, run func(context.Context, *process) error) error {
	listener, err := listenOn(ctx, s.Process.Address)
	if err != nil {
		return err
	}

	logQueue := logs.NewQueue(stdout)
	defer logQueue.Close()

	p := &process{
		path: path, settings: s, listener: listener,
		logs:     logs.Output{Writer: logQueue, Debug: logs.ParseDebug(s.Process.LogOutput)},
		dump:     &dump.Dump{Role: string(s.Process.Role), ID: s.Process.ID, Metrics: metrics.NewRegistry()},
		adminMux: http.NewServeMux(),
	}
	p.adminMux.Handle("/", p.dump.Handler())
	p.bounds = clientBounds(p)
	limitHeap(s.Process.MemoryMB)

	if err := p.dump.Metrics.Register(logs.DroppedMetric, metrics.NewFunctionalGauge(logQueue.Dropped)); err != nil {
		return eris.Wrap(err, "register metric")
	}

	if p.identity, err = loadIdentity(s, p.logs); err != nil {
		return err
	}

	stopDumps := dumpOnSignal(p.dump.Write, stderr)
	defer stopDumps()

	stopAdmin, err := p.serveAdmin(ctx)
	if err != nil {
		return err
	}
	defer stopAdmin()

	detector := &logs.StallDetector{Logger: p.logs.Logger("process")}
	go detector.Run(ctx)

	return run(ctx, p)
}

// serveAdmin serves adminMux until stop is called.
func (p *process) serveAdmin(ctx context.Context) (stop func(), err error) {
	if !p.settings.Process.AdminAddress.IsValid() {
		return func() {}, nil
	}

	listener, err := listenOn(ctx, p.settings.Process.AdminAddress)
	if err != nil {
		return nil, err
	}

	bounds := p.bounds
	bounds.MaxConnections = adminConnections

	bounded := bounds.Listen("Admin", listener)
	server := bounded.Server(p.adminMux)

	go func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			p.logs.Logger("admin").Error("HTTP server failed.", "error", err)
		}
	}()

	return func() { _ = server.Close() }, nil
}

// loadIdentity loads the keys of the [TLS] section. It returns nil if the section is empty.
func loadIdentity(s *settings.Settings, out logs.Output) (*identity.Identity, error) {
	if s.TLS == (settings.TLS{}) {
		return nil, nil
	}

	id := &identity.Identity{Files: identity.Files(s.TLS), Logger: out.Logger("identity")}

	return id, id.Load()
}

func runEntry(ctx context.Context, p *process) error {
	s := p.settings
	if s.Routing.ReadyAddress.IsValid() {
		return runDirectEntry(ctx, p)
	}

	limits := entry.Limits{
		MaxHeaderBytes: s.Entry.MaxHeaderBytes, MaxBodyBytes: int64(s.Entry.MaxBodyBytes),
		MaxRecordedBytes: s.Entry.MaxRecordedBytes, DefaultTimeout: s.Entry.DefaultTimeout,
		MaxTimeout: s.Entry.MaxTimeout, WriteTimeout: s.Entry.WriteTimeout,
	}
	e := &role.Entry{
		ID: s.Process.ID, Cluster: s.Process.Cluster, Zone: s.Process.Zone, Region: s.Process.Region,
		Incarnation: role.IncarnationAt(time.Now()), Listener: p.listener, Identity: p.identity,
		Controls: role.NewControlClient(s.ControlAddresses(), p.identity), Limits: limits, ShutdownDelay: s.Entry.ShutdownDelay,
		MaxCallerConnections: callerConnections(0, 0, s.Process.MemoryMB), Bounds: p.bounds, Logs: p.logs, Dump: p.dump,
	}

	return e.Run(ctx)
}

func runAgent(ctx context.Context, p *process) error {
	s := p.settings
	if s.Rank.EngineAddress.IsValid() {
		return runRankAgent(ctx, p)
	}

	a := &role.Agent{
		ID: s.Process.ID, Cluster: s.Process.Cluster, Zone: s.Process.Zone,
		Incarnation: role.IncarnationAt(time.Now()), Listener: p.listener, Identity: p.identity,
		Controls: role.NewControlClient(s.ControlAddresses(), p.identity),
		Settings: agent.Settings{
			Admission:      admission.Settings{CreditLifetime: s.Agent.CreditLifetime, AnnounceTimeout: s.Agent.AnnounceTimeout},
			MaxAnswerBytes: s.Agent.MaxAnswerBytes, TargetIdleTimeout: s.Agent.TargetIdleTimeout,
		},
		Bounds: p.bounds, Logs: p.logs, Dump: p.dump,
	}

	if s.Agent.AnnounceAddress.IsValid() {
		announce, err := listenOn(ctx, s.Agent.AnnounceAddress)
		if err != nil {
			return err
		}

		a.AnnounceListener = announce
	}

	return a.Run(ctx)
}

func runControl(ctx context.Context, p *process) error {
	s := p.settings
	if s.UsesSeeds() {
		return runAutoMemberControl(ctx, p)
	}

	c := &role.Control{
		VM: s.Process.ID, Cluster: s.Process.Cluster, Zone: s.Process.Zone,
		Incarnation: role.IncarnationAt(time.Now()), Listener: p.listener, Identity: p.identity,
		Dir: filepath.Clean(s.Control.DataFolder), Bounds: p.bounds, Logs: p.logs, Dump: p.dump,
	}

	for _, vm := range s.Controls {
		m := quorum.Member{ID: vm.ID, Addr: vm.Address}
		if vm.ID != s.Process.ID {
			c.Peers = append(c.Peers, m)
		}

		if !s.Control.Join {
			c.Founders = append(c.Founders, m)
		}
	}

	c.Build()

	return c.Run(ctx)
}
