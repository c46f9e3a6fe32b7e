package daemon

import (
	"context"

	"carobshunt/api"
	"carobshunt/internal/control"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/engines"
	"carobshunt/internal/metrics"
	"carobshunt/internal/peer"
	"carobshunt/internal/stream"

	"github.com/hashicorp/go-hclog"
)

// executor carries out the Node's actions. Everything that can block runs on a goroutine of its own.
type executor struct {
	ctx        context.Context
	loop       *control.Loop
	exchanges  *stream.Store
	dispatcher *dispatch.Dispatcher
	peers      *peer.Pool
	engines    *engines.Client
	log        hclog.Logger
	metrics    *metrics.Metrics
	stop       context.CancelFunc
}

// Execute implements control.Executor.
func (x *executor) Execute(action node.Action) {
	switch a := action.(type) {
	case node.Open:
		x.exchanges.Open(a.Key)
	case node.StartDispatch:
		x.metrics.Dispatched(a)
		x.startDispatch(a)
	case node.AbortDispatch:
		if ex := x.exchanges.Get(a.Key); ex != nil {
			ex.Abort(a.Dispatch)
		}
	case node.Finish:
		x.metrics.Finished(a)
		x.finish(a)
	case node.Drop:
		x.exchanges.Drop(a.Key)
	case node.SendHeartbeat:
		x.peers.Heartbeat(x.ctx, a.Peer, a.Heartbeat)
	case node.PullDocument:
		x.peers.PullDocument(x.ctx, a.Peer)
	case node.PullHosts:
		x.peers.PullHosts(x.ctx, a.Peer)
	case node.Note:
		x.metrics.Noted(a.Event)
		x.log.Info(string(a.Event), "detail", a.Text)
	case node.Stop:
		x.stop()
	default:
		x.executeEngine(action)
	}
}

func (x *executor) startDispatch(a node.StartDispatch) {
	ex := x.exchanges.Get(a.Key)
	if ex == nil {
		x.loop.Post(node.DispatchEnded{Key: a.Key, Dispatch: a.Dispatch, Target: a.Target, Ending: node.EndedNotWritten})
		return
	}
	go x.dispatcher.Run(a, ex)
}

func (x *executor) finish(a node.Finish) {
	ex := x.exchanges.Get(a.Key)
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

// sinceAdmission is the time from admission to a step in milliseconds; 0 for a step not reached.
func sinceAdmission(a node.Finish, step core.Time) int64 {
	if step == 0 {
		return 0
	}
	return (step - a.Timing.Admitted).Milliseconds()
}
