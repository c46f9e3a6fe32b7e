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

// predictTotal is the predicted time from now to the request's last token at the best engine of its lane, after what
// waits for that lane at all hosts. Nothing is refused on a guess: without any engine that this host has measured it is
// zero.
func (n *Node) predictTotal(rec *ledger.Record) time.Duration {
	engines := n.laneEngines(rec)
	rates := meanRates(engines)
	if rates.measured == 0 {
		return 0
	}
	best := time.Duration(-1)
	for _, t := range engines {
		if total := n.predictAt(rec, t, rates); best < 0 || total < best {
			best = total
		}
	}
	waiting := float64(n.fleetQueued(rec.Work.Class)) / (rates.prefill * float64(len(engines)))
	return best + time.Duration(waiting*float64(time.Second))
}

// laneEngines are the engines of the request's own lane that take new work.
func (n *Node) laneEngines(rec *ledger.Record) []*target.Target {
	var out []*target.Target
	for _, t := range n.targets.All() {
		wanted := t.Role == hostlist.RoleEngine && t.Lane == laneOf(rec.Work.Class) && t.Serves(rec.Request.Model)
		if wanted && t.Eligible(n.now) && !n.silent[t.Address] {
			out = append(out, t)
		}
	}
	return out
}

// engineRates are mean rates over the engines that this host has measured.
type engineRates struct {
	measured int
	// prefill is in tokens of weight 1 a second.
	prefill float64
	gap     time.Duration
}

func meanRates(engines []*target.Target) engineRates {
	var r engineRates
	for _, t := range engines {
		if t.Measured() {
			r.measured++
			r.prefill += t.PrefillRate()
			r.gap += t.TokenGap()
		}
	}
	if r.measured > 0 {
		r.prefill /= float64(r.measured)
		r.gap /= time.Duration(r.measured)
	}
	return r
}

// predictAt is the predicted time at one engine, at its own rates or, where they are not measured, the mean ones; for
// a group it is that of the engine as a member.
func (n *Node) predictAt(rec *ledger.Record, t *target.Target, rates engineRates) time.Duration {
	if t.Measured() {
		rates.prefill, rates.gap = t.PrefillRate(), t.TokenGap()
	}
	load := t.Total()
	work := load.Ahead(route.Priority(rec.Work.Class)) + n.ownWorkAt(rec, t)
	first := time.Duration(float64(work) / rates.prefill * float64(time.Second))
	return first + time.Duration(max(rec.Work.AnswerTokens-1, 0))*rates.gap
}

// ownWorkAt is the prefill work that a request brings to an engine, alone or as a member of a group.
func (n *Node) ownWorkAt(rec *ledger.Record, t *target.Target) int64 {
	if !rec.Work.Group {
		return route.UncachedWork(rec, t)
	}
	members := (memoryNeed(&rec.Request)*percent/groupPercent + t.MemoryTokens - 1) / max(t.MemoryTokens, 1)
	return rec.Work.PrefillWork * percent / (groupPercent * max(members, 1))
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
