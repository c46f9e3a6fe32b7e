package node

import (
	"slices"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// finish gives a request its final result and frees what it held.
func (n *Node) finish(rec *ledger.Record, result core.Result) {
	if !n.ledger.Finish(n.now, rec, result) {
		return
	}
	key := rec.Request.Key
	delete(n.active, key)
	n.queue.Remove(key)
	n.endGroup(key)
	n.endHelp(rec)
	n.bodyBytes -= rec.Request.BodyBytes * rec.Bodies
	if result.Outcome == api.OutcomeNotRun {
		n.refund(rec)
	}
	n.count(result.Outcome)
	n.do(Finish{Key: key, Result: result, Timing: rec.Timing, Target: rec.Target, Work: rec.Work})
	if rec.Request.Routed != nil {
		n.ledger.Forget(rec)
		n.do(Drop{Key: key})
	}
}

func (n *Node) count(o api.Outcome) { n.outcomes[o]++ }

// expireDeadlines ends every request whose time is over, at once. A dispatch of which only its last word can tell
// whether it was written is told to end a tick earlier, or by a process that woke late, a tick before its request.
func (n *Node) expireDeadlines() {
	var late []*ledger.Record
	for _, rec := range n.active {
		if n.now+ledger.LastMoment >= rec.Request.Deadline {
			late = append(late, rec)
		}
	}
	slices.SortFunc(late, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range late {
		switch {
		case rec.State == ledger.Dispatched && !rec.Aborted && certainOutcome(rec) == api.OutcomeUnknown:
			rec.Aborted = true
			n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.Dispatches})
		case n.now >= rec.Request.Deadline:
			n.abort(rec)
			n.finish(rec, pastDeadline(rec))
		}
	}
}

func (n *Node) abort(rec *ledger.Record) {
	if rec.State == ledger.Dispatched {
		n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.Dispatches})
	}
}

// giveUp ends a request that has no whole answer, with the outcome that is certain.
func (n *Node) giveUp(rec *ledger.Record, code api.Code, message string) {
	n.abort(rec)
	result := core.Result{Outcome: certainOutcome(rec), Code: code, Message: message}
	if code == api.CodeDeadline {
		result.RetryAfter = n.retryAfter(afterOverload)
	}
	n.finish(rec, result)
}

// certainOutcome is what can be said of a record that ends without a whole answer.
func certainOutcome(rec *ledger.Record) api.Outcome {
	switch {
	case !rec.Reached:
		return api.OutcomeNotRun
	case rec.Request.Idempotent, rec.Timing.FirstToken != 0:
		return api.OutcomeFailed
	}
	return api.OutcomeUnknown
}
