package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// checkFeasible refuses a request that is not going to end within its time: what waits before it, its prefill and its
// answer, as predicted now, take longer than its budget.
func (n *Node) checkFeasible(req *core.Request) core.Result {
	if !n.predicts() || n.isService(req.Model) {
		return core.Result{}
	}
	rec := &ledger.Record{Request: *req, Work: n.workOf(req)}
	left := req.Deadline - n.now
	over := n.predictTotal(rec) - time.Duration(float64(left)*admissionPart(rec.Work.Class))
	if over <= 0 {
		return core.Result{}
	}
	return core.Result{
		Code:       api.CodeOverloaded,
		Message:    "it would not end within its budget",
		RetryAfter: over + n.retryAfter(afterOverload),
	}
}

// admissionPart is the part of the budget that a request's predicted time may take. Predictions of long work are
// less certain, and an admitted long request is to end in time whatever comes after it.
func admissionPart(c document.Class) float64 {
	switch c {
	case document.ClassShort:
		return 0.95
	case document.ClassMiddle:
		return 0.8
	}
	return 0.5
}

// predictTotal is the predicted time from now to the request's last token.
func (n *Node) predictTotal(rec *ledger.Record) time.Duration {
	lane := laneOf(rec.Work.Class)
	rate := 0.0
	best := time.Duration(-1)
	for _, t := range n.targets.All() {
		if t.Role != hostlist.RoleEngine || !t.Serves(rec.Request.Model) || !t.Eligible(n.now) || t.Lane != lane {
			continue
		}
		rate += t.PrefillRate()
		if total := n.predictAt(rec, t); best < 0 || total < best {
			best = total
		}
	}
	if best <= 0 {
		return 0
	}
	waiting := float64(n.fleetQueued(rec.Work.Class))
	return best + time.Duration(waiting/rate*float64(time.Second))
}

// predictAt is the predicted time at one engine; for a group it is that of the engine as a member. Nothing is refused
// on a guess: an engine that this host has not measured counts as one that takes no time.
func (n *Node) predictAt(rec *ledger.Record, t *target.Target) time.Duration {
	if !t.Measured() {
		return 0
	}
	if !rec.Work.Group {
		return route.Predict(rec, t).Total
	}
	load := t.Total()
	members := (memoryNeed(&rec.Request)*percent/groupPercent + t.MemoryTokens - 1) / max(t.MemoryTokens, 1)
	work := load.Ahead(0) + rec.Work.PrefillWork*percent/(groupPercent*max(members, 1))
	first := time.Duration(float64(work) / t.PrefillRate() * float64(time.Second))
	return first + time.Duration(rec.Work.AnswerTokens)*t.TokenGap()
}

// tooLate gives up a waiting request that can't end in time any more at the best target there is.
func (n *Node) tooLate(rec *ledger.Record, t *target.Target) bool {
	if !n.predicts() || t.Role != hostlist.RoleEngine || !t.Measured() {
		return false
	}
	left := rec.Request.Deadline - n.now
	if route.Predict(rec, t).Total <= left*lateMargin/percent {
		return false
	}
	n.giveUp(rec, api.CodeDeadline, "it would not end within its budget any more")
	return true
}

// lateMargin is the part of the predicted time, in percent, by which a prediction may be wrong before an admitted
// request is given up for it.
const lateMargin = 120
