package node

import (
	"slices"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/durations"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// stopRetryAfter is the base of the retry-after time of a request that this host would not finish before it is killed. Other
// hosts take it at once.
const stopRetryAfter = 200 * time.Millisecond

// kindOf returns the kind of request by which durations are recorded.
func kindOf(req *core.Request, class document.Class) durations.Kind {
	kind := durations.Kind{Model: req.Model, Class: class}
	if req.Routed != nil {
		kind.Route = req.Routed.Route
	}
	return kind
}

// recordDuration records how long a request has taken that ends now: with its answer, or when its time was over.
func (n *Node) recordDuration(rec *ledger.Record, result core.Result) {
	if result.Outcome != api.OutcomeDone && result.Code != api.CodeDeadline {
		return
	}
	n.durations.Record(kindOf(&rec.Request, rec.Work.Class), n.now-rec.Timing.Admitted)
}

// ages holds the time since the admission of the oldest request of each kind that is at a target.
type ages map[durations.Kind]time.Duration

func (n *Node) runningAges() ages {
	out := make(ages)
	for _, rec := range n.active {
		if rec.State == ledger.Dispatched {
			kind := kindOf(&rec.Request, rec.Work.Class)
			out[kind] = max(out[kind], n.now-rec.Timing.Admitted)
		}
	}
	return out
}

// finishesBeforeKill reports whether a request that is not at a target yet is expected to end before this host must have given
// its last answers. It may take as long as the longest of the recent ones of its kind and as the oldest that runs, or all the time
// that it has if none is known.
func (n *Node) finishesBeforeKill(req *core.Request, class document.Class, running ages) bool {
	if req.Deadline <= n.drain.answerBy {
		return true
	}
	kind := kindOf(req, class)
	longest, known := n.durations.Longest(kind)
	return known && n.now+max(longest, running[kind]) <= n.drain.answerBy
}

// checkStop refuses a request that is not expected to end before this process is killed: its answer would be lost, and it may have
// run. The zero Result means no refusal.
func (n *Node) checkStop(req *core.Request) core.Result {
	if n.drain.answerBy == 0 || n.finishesBeforeKill(req, n.workOf(req).Class, n.runningAges()) {
		return core.Result{}
	}
	return n.stopRefusal()
}

// stopRefusal returns the result of a request that is refused by the stop of this process.
func (n *Node) stopRefusal() core.Result {
	return core.Result{
		Code: api.CodeDraining, Message: "this host stops before the request is expected to end",
		RetryAfter: n.retryAfter(stopRetryAfter),
	}
}

// refusedByStop reports whether a request is refused when it waits for a target, as it is not expected to end before this process is
// killed. One whose answer has begun is not.
func (n *Node) refusedByStop(rec *ledger.Record, running ages) bool {
	return n.drain.answerBy != 0 && !rec.Begun && !n.finishesBeforeKill(&rec.Request, rec.Work.Class, running)
}

// refuseUnfinishable ends the waiting requests that are refused by the stop of this process.
func (n *Node) refuseUnfinishable() {
	if n.drain.answerBy == 0 {
		return
	}
	var waiting []*ledger.Record
	running := n.runningAges()
	for _, rec := range n.active {
		if rec.State == ledger.Queued && n.refusedByStop(rec, running) {
			waiting = append(waiting, rec)
		}
	}
	slices.SortFunc(waiting, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range waiting {
		n.finishIfRefused(rec, n.stopRefusal())
	}
}

// endOf returns when a request ends without a complete answer: at its deadline, or before this process is killed.
func (n *Node) endOf(rec *ledger.Record) core.Time {
	if n.drain.answerBy == 0 {
		return rec.Request.Deadline
	}
	return min(rec.Request.Deadline, n.drain.answerBy)
}

// expiredResult returns the result of a request whose end has come, or is too close for another dispatch.
func (n *Node) expiredResult(rec *ledger.Record) core.Result {
	result := core.Result{Outcome: outcomeWithoutAnswer(rec), Code: api.CodeDeadline, Message: "the deadline has passed"}
	if n.endOf(rec) < rec.Request.Deadline {
		result.Code, result.Message = api.CodeDraining, "this host stopped before the request had an answer"
		result.RetryAfter = n.retryAfter(stopRetryAfter)
	}
	return result
}
