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

// requestExecutor carries out the node's actions on requests. Its methods are called on the control goroutine and must
// not block.
type requestExecutor interface {
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

// engineExecutor carries out the node's actions on engines other than dispatches.
type engineExecutor interface {
	// Execute carries out an action on an engine. It is called on the control goroutine and must not block.
	Execute(ctx context.Context, action node.Action)
}

// nativeRequests carries out actions on requests of the native callers' interface.
type nativeRequests struct {
	loop       *control.Loop
	exchanges  *stream.Store
	dispatcher *dispatch.Dispatcher
}

// Open implements requestExecutor.
func (r *nativeRequests) Open(key core.Key) { r.exchanges.Open(key) }

// Start implements requestExecutor.
func (r *nativeRequests) Start(a node.StartDispatch) {
	ex := r.exchanges.Get(a.Key)
	if ex == nil {
		go r.loop.Post(node.DispatchEnded{Key: a.Key, Dispatch: a.Dispatch, Target: a.Target, Ending: node.EndedNotWritten})
		return
	}
	go r.dispatcher.Run(a, ex)
}

// Abort implements requestExecutor.
func (r *nativeRequests) Abort(key core.Key, dispatch uint32) {
	if ex := r.exchanges.Get(key); ex != nil {
		ex.Abort(dispatch)
	}
}

// Finish implements requestExecutor.
func (r *nativeRequests) Finish(a node.Finish) {
	ex := r.exchanges.Get(a.Key)
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
		QueuedMs:     msSinceAdmission(a, a.Timing.Dispatched),
		FirstTokenMs: msSinceAdmission(a, a.Timing.FirstToken),
		TotalMs:      msSinceAdmission(a, a.Timing.Finished),
	})
}

// Drop implements requestExecutor.
func (r *nativeRequests) Drop(key core.Key) { r.exchanges.Drop(key) }

// msSinceAdmission returns the time from admission to a step in milliseconds; 0 if the step was not reached.
func msSinceAdmission(a node.Finish, step core.Time) int64 {
	if step == 0 {
		return 0
	}
	return (step - a.Timing.Admitted).Milliseconds()
}

// nativeEngines carries out actions on engines by the native protocol of package engines.
type nativeEngines struct {
	client *engines.Client
	log    hclog.Logger
}

// Execute implements engineExecutor.
func (e *nativeEngines) Execute(ctx context.Context, action node.Action) {
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
