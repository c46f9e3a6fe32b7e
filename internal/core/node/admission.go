package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// admission runs the admission checks on a new request. It returns the first refusal and whether there is one.
func (n *Node) admission(req *core.Request) (core.Result, bool) {
	checks := []func(*core.Request) core.Result{
		n.checkReady,
		n.checkOverload,
		n.checkDeadline,
		n.checkStop,
		n.checkNames,
		n.checkRegions,
		n.checkQuarantine,
		n.checkEvacuated,
		n.checkMemory,
		n.checkCapacity,
		n.checkFeasible,
		n.checkFairShare,
		n.checkTeamLimit,
	}
	for _, check := range checks {
		if result := check(req); result.Code != "" {
			result.Outcome = api.OutcomeNotRun
			return result, true
		}
	}
	return core.Result{}, false
}

func (n *Node) checkReady(req *core.Request) core.Result {
	if reason := n.notReady(); reason != "" {
		return core.Result{Code: api.CodeNotReady, Message: reason, RetryAfter: n.retryAfter(overloadRetryAfter)}
	}
	if n.drain.active && !n.acceptsWhileDraining(req) {
		return core.Result{Code: api.CodeDraining, Message: "this host is stopping", RetryAfter: n.retryAfter(overloadRetryAfter)}
	}
	return core.Result{}
}

// clockSlack is how far a caller's estimate of this host's clock may run ahead of it.
const clockSlack = time.Second

// checkDeadline refuses a deadline further away than the longest budget of any preset.
func (n *Node) checkDeadline(req *core.Request) core.Result {
	if req.Deadline > n.now+n.longestBudget()+clockSlack {
		return core.Result{Code: api.CodeMalformed, Message: "the deadline is further away than the longest budget"}
	}
	return core.Result{}
}

// longestBudget returns the longest time budget of any preset, since a request may outlive a change of the active
// preset. It is at most ledger.MaxBudget.
func (n *Node) longestBudget() time.Duration {
	longest := time.Duration(0)
	for _, preset := range n.config.Document().Presets {
		for _, class := range []document.Class{document.ClassShort, document.ClassMiddle, document.ClassLong} {
			longest = max(longest, preset.Budget(class))
		}
	}
	return min(longest, ledger.MaxBudget)
}

func (n *Node) checkNames(req *core.Request) core.Result {
	if _, ok := n.config.Document().Team(req.Team); !ok && (req.Routed == nil || req.Team != "") {
		return core.Result{Code: api.CodeUnknownTeam, Message: "no such team"}
	}
	if !n.targets.AnyServes(req.Model) {
		if req.Routed != nil {
			return core.Result{Code: api.CodeNoTarget, Message: "no target of this service", RetryAfter: n.retryAfter(overloadRetryAfter)}
		}
		return core.Result{Code: api.CodeUnknownModel, Message: "no target serves this model"}
	}
	return core.Result{}
}

func (n *Node) checkCapacity(req *core.Request) core.Result {
	if n.ledger.Full() && n.ledger.Get(req.Key) == nil {
		return core.Result{Code: api.CodeRecordsFull, Message: "no room for another record", RetryAfter: n.retryAfter(overloadRetryAfter)}
	}
	if n.bodyBytes+req.BodyBytes > n.opts.BodyBytes {
		return core.Result{Code: api.CodeBodyMemory, Message: "no room for the body", RetryAfter: n.retryAfter(overloadRetryAfter)}
	}
	return core.Result{}
}
