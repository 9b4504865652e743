package view

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// endWait is how long a control VM may hold a request for ends of targets, endAnswerTimeout how long
	// its answer may take beyond that.
	endWait          = 5 * time.Second
	endAnswerTimeout = time.Second
	// endRetryDelay is the delay after a failed request, and the least time between two.
	endRetryDelay = 100 * time.Millisecond
	// controlsInterval is the interval at which the control VMs are listed anew.
	controlsInterval = time.Second
)

// EndExchange exchanges ends of targets with all control VMs, for entries that follow the configuration with
// a Reader. Its exported fields must be set before Run.
type EndExchange struct {
	Cluster string
	ID      string
	// Controls returns the control VMs.
	Controls func() []netip.AddrPort
	// Call sends a request to one control VM. It must return when ctx is done.
	Call func(ctx context.Context, control netip.AddrPort, r *wire.EndsRequest) (*wire.EndsResponse, error)
	// Evidence returns the ends that this process knows and that changed after a revision, and the current
	// revision. OnEvidence is called with the ends that a control VM reports. Both may be called concurrently.
	Evidence   func(since uint64) ([]quarantine.End, uint64)
	OnEvidence func([]quarantine.End)
	Logger     *slog.Logger

	mu    sync.Mutex
	loops []*endLoop
}

// endLoop exchanges ends with one control VM.
type endLoop struct {
	exchange *EndExchange
	control  netip.AddrPort
	stop     context.CancelFunc
	// changed receives a value when the control VM must hear of an end at once.
	changed chan struct{}
	// boot and received identify what this process has of the control VM, sent what that has of this
	// process. Only the goroutine of run uses them.
	boot, received, sent uint64
}

// Notify sends ends to all control VMs at once. It never blocks.
func (x *EndExchange) Notify() {
	x.mu.Lock()
	defer x.mu.Unlock()

	for _, l := range x.loops {
		select {
		case l.changed <- struct{}{}:
		default:
		}
	}
}

// Run exchanges ends until ctx is done.
func (x *EndExchange) Run(ctx context.Context) error {
	var running sync.WaitGroup

	defer running.Wait()

	for {
		x.update(ctx, &running)

		if !pauses.Sleep(ctx, controlsInterval) {
			return nil
		}
	}
}

// update starts loops for new control VMs, and stops those for others.
func (x *EndExchange) update(ctx context.Context, running *sync.WaitGroup) {
	controls := x.Controls()

	x.mu.Lock()
	defer x.mu.Unlock()

	x.loops = slices.DeleteFunc(x.loops, func(l *endLoop) bool {
		if slices.Contains(controls, l.control) {
			return false
		}

		l.stop()

		return true
	})

	for _, control := range controls {
		if slices.ContainsFunc(x.loops, func(l *endLoop) bool { return l.control == control }) {
			continue
		}

		loopCtx, stop := context.WithCancel(ctx)
		l := &endLoop{exchange: x, control: control, stop: stop, changed: make(chan struct{}, 1)}
		x.loops = append(x.loops, l)

		running.Go(func() { l.run(loopCtx) })
	}
}

func (l *endLoop) run(ctx context.Context) {
	defer l.stop()

	for ctx.Err() == nil {
		if err := l.exchangeOnce(ctx); err != nil {
			l.exchange.Logger.Debug("Exchange of ends of targets failed.", "control", l.control, "error", err)
		}

		pauses.Sleep(ctx, endRetryDelay)
	}
}

// exchangeOnce sends one request. News of this process end the wait for its answer.
func (l *endLoop) exchangeOnce(ctx context.Context) error {
	x := l.exchange

	// Taken before the evidence is read, so that none is missed.
	select {
	case <-l.changed:
	default:
	}

	r := &wire.EndsRequest{Cluster: x.Cluster, ID: x.ID, Boot: l.boot, Revision: l.received, WaitMillis: uint64(endWait.Milliseconds())}
	revision := uint64(0)

	if l.boot != 0 {
		var ends []quarantine.End

		ends, revision = x.Evidence(l.sent)
		r.Ends = quarantine.EndsToWire(ends, time.Now())
	}

	if len(r.GetEnds()) > 0 || l.boot == 0 {
		r.WaitMillis = 0
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond+endAnswerTimeout)
	defer cancel()

	done := make(chan struct{})
	defer close(done)

	if r.GetWaitMillis() > 0 {
		go func() {
			select {
			case <-l.changed:
				cancel()
			case <-done:
			}
		}()
	}

	out, err := x.Call(ctx, l.control, r)
	if err != nil {
		return err
	}

	if out.GetBoot() != l.boot {
		l.boot, l.sent, revision = out.GetBoot(), 0, 0
	}

	l.received, l.sent = out.GetRevision(), max(l.sent, revision)

	if len(out.GetEnds()) > 0 {
		x.OnEvidence(quarantine.EndsFromWire(out.GetEnds(), time.Now()))
	}

	return nil
}
