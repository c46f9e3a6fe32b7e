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

// expectedDuration returns how long a request of a kind may take: the longest of the recent ones and of those that still run. It
// reports false if none is known.
func (n *Node) expectedDuration(kind durations.Kind) (time.Duration, bool) {
	longest, known := n.durations.Longest(kind)
	if !known {
		return 0, false
	}
	for _, rec := range n.active {
		if rec.State == ledger.Dispatched && kindOf(&rec.Request, rec.Work.Class) == kind {
			longest = max(longest, n.now-rec.Timing.Admitted)
		}
	}
	return longest, true
}

// finishesBeforeKill reports whether a request that is not at a target yet is expected to end before this host must have given
// its last answers. One of which nothing is known may take all the time that it has.
func (n *Node) finishesBeforeKill(req *core.Request, class document.Class) bool {
	if n.drain.answerBy == 0 || req.Deadline <= n.drain.answerBy {
		return true
	}
	expected, known := n.expectedDuration(kindOf(req, class))
	return known && n.now+expected <= n.drain.answerBy
}

// checkStop refuses a request that is not expected to end before this process is killed: its answer would be lost, and it may have
// run. The zero Result means no refusal.
func (n *Node) checkStop(req *core.Request) core.Result {
	if n.drain.answerBy == 0 {
		return core.Result{}
	}
	return n.stopResult(req, n.workOf(req).Class)
}

func (n *Node) stopResult(req *core.Request, class document.Class) core.Result {
	if n.finishesBeforeKill(req, class) {
		return core.Result{}
	}
	return core.Result{
		Code: api.CodeDraining, Message: "this host stops before the request is expected to end",
		RetryAfter: n.retryAfter(stopRetryAfter),
	}
}

// refuseUnfinishable ends the waiting requests that are not expected to end before this process is killed.
func (n *Node) refuseUnfinishable() {
	if n.drain.answerBy == 0 {
		return
	}
	var waiting []*ledger.Record
	for _, rec := range n.active {
		if rec.State == ledger.Queued {
			waiting = append(waiting, rec)
		}
	}
	slices.SortFunc(waiting, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range waiting {
		n.finishIfRefused(rec, n.stopResult(&rec.Request, rec.Work.Class))
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
