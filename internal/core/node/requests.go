package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// submit decides on a request from its headers. The record of an earlier submit of the same key is checked before the
// admission checks, which could otherwise refuse a request that is already admitted.
func (n *Node) submit(in Submit) {
	req := in.Request
	if refusal, refused := n.resolve(&req); refused {
		n.refuse(in.Ticket, &req, refusal)
		return
	}
	if decision, decided := n.decideHome(&req); decided {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	if req.Routed == nil {
		n.setZones(&req, nil)
	}
	n.setDeadline(&req)
	verdict, result := n.ledger.Classify(n.now, &req)
	rec := n.ledger.Get(req.Key)
	if rec != nil {
		n.ledger.Join(n.now, rec, &req)
	}
	switch verdict {
	case ledger.Join:
		n.do(Decide{Ticket: in.Ticket, Decision: n.join(rec, &req)})
	case ledger.Refuse:
		n.refuse(in.Ticket, &req, result)
	case ledger.New:
		n.submitNew(in.Ticket, req)
	}
}

// join attaches a submit to the record of its key. An attempt later than the last one that was asked for its body is
// asked too if no body is complete yet and there is room for another: the caller has abandoned the earlier connection,
// so its body may never arrive.
func (n *Node) join(rec *ledger.Record, req *core.Request) Decision {
	decision := Decision{Kind: Attach, Deadline: rec.Request.Deadline}
	room := n.bodyBytes+req.BodyBytes <= n.opts.BodyBytes
	if rec.State == ledger.Receiving && req.Attempt > rec.BodyAttempt && room {
		n.ledger.AwaitBody(rec, req.Attempt)
		n.bodyBytes += req.BodyBytes
		decision.Kind = Admit
	}
	return decision
}

// decideHome returns the decision on a request that is not idempotent and does not name this process as its home, so that
// this process must not execute it. It reports whether there is one.
func (n *Node) decideHome(req *core.Request) (Decision, bool) {
	if req.Idempotent || req.Home == n.opts.Self {
		return Decision{}, false
	}
	switch {
	case req.Home == core.Home{}:
		return n.refusal(homeRequired(req)), true
	case req.Home.Address == n.opts.Self.Address:
		return n.refusal(core.Result{
			Outcome: api.OutcomeUnknown,
			Code:    api.CodeHomeGone,
			Message: "the home process has ended and nothing tells what it had run",
		}), true
	case req.Forwarded:
		return n.refusal(core.Result{
			Outcome: api.OutcomeUnknown,
			Code:    api.CodeHomeGone,
			Message: "the request was forwarded to a host that is not its home",
		}), true
	}
	// Forward even if this host's last heartbeat from that address names another process: it may be older than the
	// caller's lookup.
	return Decision{Kind: Forward, Home: req.Home}, true
}

// decideQueryHome returns the decision on a query or a cancel of a request that another process may hold. It reports
// whether there is one. For an idempotent request, it forwards to the home that the caller names, unless that is at this
// host's address or the query was already forwarded.
func (n *Node) decideQueryHome(req *core.Request) (Decision, bool) {
	named := req.Home != core.Home{} && req.Home.Address != n.opts.Self.Address
	if req.Idempotent && named && !req.Forwarded {
		return Decision{Kind: Forward, Home: req.Home}, true
	}
	return n.decideHome(req)
}

// homeRequired returns the refusal of a request that names no home. Only for a first attempt is it certain that no
// earlier one ran.
func homeRequired(req *core.Request) core.Result {
	result := core.Result{
		Outcome: api.OutcomeUnknown,
		Code:    api.CodeHomeRequired,
		Message: "a request that is not idempotent must name its home",
	}
	if req.Attempt == 1 {
		result.Outcome = api.OutcomeNotRun
	}
	return result
}

// setDeadline gives an idempotent request a new deadline, its budget or the default one from now, if it names none or if
// its deadline is on the clock of another process, its home. A request that is not idempotent must have its own deadline:
// with a new one at each arrival, a delayed copy could run after the record has expired.
func (n *Node) setDeadline(req *core.Request) {
	otherClock := req.Home != core.Home{} && req.Home != n.opts.Self
	if req.Idempotent && (req.Deadline <= 0 || otherClock) {
		req.Deadline = n.now + n.budgetOf(req)
	}
}

// budgetOf returns the caller's time budget, or the default of the request's class.
func (n *Node) budgetOf(req *core.Request) time.Duration {
	switch {
	case req.Budget > 0:
		return req.Budget
	case n.config.Document() == nil:
		return ledger.MaxBudget // the request will be refused as the host is not ready
	}
	preset := n.config.Document().Preset()
	return preset.Budget(preset.Classify(req.PromptTokens))
}

func (n *Node) submitNew(ticket Ticket, req core.Request) {
	result, refused := n.admission(&req)
	if !refused || !n.exceedsShare(&req, result) {
		n.recordDemand(&req)
	}
	if refused {
		n.closeAndRefuse(ticket, req, result)
		return
	}
	work := n.workOf(&req)
	if work.Class == document.ClassShort {
		n.shares.Add(n.now, req.Team, work.PrefillTokens)
	}
	rec := n.ledger.Admit(n.now, req, work, n.config.Revision())
	n.active[req.Key] = rec
	preset := n.config.Document().Preset()
	n.setFirstTokenTarget(rec, &preset)
	rec.SlowdownWeight = float64(preset.ProtectShortPercent) / percent
	n.retries.Earn(preset.RetryPercent)
	n.bodyBytes += req.BodyBytes
	n.do(Open{Key: req.Key})
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Admit, Deadline: req.Deadline}})
}

// exceedsShare reports whether a request was refused because of load above its team's limit or share, or because its prompt is
// withheld. Such load must not count as demand: lanes sized by it would take engines from the other teams.
func (n *Node) exceedsShare(req *core.Request, refusal core.Result) bool {
	return refusal.Code == api.CodeTeamLimit || refusal.Code == api.CodeHarmfulPrompt ||
		refusal.Code == api.CodeOverloaded && n.queue.Dominates(&ledger.Record{Request: *req, Work: n.workOf(req)})
}

// closeAndRefuse refuses an attempt. For a request that is not idempotent, the outcome is "not run" only if the ledger
// can record that, so that the attempt never runs later. A routed request is not recorded: it has one attempt.
func (n *Node) closeAndRefuse(ticket Ticket, req core.Request, result core.Result) {
	if req.Routed == nil && !req.Idempotent && !n.ledger.Close(n.now, req, result) {
		result.Outcome = api.OutcomeUnknown
		result.Code = api.CodeRecordsFull
	}
	n.refuse(ticket, &req, result)
}

func (n *Node) refuse(ticket Ticket, req *core.Request, result core.Result) {
	n.countOutcome(result.Outcome)
	n.do(Refused{Key: req.Key, Result: result, PromptTokens: req.PromptTokens, Config: n.configBasis()})
	decision := n.refusal(result)
	if result.Code == api.CodeNotServed {
		decision.Alternatives = n.directory.referrals(req.Team)
	}
	n.do(Decide{Ticket: ticket, Decision: decision})
}

// configBasis returns what requests are decided by now.
func (n *Node) configBasis() ConfigBasis {
	revision := n.config.Revision()
	return ConfigBasis{Revision: revision, InForce: n.now - n.config.Since(), Known: max(n.floor(), revision)}
}

func (n *Node) refusal(result core.Result) Decision {
	return Decision{Kind: Refuse, Result: result, Alternatives: n.alternatives()}
}

func (n *Node) workOf(req *core.Request) core.Work {
	work := core.Work{
		Class:         document.ClassService,
		PrefillTokens: req.PromptTokens,
		PrefillWork:   n.prefillWork(req),
		AnswerTokens:  req.AnswerTokens,
	}
	if !n.isService(req.Model) {
		work.Group = n.needsGroup(req)
		work.Class = n.config.Document().Preset().Classify(req.PromptTokens)
	}
	return work
}

func (n *Node) isService(model string) bool {
	for _, t := range n.targets.All() {
		if t.Serves(model) {
			return t.Role == hostlist.RoleService
		}
	}
	return false
}

// bodyEnded queues a request whose body is complete, whichever attempt sent it. It ends a request if the last attempt
// that was asked for its body failed to send it. Attempts before rec.Request.Attempt, the one that was admitted, belong
// to an earlier record of the key.
func (n *Node) bodyEnded(in BodyEnded) {
	rec := n.active[in.Key]
	if rec == nil || rec.State != ledger.Receiving || in.Attempt < rec.Request.Attempt {
		return
	}
	if in.Fault != "" && in.Attempt != rec.BodyAttempt {
		return
	}
	if in.Fault != "" {
		result := core.Result{Outcome: api.OutcomeNotRun, Code: in.Fault, Message: "the body did not arrive whole"}
		if in.Fault == api.CodeBodyMemory {
			result.RetryAfter = n.retryAfter(overloadRetryAfter)
		}
		n.finish(rec, result)
		return
	}
	rec.Request.Works = core.WorksOf(&rec.Request, in.Content)
	n.ledger.MarkQueued(rec)
	n.enqueue(rec)
	n.requestFreshPlacement()
}

// enqueue queues a request for dispatch to a target, unless its prompt is withheld by now, no target is left in the regions where
// it may run, all of them are evacuated, or this process will be killed before the request could end. The last does not end a
// streamed answer that has begun, and neither does a lack of room: it may go on until the end of its request.
func (n *Node) enqueue(rec *ledger.Record) {
	if v := n.withholds(&rec.Request); v != nil {
		n.finishWithheld(rec, v)
		return
	}
	if n.finishOutsideRegions(rec) {
		return
	}
	if n.finishIfRefused(rec, n.checkEvacuated(&rec.Request)) {
		return
	}
	if n.drain.answerBy != 0 && n.refusedByStop(rec, n.runningAges()) {
		n.finishIfRefused(rec, n.stopRefusal())
		return
	}
	n.push(rec)
}

// push lets a request wait for a target. One whose answer has begun may wait until its end.
func (n *Node) push(rec *ledger.Record) {
	rec.WaitingSince = n.now
	if rec.Begun {
		rec.WaitLimit = rec.Request.Deadline - n.now
	}
	n.queue.Push(rec)
}

// retryAfter returns a Retry-After time with jitter: between 0.5 and 1.5 times the base.
func (n *Node) retryAfter(base time.Duration) time.Duration {
	return base/2 + time.Duration(n.rng.Int64N(int64(base)))
}
