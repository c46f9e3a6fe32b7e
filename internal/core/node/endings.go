package node

import (
	"slices"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// finish sets the final result of a request and releases its resources. It has no effect on a finished request.
func (n *Node) finish(rec *ledger.Record, result core.Result) {
	if !n.ledger.Finish(n.now, rec, result) {
		return
	}
	key := rec.Request.Key
	delete(n.active, key)
	n.queue.Remove(key)
	n.forgetGroup(key)
	n.removeHelperLoad(rec)
	n.bodyBytes -= rec.Request.BodyBytes * rec.BodyCount
	if result.Outcome == api.OutcomeNotRun {
		n.refund(rec)
	}
	n.countOutcome(result.Outcome)
	n.recordDuration(rec, result)
	n.do(Finish{Key: key, Result: result, Timing: rec.Timing, Target: rec.Target, Work: rec.Work})
	if rec.Request.Routed != nil {
		n.ledger.Forget(rec)
		n.do(Drop{Key: key})
	}
}

func (n *Node) countOutcome(o api.Outcome) { n.outcomes[o]++ }

// expireDeadlines ends every request whose deadline has passed, and all of them before this process is killed. Where only the
// end of a dispatch shows whether it was written, the dispatch is aborted ledger.DispatchCutoff before, so that its
// DispatchEnded arrives first. A process that resumed late aborts it one tick before it ends the request. Only these aborts set
// DeadlineAborted.
func (n *Node) expireDeadlines() {
	var due []*ledger.Record
	for _, rec := range n.active {
		if n.now+ledger.DispatchCutoff >= n.endOf(rec) {
			due = append(due, rec)
		}
	}
	slices.SortFunc(due, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range due {
		switch {
		case rec.State == ledger.Dispatched && !rec.DeadlineAborted && outcomeWithoutAnswer(rec) == api.OutcomeUnknown:
			rec.DeadlineAborted = true
			n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.LastDispatch})
		case n.now >= n.endOf(rec):
			n.abort(rec)
			n.finish(rec, n.expiredResult(rec))
		}
	}
}

func (n *Node) abort(rec *ledger.Record) {
	if rec.State == ledger.Dispatched {
		n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.LastDispatch})
	}
}

// giveUp ends a request that has no complete answer, with the outcome that it has without one. It aborts its dispatch.
func (n *Node) giveUp(rec *ledger.Record, code api.Code, message string) {
	n.abort(rec)
	result := core.Result{Outcome: outcomeWithoutAnswer(rec), Code: code, Message: message}
	if code == api.CodeDeadline {
		result.RetryAfter = n.retryAfter(overloadRetryAfter)
	}
	n.finish(rec, result)
}

// finishIfRefused finishes a request that is not at a target with the result of an admission check, unless the check refuses
// nothing. It reports whether it did.
func (n *Node) finishIfRefused(rec *ledger.Record, result core.Result) bool {
	if result.Code == "" {
		return false
	}
	result.Outcome = outcomeWithoutAnswer(rec)
	n.finish(rec, result)
	return true
}

// outcomeWithoutAnswer returns the outcome of a record that ends now, without a complete answer: "not run" if no target
// may have executed it, "failed" if it is idempotent or its answer has begun, and "unknown" otherwise.
func outcomeWithoutAnswer(rec *ledger.Record) api.Outcome {
	switch {
	case !rec.MayHaveRun:
		return api.OutcomeNotRun
	case rec.Request.Idempotent, rec.Timing.FirstToken != 0:
		return api.OutcomeFailed
	}
	return api.OutcomeUnknown
}
