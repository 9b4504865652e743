package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/orders"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// OrderPath is where the engine takes orders.
const OrderPath = "/v1/order"

// causeEngineDown is of an order that never reached the engine.
const causeEngineDown orders.Cause = "EngineDown"

// maxEngineAnswer bounds the engine's answer to an order, in bytes.
const maxEngineAnswer = 64 << 10

// EngineOrder is an order as the engine gets it, as JSON. The engine answers with
// an EngineAnswer once it has carried it out.
type EngineOrder struct {
	FencingNumber uint64
	// Kind is LoadModel, LoadAdapter, ChangeRole, StageMap or SwitchMap.
	Kind       string
	Subject    string `json:",omitempty"`
	Version    string `json:",omitempty"`
	MapVersion uint64 `json:",omitempty"`
	Step       uint64 `json:",omitempty"`
	Payload    []byte `json:",omitempty"`
}

// EngineAnswer is the engine's answer to an order.
type EngineAnswer struct {
	// FencingNumber repeats the order's.
	FencingNumber uint64
	Done          bool
	// Cause says why it isn't done.
	Cause string `json:",omitempty"`
}

// kindNames are the kinds as the engine reads them.
var kindNames = map[orders.Kind]string{
	orders.KindLoadModel:   "LoadModel",
	orders.KindLoadAdapter: "LoadAdapter",
	orders.KindChangeRole:  "ChangeRole",
	orders.KindStageMap:    "StageMap",
	orders.KindSwitchMap:   "SwitchMap",
}

// orderDesk takes the orders to the engine, one at a time.
type orderDesk struct {
	mu   sync.Mutex
	core orders.Core
	// run is the order at the engine, or nil.
	run *orderRun
}

// orderRun is one order on its way; result is set when done is closed.
type orderRun struct {
	done   chan struct{}
	result orders.Result
}

// give carries o out or says why not. It returns when the engine has answered, or
// with ctx; the order then goes on, and a resend joins it.
func (a *Agent) give(ctx context.Context, o orders.Order) (orders.Result, uint64, error) {
	d, run := a.decideOrder(o)

	switch d.Action {
	case orders.ActionSend:
		a.counters.orders.Inc(1)

		go a.carryOut(context.WithoutCancel(ctx), o, run)
	case orders.ActionJoin:
	default:
		return d.Result, d.Highest, nil
	}

	select {
	case <-run.done:
		return run.result, d.Highest, nil
	case <-ctx.Done():
		return orders.Result{}, d.Highest, eris.Wrap(ctx.Err(), "the engine works on the order still")
	}
}

func (a *Agent) decideOrder(o orders.Order) (orders.Decision, *orderRun) {
	desk := &a.desk

	desk.mu.Lock()
	defer desk.mu.Unlock()

	if a.HighestOrder != nil {
		if n, known := a.HighestOrder(); known {
			desk.core.ObserveNumber(n)
		}
	}

	d := desk.core.Submit(a.Now(), o)
	if d.Action == orders.ActionSend {
		desk.run = &orderRun{done: make(chan struct{})}
	}

	return d, desk.run
}

// carryOut sends o to the engine and records its answer.
func (a *Agent) carryOut(ctx context.Context, o orders.Order, run *orderRun) {
	ctx, cancel := context.WithTimeout(ctx, a.Settings.OrderTimeout)
	defer cancel()

	send := a.SendOrder
	if send == nil {
		send = a.postOrder
	}

	var (
		r   orders.Result
		err error
	)

	if an := a.target.load(); an != nil {
		r, err = send(ctx, an.Address, o)
	} else {
		err = verdict.Refuse(verdict.CauseTargetDown, time.Time{})
	}

	a.endOrder(o, run, r, err)
}

// endOrder records the end of an order. Only one that never reached the engine
// failed for certain.
func (a *Agent) endOrder(o orders.Order, run *orderRun, r orders.Result, err error) {
	desk := &a.desk
	now := a.Now()

	desk.mu.Lock()
	defer desk.mu.Unlock()

	switch {
	case err == nil:
		desk.core.Completed(now, o.FencingNumber, r)
	case verdict.Of(err) == verdict.NotRun:
		r = orders.Result{Cause: causeEngineDown, Detail: err.Error()}
		desk.core.Completed(now, o.FencingNumber, r)
	default:
		r = orders.Result{Cause: orders.CauseUnanswered, Detail: err.Error()}
		desk.core.Unanswered(now, o.FencingNumber)
	}

	a.Logger.Info("Order ended.", "number", o.FencingNumber, "done", r.Done, "cause", r.Cause, "err", err)

	run.result = r
	close(run.done)
}

// postOrder sends o over HTTP.
func (a *Agent) postOrder(ctx context.Context, to netip.AddrPort, o orders.Order) (orders.Result, error) {
	body, err := json.Marshal(EngineOrder{
		FencingNumber: o.FencingNumber,
		Kind:          kindNames[o.Kind],
		Subject:       o.Subject,
		Version:       o.Version,
		MapVersion:    o.MapVersion,
		Step:          o.Step,
		Payload:       []byte(o.Payload),
	})
	if err != nil {
		return orders.Result{}, eris.Wrap(err, "write the order")
	}

	req := &wire.Request{
		AttemptID: fmt.Sprintf("order-%d-%d", o.Incarnation, o.FencingNumber),
		Method:    http.MethodPost,
		Path:      OrderPath,
		Headers:   []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:      body,
	}
	c := &call{attemptID: req.GetAttemptID()}

	resp, err := a.dialer.do(ctx, to, req, c)
	if err != nil {
		return orders.Result{}, err
	}

	defer func() { _ = resp.Body.Close() }()

	return readEngineAnswer(resp.Body, o.FencingNumber)
}

// readEngineAnswer reads the answer to the order with this number; any other one says nothing about it.
func readEngineAnswer(r io.Reader, number uint64) (orders.Result, error) {
	var an EngineAnswer
	if err := json.NewDecoder(io.LimitReader(r, maxEngineAnswer)).Decode(&an); err != nil {
		return orders.Result{}, eris.Wrap(err, "read the engine's answer")
	}

	if an.FencingNumber != number {
		return orders.Result{}, eris.Errorf("engine answered order %d", an.FencingNumber)
	}

	if !an.Done && an.Cause == "" {
		return orders.Result{}, errors.New("engine's answer says nothing")
	}

	return orders.Result{Done: an.Done, Cause: orders.Cause(an.Cause)}, nil
}

// report passes the target's word on to the core.
func (d *orderDesk) report(now time.Time, an *Announcement) {
	r := orders.Report{BootID: an.BootID, EnforcesFencing: an.Fences, Idle: an.OrdersIdle}

	if an.FencingNumber != nil {
		r.Highest = *an.FencingNumber
		r.HasHighest = true
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.core.Report(now, r)
}

func (d *orderDesk) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.core.Drain()
}

// state is the highest number seen and that of the order at the engine.
func (d *orderDesk) state() (highest, running uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.core.Highest(), d.core.Running()
}

func orderFromWire(o *wire.Order) orders.Order {
	return orders.Order{
		AgentID:       o.GetAgentID(),
		Incarnation:   o.GetIncarnation(),
		FencingNumber: o.GetFencingNumber(),
		Kind:          orders.Kind(o.GetKind()),
		Subject:       o.GetSubject(),
		Version:       o.GetVersion(),
		MapVersion:    o.GetMapVersion(),
		Step:          o.GetStep(),
		Payload:       string(o.GetPayload()),
	}
}
