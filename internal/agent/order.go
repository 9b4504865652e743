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

// OrderPath is the engine's path for orders.
const OrderPath = "/v1/order"

// causeEngineDown is the cause for an order that never reached the engine.
const causeEngineDown orders.Cause = "EngineDown"

// maxEngineAnswerBytes bounds the engine's answer to an order.
const maxEngineAnswerBytes = 64 << 10

// EngineOrder is the JSON form of an order for the engine. The engine replies with an
// EngineAnswer once it has carried out the order.
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
	// FencingNumber is the fencing number of the order.
	FencingNumber uint64
	Done          bool
	// Cause says why the order was not carried out.
	Cause string `json:",omitempty"`
}

// kindNames maps the kinds to their names in an EngineOrder.
var kindNames = map[orders.Kind]string{
	orders.KindLoadModel:   "LoadModel",
	orders.KindLoadAdapter: "LoadAdapter",
	orders.KindChangeRole:  "ChangeRole",
	orders.KindStageMap:    "StageMap",
	orders.KindSwitchMap:   "SwitchMap",
}

// orderExecutor sends orders to the engine, one at a time.
type orderExecutor struct {
	mu   sync.Mutex
	core orders.Core
	// current is the order at the engine, or nil.
	current *orderRun
}

// orderRun is an order being carried out. Its result is valid once done is closed.
type orderRun struct {
	done   chan struct{}
	result orders.Result
}

// submitOrder carries out o or returns why it was refused. It returns when the engine has
// answered or ctx has ended. In the latter case the order continues, and a resend of it waits
// for the same result.
func (a *Agent) submitOrder(ctx context.Context, o orders.Order) (orders.Result, uint64, error) {
	d, run := a.decideOrder(o)

	switch d.Action {
	case orders.ActionSend:
		a.counters.orders.Inc(1)

		go a.executeOrder(context.WithoutCancel(ctx), o, run)
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
	executor := &a.orders

	executor.mu.Lock()
	defer executor.mu.Unlock()

	if a.HighestOrder != nil {
		if n, known := a.HighestOrder(); known {
			executor.core.ObserveNumber(n)
		}
	}

	d := executor.core.Submit(a.Now(), o)
	if d.Action == orders.ActionSend {
		executor.current = &orderRun{done: make(chan struct{})}
	}

	return d, executor.current
}

// executeOrder sends o to the engine and records its answer.
func (a *Agent) executeOrder(ctx context.Context, o orders.Order, run *orderRun) {
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

	if announced := a.target.load(); announced != nil {
		r, err = send(ctx, announced.Address, o)
	} else {
		err = verdict.Refuse(verdict.CauseTargetDown, time.Time{})
	}

	a.finishOrder(o, run, r, err)
}

// finishOrder records the result of an order. Without an answer, only an order that never
// reached the engine is known to have failed.
func (a *Agent) finishOrder(o orders.Order, run *orderRun, r orders.Result, err error) {
	executor := &a.orders
	now := a.Now()

	executor.mu.Lock()
	defer executor.mu.Unlock()

	switch {
	case err == nil:
		executor.core.Completed(now, o.FencingNumber, r)
	case verdict.Of(err) == verdict.NotRun:
		r = orders.Result{Cause: causeEngineDown, Detail: err.Error()}
		executor.core.Completed(now, o.FencingNumber, r)
	default:
		r = orders.Result{Cause: orders.CauseUnanswered, Detail: err.Error()}
		executor.core.Unanswered(now, o.FencingNumber)
	}

	a.Logger.Info("Order to the engine ended.", "number", o.FencingNumber, "done", r.Done, "cause", r.Cause, "err", err)

	run.result = r
	close(run.done)
}

// postOrder sends o to the engine over HTTP.
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
		Headers:   []*wire.Header{{Name: "Content-Type", Value: []byte("application/json")}},
		Body:      body,
	}
	c := &call{attemptID: req.GetAttemptID()}
	defer c.release()

	resp, err := a.client.do(ctx, to, req, c)
	if err != nil {
		return orders.Result{}, err
	}

	defer func() { _ = resp.Body.Close() }()

	return readEngineAnswer(resp.Body, o.FencingNumber)
}

// readEngineAnswer reads the engine's answer and checks that it is for the order with this
// fencing number.
func readEngineAnswer(r io.Reader, number uint64) (orders.Result, error) {
	var answer EngineAnswer
	if err := json.NewDecoder(io.LimitReader(r, maxEngineAnswerBytes)).Decode(&answer); err != nil {
		return orders.Result{}, eris.Wrap(err, "read the engine's answer")
	}

	if answer.FencingNumber != number {
		return orders.Result{}, eris.Errorf("engine answered order %d", answer.FencingNumber)
	}

	if !answer.Done && answer.Cause == "" {
		return orders.Result{}, errors.New("engine's answer says nothing")
	}

	return orders.Result{Done: answer.Done, Cause: orders.Cause(answer.Cause)}, nil
}

// reportEngine passes the engine's state from an announcement to the core.
func (e *orderExecutor) reportEngine(now time.Time, ann *Announcement) {
	r := orders.Report{BootID: ann.BootID, EnforcesFencing: ann.Fences, Idle: ann.OrdersIdle}

	if ann.FencingNumber != nil {
		r.Highest = *ann.FencingNumber
		r.HasHighest = true
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	e.core.Report(now, r)
}

func (e *orderExecutor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.core.Drain()
}

// fencingNumbers returns the highest number seen and that of the order at the engine.
func (e *orderExecutor) fencingNumbers() (highest, running uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.core.Highest(), e.core.Running()
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
