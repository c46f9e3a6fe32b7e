package node

import (
	"cmp"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/core/target"
	"carobshunt/internal/core/throttle"
	"carobshunt/internal/document"
)

// resolve fills in what the document in force sets for a routed request: team, service, limits, timeout and whether it
// may be repeated. It returns the refusal, if there is one, of a request that the document does not allow, or that
// arrives while this host is not ready or drains and no longer accepts it.
func (n *Node) resolve(req *core.Request) (core.Result, bool) {
	if req.Routed == nil {
		return core.Result{}, false
	}
	if result := n.checkReady(req); result.Code != "" {
		result.Outcome = api.OutcomeNotRun
		return result, true
	}
	route := n.table.Match(req.Routed.Authority, req.Routed.Path)
	if route == nil {
		return n.notAllowed(api.CodeUnknownRoute, "no such route"), true
	}
	if n.table.Keyed() && !route.Public {
		team, ok := n.table.Team(req.Routed.KeyDigest)
		if !ok {
			return n.notAllowed(api.CodeUnknownKey, "no team has this key"), true
		}
		req.Team = team
	}
	if route.Unusable {
		return core.Result{
			Outcome: api.OutcomeNotRun, Code: api.CodeNoTarget, Message: "what was published for the route can't be used",
			RetryAfter: n.retryAfter(overloadRetryAfter),
		}, true
	}
	n.fillRoute(req, route)
	n.setZones(req, route)
	return core.Result{}, false
}

// maxBehind is how long this host may be behind, without progress, and still tell callers to come back.
const maxBehind = 5 * time.Second

// notAllowed returns the refusal of a request that the document in force does not allow. It is final, unless this host knows that a newer
// document is in force elsewhere, which may allow it.
func (n *Node) notAllowed(code api.Code, why string) core.Result {
	if !n.observed.documentFetch.Behind(n.now, n.config.Version(), maxBehind) {
		return core.Result{Outcome: api.OutcomeNotRun, Code: code, Message: why}
	}
	return core.Result{
		Outcome: api.OutcomeNotRun, Code: api.CodeRevisionBehind, Message: why + " yet on this host, whose configuration is behind",
		RetryAfter: n.retryAfter(overloadRetryAfter),
	}
}

// fillRoute copies the settings of a route into a request.
func (n *Node) fillRoute(req *core.Request, route *document.Route) {
	routed := *req.Routed
	routed.Route = route.Name
	routed.Streams = route.Kind == document.KindStream
	routed.MaxExecutions = int(route.MaxExecutions)
	routed.FirstTokenTarget = route.FirstTokenTarget()
	routed.GapTarget = route.GapTarget()
	routed.Rank = n.table.Rank(req.Team, route)
	routed.ByRank = n.table.RanksTeams()
	req.Routed = &routed
	req.Model = routes.Choose(route, n.rng.Float64())
	req.Idempotent = route.MayRepeat()
	req.Home = n.opts.Self
	budget := route.Timeout()
	if req.Budget > 0 {
		routed.Resubmitted = n.budgets.resubmitted(n.now, route.Name, req.Budget)
		budget = min(budget, req.Budget)
	}
	req.Budget = budget
	req.Deadline = n.now + budget
}

// setFirstTokenTarget sets the first-token target of a record: that of its route, or that of the preset if it is not
// routed. For a routed request it sets the wait limit too.
func (n *Node) setFirstTokenTarget(rec *ledger.Record, preset *document.Preset) {
	if routed := rec.Request.Routed; routed != nil {
		rec.FirstTokenTarget = routed.FirstTokenTarget
		rec.WaitLimit = waitLimit(rec)
		return
	}
	rec.FirstTokenTarget = preset.FirstTokenTarget()
}

// unmetered reports whether no limit applies to the work of a routed request's team.
func (n *Node) unmetered(req *core.Request) bool {
	if req.Routed == nil {
		return false
	}
	team, ok := n.config.Document().Team(req.Team)
	return !ok || team.Unmetered
}

// prefillWork returns the prefill work of a request's prompt at the engines of its service, in weighted tokens.
func (n *Node) prefillWork(req *core.Request) int64 {
	if e := n.publishedEngine(req.Model); e != nil {
		return target.EnginePrefillWork(e, req.PromptTokens)
	}
	return target.PrefillWork(0, req.PromptTokens)
}

// publishedEngine returns the published speed of a service's engines, or nil.
func (n *Node) publishedEngine(service string) *document.Engine {
	doc := n.config.Document()
	if doc == nil {
		return nil
	}
	if s, ok := doc.Service(service); ok {
		return s.Engine
	}
	return nil
}

// setEngineSpeeds sets on each target the published speed and memory of its service's engines, the slots if the host
// list names none, and the gap objective.
func (n *Node) setEngineSpeeds() {
	gapTargets := make(map[string]time.Duration) // by service
	for _, t := range n.targets.All() {
		t.Engine = nil
		n.setColdLimit(t)
		for _, service := range t.Models {
			e := n.publishedEngine(service)
			if e == nil {
				continue
			}
			if _, known := gapTargets[service]; !known {
				gapTargets[service] = n.tightestGapTarget(service)
			}
			t.Engine = e
			t.MemoryTokens = e.MemoryTokens
			t.Slots = cmp.Or(t.Slots, e.Slots)
			t.GapObjective = gapTargets[service]
		}
	}
}

// setColdLimit sets what the target's service takes while it is cold.
func (n *Node) setColdLimit(t *target.Target) {
	t.SetColdLimit(0, 0)
	doc := n.config.Document()
	if doc == nil {
		return
	}
	for _, name := range t.Models {
		s, ok := doc.Service(name)
		if !ok || s.ColdPerSecond <= 0 {
			continue
		}
		rate := min(n.opts.ColdStarts.rate(s.ColdPerSecond), s.ColdPerSecond)
		t.SetColdLimit(rate, s.ColdTime())
	}
}

// ColdStarts is how far all hosts together may exceed what a cold target takes, in any one second.
type ColdStarts struct {
	// Overshoot is a factor on the published requests a second; 0 counts as 1. Slack is a number of requests.
	Overshoot, Slack float64
}

// rate returns the rate at which the hosts send to a cold target that takes that many requests a second.
func (c ColdStarts) rate(perSecond float64) float64 {
	return throttle.RateWithin(perSecond*max(c.Overshoot, 1) + c.Slack)
}

// tightestGapTarget returns the smallest gap target of the routes that lead to a service, or 0 if there is none.
func (n *Node) tightestGapTarget(service string) time.Duration {
	tightest := time.Duration(0)
	for i := range n.config.Document().Routes {
		r := &n.config.Document().Routes[i]
		if r.GapTargetMs == 0 || !r.HasService(service) {
			continue
		}
		if tightest == 0 || r.GapTarget() < tightest {
			tightest = r.GapTarget()
		}
	}
	return tightest
}

// acceptsWhileDraining reports whether a draining host still accepts a request: callers keep a lookup answer that names
// this host for up to Options.LookupTTL, and are served rather than redirected.
func (n *Node) acceptsWhileDraining(req *core.Request) bool {
	return req.Routed != nil && n.now < n.drain.begun+n.opts.LookupTTL
}

// callerLeft ends the request of a caller that has disconnected.
func (n *Node) callerLeft(in CallerLeft) {
	if rec := n.active[in.Key]; rec != nil {
		n.giveUp(rec, api.CodeCanceled, "the caller left")
	}
}

// dispatchLimitReached reports whether a routed request may have been executed as often as its route allows, or
// maxRefusals of its dispatches were refused or not written before its answer had begun.
func (n *Node) dispatchLimitReached(rec *ledger.Record) bool {
	routed := rec.Request.Routed
	return routed != nil && (rec.Executions >= routed.MaxExecutions || !rec.Begun && rec.Refusals >= maxRefusals)
}

// maxRefusals is the number of refused or unwritten dispatches after which a routed request is not retried; its caller
// is to resubmit it later.
const maxRefusals = 3

// expireWaiting ends the routed requests that have waited for a target longer than their limit: their callers do better
// to resubmit than to keep waiting. With PolicyInForce it checks only those that would be dispatched next.
func (n *Node) expireWaiting() {
	for _, rec := range n.queue.Overdue(n.now) {
		if wait, restricted := n.restrictedWait(rec, 0); restricted {
			n.finish(rec, n.restrictedResult(rec, wait))
			continue
		}
		n.finish(rec, core.Result{
			Outcome:    outcomeWithoutAnswer(rec),
			Code:       api.CodeNoRoom,
			Message:    "no target had room in time: " + rec.Obstacle.String(),
			RetryAfter: n.retryAfter(contentionRetryAfter),
		})
	}
}

// contentionRetryAfter is the base of the retry-after time when engines are full: longer than most answers take, so that
// the requests that fill them have ended.
const contentionRetryAfter = 2 * time.Second

// resubmittedWaitFactor multiplies the wait limit of resubmitted requests.
const resubmittedWaitFactor = 3

// maxWaitPercent is the maximum wait of a request, in percent of its budget.
const maxWaitPercent = 25

// waitLimit returns how long a routed request may wait for a target: its first-token target, but at most
// maxWaitPercent of its budget.
func waitLimit(rec *ledger.Record) time.Duration {
	limit := rec.FirstTokenTarget
	if rec.Request.Routed.Resubmitted {
		limit *= resubmittedWaitFactor // it is late already, and its caller will not resubmit it again
	}
	return min(limit, rec.Request.Budget*maxWaitPercent/percent)
}
