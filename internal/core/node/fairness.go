package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/document"
)

// fairShareWaitFraction is the fraction of the first-token target that a new short request may be predicted to wait
// before its prefill begins. Beyond it, a team that is over its share is refused, see checkFairShare.
const fairShareWaitFraction = 0.1

// checkFairShare refuses a short request that is predicted to wait longer than fairShareWaitFraction allows, if its team
// is over its share of the recent work of short requests by more than the tolerance of fair.Shares.Over. The zero Result
// means no refusal. Whether requests of other teams wait is not checked. Longer requests are queued fairly instead.
func (n *Node) checkFairShare(req *core.Request) core.Result {
	if !n.usesPolicyInForce() || n.isService(req.Model) {
		return core.Result{}
	}
	work := n.workOf(req)
	if work.Class != document.ClassShort {
		return core.Result{}
	}
	wait := n.meanWait(&ledger.Record{Request: *req, Work: work})
	objective := n.config.Document().Preset().FirstTokenTarget()
	if wait <= time.Duration(float64(objective)*fairShareWaitFraction) || !n.shares.Over(n.now, req.Team, n.teamWeight) {
		return core.Result{}
	}
	return core.Result{
		Code:       api.CodeTeamLimit,
		Message:    "the team has had more than its share of engines that others wait for",
		RetryAfter: wait + n.retryAfter(overloadRetryAfter),
	}
}

// yields reports whether a request has a lower priority at engines than others of its class, because its team dominates
// the backlog. It applies to middle requests: teams that flood short ones are refused, see checkFairShare, and long ones
// have the lowest priority already.
func (n *Node) yields(rec *ledger.Record) bool {
	return rec.Work.Class == document.ClassMiddle && n.queue.Dominates(rec)
}

// meanWait returns the predicted wait of a new request before its prefill begins, as the mean over the engines of its
// lane. It is 0 if none of them has been measured.
func (n *Node) meanWait(rec *ledger.Record) time.Duration {
	engines := n.laneEngines(rec)
	rates := meanRates(engines)
	if rates.measured == 0 {
		return 0
	}
	ahead := n.fleetQueued(rec.Work.Class)
	for _, t := range engines {
		load := t.Total()
		ahead += load.Ahead(route.Priority(rec.Work.Class))
	}
	return time.Duration(float64(ahead) / (rates.prefill * float64(len(engines))) * float64(time.Second))
}
