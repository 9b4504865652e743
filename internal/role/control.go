package role

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Control is the control role. Its fields are set before Run.
type Control struct {
	VM       string
	Cluster  string
	Listener net.Listener
	Logs     logs.Output
	Dump     *dump.Dump

	server *control.Server
}

// stopTimeout bounds how long a stopping control VM waits for polls in hand.
const stopTimeout = 3 * time.Second

// Server returns the server, which exists after Build.
func (r *Control) Server() *control.Server { return r.server }

// Build puts the role together. It is called once, before Run.
func (r *Control) Build() {
	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	log := &control.MemoryLog{}
	r.server = &control.Server{
		Cluster: r.Cluster, VM: r.VM, Propose: log.Propose, Read: log.Read, Logger: r.Logs.Logger("control"),
	}
	r.server.Init()
	log.Apply = r.server.Apply
}

// Run runs the role until ctx ends.
func (r *Control) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(r.server))

	web := &http.Server{Handler: mux, ReadHeaderTimeout: controlTry}

	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.server.Run(ctx) })
	g.Go(func() error {
		if err := web.Serve(r.Listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve control")
		}

		return nil
	})
	g.Go(func() error {
		<-ctx.Done()

		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()

		return eris.Wrap(web.Shutdown(stop), "stop control")
	})

	return eris.Wrap(g.Wait(), "run control VM")
}
