package daemon

import (
	"context"
	"time"

	"carobshunt/internal/control"
	"carobshunt/internal/core/node"
	"carobshunt/internal/doccheck"
	"carobshunt/internal/membudget"
	"carobshunt/internal/metrics"
	"carobshunt/internal/peer"
	"carobshunt/internal/shorttext"

	"github.com/hashicorp/go-hclog"
)

// executor carries out the actions of a node.Node. Whatever can block runs on a goroutine of its own.
type executor struct {
	ctx      context.Context
	requests requestExecutor
	engines  engineExecutor
	peers    *peer.Pool
	// loop receives the results of checks by documents.
	loop      *control.Loop
	documents *doccheck.Checker
	// loads is nil without Listen.Loads; then the node makes no SendLoads.
	loads      *peer.LoadExchange
	log        hclog.Logger
	requestLog *requestLog
	metrics    *metrics.Metrics
	// answers is the memory that answers of targets share.
	answers *membudget.Budget
	// stop ends Daemon.Run.
	stop context.CancelFunc
}

// Lagged implements control.Executor.
func (x *executor) Lagged(lag time.Duration) { x.metrics.Lagged(lag) }

// Execute implements control.Executor.
func (x *executor) Execute(action node.Action) {
	x.requestLog.record(action)
	switch a := action.(type) {
	case node.Open:
		x.requests.Open(a.Key)
	case node.StartDispatch:
		x.metrics.Dispatched(a)
		x.requests.Start(a)
	case node.AbortDispatch:
		x.requests.Abort(a.Key, a.Dispatch)
	case node.Finish:
		x.metrics.Finished(a)
		x.requests.Finish(a)
	case node.Drop:
		x.requests.Drop(a.Key)
	case node.SendHeartbeat:
		x.peers.Heartbeat(x.ctx, a.Peer, a.Heartbeat)
	case node.SendLoads:
		x.loads.Send(a)
	case node.FetchDocument:
		x.peers.FetchDocument(x.ctx, a.Peer)
	case node.CheckDocument:
		go x.checkDocument(a)
	case node.FetchHosts:
		x.peers.FetchHosts(x.ctx, a.Peer)
	case node.StateChange:
		x.metrics.StateChanged(a.Event)
		x.log.Info(string(a.Event), "detail", shorttext.Cut(a.Text, maxDetail))
	case node.StreamRunEnded:
		x.metrics.StreamRunEnded(a)
	case node.Refused, node.Unanswered, node.Withdrawn: // only logged
	case node.Stop:
		x.stop()
	default:
		x.engines.Execute(x.ctx, action)
	}
}

// checkDocument checks a document and posts the result.
func (x *executor) checkDocument(a node.CheckDocument) {
	checked, cost := x.documents.Check(a.Raw)
	x.loop.Post(node.DocumentChecked{Checked: checked, Cost: cost, Source: a.Source})
}

// maxDetail is the maximum length of the detail of a change of state in a log line, in bytes.
const maxDetail = 4000
