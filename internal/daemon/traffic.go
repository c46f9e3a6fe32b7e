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

// traffic carries out the node's actions on requests. Its methods are called on the control goroutine and must not
// block.
type traffic interface {
	// Open makes room for a request's body and answer.
	Open(core.Key)
	// Start dispatches a request to a target.
	Start(node.StartDispatch)
	// Abort gives up a dispatch.
	Abort(key core.Key, dispatch uint32)
	// Finish gives a request its final result.
	Finish(node.Finish)
	// Drop releases everything that is held for a request.
	Drop(core.Key)
}

// engineOrders carries out the node's actions on engines other than dispatches.
type engineOrders interface {
	// Execute carries out an action on an engine. It is called on the control goroutine and must not block.
	Execute(ctx context.Context, action node.Action)
}

// ownTraffic carries out actions on requests of the native callers' interface.
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

// sinceAdmission returns the time from admission to a step in milliseconds; 0 if the step was not reached.
func sinceAdmission(a node.Finish, step core.Time) int64 {
	if step == 0 {
		return 0
	}
	return (step - a.Timing.Admitted).Milliseconds()
}

// ownEngines carries out actions on engines by the native protocol of package engines.
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
