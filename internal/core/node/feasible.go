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

// checkFeasible refuses a request that is not predicted to end within the admissionFraction of the time to its deadline,
// counting the work ahead of it, its prefill and its answer.
func (n *Node) checkFeasible(req *core.Request) core.Result {
	if !n.usesPolicyInForce() || n.isService(req.Model) {
		return core.Result{}
	}
	rec := &ledger.Record{Request: *req, Work: n.workOf(req)}
	left := req.Deadline - n.now
	rec.Yields = n.yields(rec)
	over := n.predictTotal(rec) - time.Duration(float64(left)*admissionFraction(rec.Work.Class))
	if over <= 0 {
		return core.Result{}
	}
	return core.Result{
		Code:       api.CodeOverloaded,
		Message:    "it would not end within its budget",
		RetryAfter: over + n.retryAfter(overloadRetryAfter),
	}
}

// admissionFraction returns the fraction of the time to its deadline that a request may be predicted to take.
// Predictions of long work are less certain, and an admitted long request must end in time even if more work arrives
// after it.
func admissionFraction(c document.Class) float64 {
	switch c {
	case document.ClassShort:
		return 0.95
	case document.ClassMiddle:
		return 0.8
	}
	return 0.5
}

// predictTotal returns the predicted time from now to the request's last token: at the best engine of its lane, after
// the work that is queued for that lane at all hosts and is served before it. It is 0 if this host has measured none of the engines, since
// nothing is refused without a measurement.
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
	waiting := float64(n.fleetAhead(rec)) / (rates.prefill * float64(len(engines)))
	return best + time.Duration(waiting*float64(time.Second))
}

// laneEngines returns the engines of the request's lane that accept new work.
func (n *Node) laneEngines(rec *ledger.Record) []*target.Target {
	var out []*target.Target
	for _, t := range n.targets.All() {
		serves := t.Role == hostlist.RoleEngine && t.Serves(rec.Request.Model) && rec.Request.AllowsZone(t.Zone)
		wanted := serves && t.Lane == laneOf(rec.Work.Class)
		if wanted && t.Eligible(n.now) && !n.nonReporting[t.Address] {
			out = append(out, t)
		}
	}
	return out
}

// engineRates holds mean rates over the engines that this host has measured.
type engineRates struct {
	// measured is the number of these engines.
	measured int
	// prefill is in weighted tokens a second.
	prefill float64
	// gap is the inter-token latency.
	gap time.Duration
}

// meanRates returns the mean rates of those engines that this host has measured.
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

// predictAt returns the predicted time to the last token at one engine, at the engine's own rates or, if it has not
// been measured, at the mean rates. For a group it is the time of the engine as a member.
func (n *Node) predictAt(rec *ledger.Record, t *target.Target, rates engineRates) time.Duration {
	if t.Measured() {
		rates.prefill, rates.gap = t.PrefillRate(), t.TokenGap()
	}
	load := t.Total()
	work := load.Ahead(route.RecordPriority(rec)) + n.ownWorkAt(rec, t)
	firstToken := time.Duration(float64(work) / rates.prefill * float64(time.Second))
	return firstToken + time.Duration(max(rec.Work.AnswerTokens-1, 0))*rates.gap
}

// ownWorkAt returns the prefill work that a request adds to an engine, alone or as a member of a group, in weighted
// tokens.
func (n *Node) ownWorkAt(rec *ledger.Record, t *target.Target) int64 {
	if !rec.Work.Group {
		return route.UncachedWork(rec, t)
	}
	members := (memoryNeed(&rec.Request)*percent/groupRatePercent + t.MemoryTokens - 1) / max(t.MemoryTokens, 1)
	return rec.Work.PrefillWork * percent / (groupRatePercent * max(members, 1))
}

// giveUpIfLate gives up a waiting request that can no longer end in time at the best target, and reports whether it
// did.
func (n *Node) giveUpIfLate(rec *ledger.Record, t *target.Target) bool {
	if !n.usesPolicyInForce() || t.Role != hostlist.RoleEngine || !t.Measured() {
		return false
	}
	left := rec.Request.Deadline - n.now
	if route.Predict(rec, t).Total <= left*giveUpPercent/percent {
		return false
	}
	n.giveUp(rec, api.CodeDeadline, "it would not end within its budget any more")
	return true
}

// giveUpPercent is the predicted time, in percent of the time left, above which an admitted request is given up. The
// excess over 100 allows for prediction errors.
const giveUpPercent = 120
