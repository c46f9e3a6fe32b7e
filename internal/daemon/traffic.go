package daemon

import (
	"context"

	"carobshunt/api"
	"carobshunt/internal/control"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/engines"
	"carobshunt/internal/stream"

	"github.com/hashicorp/go-hclog"
)

// traffic carries out what the Node wants done with requests. Its methods are called on the control goroutine and must
// not block.
type traffic interface {
	Open(core.Key)
	Start(node.StartDispatch)
	Abort(key core.Key, dispatch uint32)
	Finish(node.Finish)
	Drop(core.Key)
}

// engineOrders carries out what the Node wants of engines beside dispatches.
type engineOrders interface {
	// Execute carries out an action that concerns engines. It is called on the control goroutine and must not block.
	Execute(ctx context.Context, action node.Action)
}

// ownTraffic serves the product's own interface.
type ownTraffic struct {
	loop       *control.Loop
	exchanges  *stream.Store
	dispatcher *dispatch.Dispatcher
}

// Open implements traffic.
func (t *ownTraffic) Open(key core.Key) { t.exchanges.Open(key) }

// Start implements traffic.
func (t *ownTraffic) Start(a node.StartDispatch) {
	ex := t.exchanges.Get(a.Key)
	if ex == nil {
		t.loop.Post(node.DispatchEnded{Key: a.Key, Dispatch: a.Dispatch, Target: a.Target, Ending: node.EndedNotWritten})
		return
	}
	go t.dispatcher.Run(a, ex)
}

// Abort implements traffic.
func (t *ownTraffic) Abort(key core.Key, dispatch uint32) {
	if ex := t.exchanges.Get(key); ex != nil {
		ex.Abort(dispatch)
	}
}

// Finish implements traffic.
func (t *ownTraffic) Finish(a node.Finish) {
	ex := t.exchanges.Get(a.Key)
	if ex == nil {
		return
	}
	ex.Release()
	ex.Answer.Finish(api.Last{
		Outcome:      a.Result.Outcome,
		Code:         a.Result.Code,
		Message:      a.Result.Message,
		RetryAfterMs: a.Result.RetryAfter.Milliseconds(),
		Target:       a.Target,
		QueuedMs:     sinceAdmission(a, a.Timing.Dispatched),
		FirstTokenMs: sinceAdmission(a, a.Timing.FirstToken),
		TotalMs:      sinceAdmission(a, a.Timing.Finished),
	})
}

// Drop implements traffic.
func (t *ownTraffic) Drop(key core.Key) { t.exchanges.Drop(key) }

// sinceAdmission is the time from admission to a step in milliseconds; 0 for a step not reached.
func sinceAdmission(a node.Finish, step core.Time) int64 {
	if step == 0 {
		return 0
	}
	return (step - a.Timing.Admitted).Milliseconds()
}

// ownEngines speaks the product's own protocol of engines.
type ownEngines struct {
	client *engines.Client
	log    hclog.Logger
}

// Execute implements engineOrders.
func (e *ownEngines) Execute(ctx context.Context, action node.Action) {
	switch a := action.(type) {
	case node.Reserve:
		go e.client.Reserve(ctx, a)
	case node.Release:
		go e.client.Release(ctx, a)
	case node.ListMemory:
		go e.client.ListMemory(ctx, a)
	case node.CancelHolding:
		e.log.Debug("engine memory swept", "engine", a.Target, "kind", a.Kind, "name", a.Name, "reason", a.Reason)
		go e.client.CancelHolding(ctx, a)
	case node.ReadOrders:
		go e.client.ReadOrders(ctx, a)
	case node.SendOrder:
		go e.client.SendOrder(ctx, a)
	}
}
