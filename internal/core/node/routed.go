package node

import (
	"cmp"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/routes"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// resolve fills in what the document in force says of a request for a route: team, service, what may be repeated and
// for how long. It returns the refusal of a request that the document does not allow, or that comes before this host
// knows a document.
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
		return core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeUnknownRoute, Message: "no such route"}, true
	}
	if n.table.Keyed() && !route.Public {
		team, ok := n.table.Team(req.Routed.KeyDigest)
		if !ok {
			return core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeUnknownKey, Message: "no team has this key"}, true
		}
		req.Team = team
	}
	n.fillRoute(req, route)
	return core.Result{}, false
}

func (n *Node) fillRoute(req *core.Request, route *document.Route) {
	routed := *req.Routed
	routed.Route = route.Name
	routed.Streams = route.Kind == document.KindStream
	routed.MaxExecutions = int(route.MaxExecutions)
	routed.Target = route.Target()
	routed.GapTarget = route.GapTarget()
	routed.Rank = int(route.Rank)
	req.Routed = &routed
	req.Model = routes.Choose(route, n.rng.Float64())
	req.Idempotent = route.MayRepeat()
	req.Home = n.opts.Self
	budget := route.Timeout()
	if req.Budget > 0 {
		routed.Returned = n.usual.returned(n.now, route.Name, req.Budget)
		budget = min(budget, req.Budget)
	}
	req.Budget = budget
	req.Deadline = n.now + budget
}

// setTargets gives a record the aims for its answer: those of its route, or those of the preset.
func (n *Node) setTargets(rec *ledger.Record, preset *document.Preset) {
	if routed := rec.Request.Routed; routed != nil {
		rec.FirstTokenTarget = routed.Target
		return
	}
	rec.FirstTokenTarget = time.Duration(preset.FirstTokenTargetMs) * time.Millisecond
}

// unmetered tells whether nothing bounds the work of a request's team.
func (n *Node) unmetered(req *core.Request) bool {
	if req.Routed == nil {
		return false
	}
	team, ok := n.config.Document().Team(req.Team)
	return !ok || team.Unmetered
}

// readingWork is the work of a request's prompt at the engines of its service, in tokens of weight 1.
func (n *Node) readingWork(req *core.Request) int64 {
	if e := n.engineOf(req.Model); e != nil {
		return target.EngineWork(e, req.PromptTokens)
	}
	return target.PrefillWork(0, req.PromptTokens)
}

// engineOf is the published speed of a service's engines, or nil.
func (n *Node) engineOf(service string) *document.Engine {
	doc := n.config.Document()
	if doc == nil {
		return nil
	}
	if s, ok := doc.Service(service); ok {
		return s.Engine
	}
	return nil
}

// describeEngines hands each target the published speed of its service.
func (n *Node) describeEngines() {
	pauses := make(map[string]time.Duration) // by service
	for _, t := range n.targets.All() {
		t.Engine = nil
		for _, service := range t.Models {
			e := n.engineOf(service)
			if e == nil {
				continue
			}
			if _, known := pauses[service]; !known {
				pauses[service] = n.strictPause(service)
			}
			t.Engine = e
			t.MemoryTokens = e.MemoryTokens
			t.Slots = cmp.Or(t.Slots, e.Slots)
			t.StrictPause = pauses[service]
		}
	}
}

// strictPause is the tightest aim for pauses of the routes that lead to a service; 0 without any.
func (n *Node) strictPause(service string) time.Duration {
	tightest := time.Duration(0)
	for i := range n.config.Document().Routes {
		r := &n.config.Document().Routes[i]
		if r.GapTargetMs == 0 || !r.LeadsTo(service) {
			continue
		}
		if tightest == 0 || r.GapTarget() < tightest {
			tightest = r.GapTarget()
		}
	}
	return tightest
}

// takesLate tells whether a host that stops still takes a request: callers keep a look-up answer that names this host
// for a while, and are served rather than sent on.
func (n *Node) takesLate(req *core.Request) bool {
	return req.Routed != nil && n.now < n.drain.since+n.opts.LookupKeep
}

// callerLeft ends the request of a caller that is gone.
func (n *Node) callerLeft(in CallerLeft) {
	if rec := n.active[in.Key]; rec != nil {
		n.giveUp(rec, api.CodeCanceled, "the caller left")
	}
}

// executedOften tells whether a request has been at as many targets as its route allows.
func (n *Node) executedOften(rec *ledger.Record) bool {
	routed := rec.Request.Routed
	return routed != nil && (rec.Executions >= routed.MaxExecutions || rec.Refusals >= maxRefusals)
}

// maxRefusals is how many targets may refuse one routed request before its caller is told to come back.
const maxRefusals = 3

// expireWaiting refuses the routed requests for which no target had room in time: their callers can do better by coming
// back than by waiting on.
func (n *Node) expireWaiting() {
	var waited []*ledger.Record
	n.queue.Each(n.now, func(rec *ledger.Record) bool {
		if rec.Request.Routed != nil && n.now-rec.WaitsSince > n.waitLimit(rec) {
			waited = append(waited, rec)
		}
		return false
	})
	for _, rec := range waited {
		n.finish(rec, core.Result{
			Outcome:    certainOutcome(rec),
			Code:       api.CodeNoRoom,
			Message:    "no target had room in time: " + rec.Obstacle.String(),
			RetryAfter: n.retryAfter(afterContention),
		})
	}
}

// afterContention is the base of the time to come back after engines were full: longer than most answers last, so that
// what fills them has ended.
const afterContention = 2 * time.Second

// returnedPatience is how many times as long a caller that came back may wait.
const returnedPatience = 3

// waitPercent is the part of its budget that a request waits at the most.
const waitPercent = 25

// waitLimit is how long a routed request waits for a target: the time to its aim, and at most a part of its budget.
func (n *Node) waitLimit(rec *ledger.Record) time.Duration {
	limit := rec.FirstTokenTarget
	if rec.Request.Routed.Returned {
		limit *= returnedPatience // it is late already, and has no further try
	}
	return min(limit, rec.Request.Budget*waitPercent/percent)
}
