package node

import (
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// submit decides on a request from its headers. The order matters: what an earlier submit of the same key left
// behind is looked at before anything that would refuse a new one.
func (n *Node) submit(in Submit) {
	req := in.Request
	if refusal, refused := n.resolve(&req); refused {
		n.refuse(in.Ticket, &req, refusal)
		return
	}
	if decision, elsewhere := n.decideHome(&req); elsewhere {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	n.setDeadline(&req)
	verdict, result := n.ledger.Offer(n.now, &req)
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

// join attaches a submit to the record of its key. A later attempt is asked for the body when the earlier one has not
// brought it: its caller has turned away from a connection on which nothing may ever come.
func (n *Node) join(rec *ledger.Record, req *core.Request) Decision {
	decision := Decision{Kind: Attach, Deadline: rec.Request.Deadline}
	room := n.bodyBytes+req.BodyBytes <= n.opts.BodyBytes
	if rec.State == ledger.Receiving && req.Attempt > rec.Receiver && room {
		n.ledger.Receive(rec, req.Attempt)
		n.bodyBytes += req.BodyBytes
		decision.Kind = Admit
	}
	return decision
}

// decideHome says what becomes of a request that only another process may execute.
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
	// Whether that process still lives is for its address to say: what this host heard of it may be older than the
	// caller's look-up.
	return Decision{Kind: Forward, Home: req.Home}, true
}

// decideAsked says what becomes of a question about a request that another process holds. One about an idempotent
// request goes to the process that its caller names.
func (n *Node) decideAsked(req *core.Request) (Decision, bool) {
	named := req.Home != core.Home{} && req.Home.Address != n.opts.Self.Address
	if req.Idempotent && named && !req.Forwarded {
		return Decision{Kind: Forward, Home: req.Home}, true
	}
	return n.decideHome(req)
}

// homeRequired refuses a request that names no home. Only of a first submit is it certain that none ran before.
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

// setDeadline fills in the deadline of an idempotent request that brings none for this process's clock: it gave a
// budget or nothing, or read the clock of another process. A request that is not idempotent must bring its own: a new
// one at each arrival would let a late copy run after the record is gone.
func (n *Node) setDeadline(req *core.Request) {
	elsewhere := req.Home != core.Home{} && req.Home != n.opts.Self
	if req.Idempotent && (req.Deadline <= 0 || elsewhere) {
		req.Deadline = n.now + n.budgetOf(req)
	}
}

// budgetOf is the budget that the caller gave, or the class's default.
func (n *Node) budgetOf(req *core.Request) time.Duration {
	switch {
	case req.Budget > 0:
		return req.Budget
	case n.config.Document() == nil:
		return ledger.MaxBudget // the refusal will say what is missing
	}
	preset := n.config.Document().Preset()
	return preset.Budget(preset.Classify(req.PromptTokens))
}

func (n *Node) submitNew(ticket Ticket, req core.Request) {
	result, refused := n.admission(&req)
	if result.Code != api.CodeTeamLimit {
		n.offered(&req) // what a team may not have makes no room for more of it
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
	n.setTargets(rec, &preset)
	rec.SlowdownWeight = float64(preset.ProtectShortPercent) / percent
	n.retries.Earn(preset.RetryPercent)
	n.bodyBytes += req.BodyBytes
	n.do(Open{Key: req.Key})
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Admit, Deadline: req.Deadline}})
}

// closeAndRefuse refuses an attempt. "Not run" is said of a request that is not idempotent only when the ledger
// can hold to it.
func (n *Node) closeAndRefuse(ticket Ticket, req core.Request, result core.Result) {
	if req.Routed == nil && !req.Idempotent && !n.ledger.Close(n.now, req, result) {
		result.Outcome = api.OutcomeUnknown
		result.Code = api.CodeRecordsFull
	}
	n.refuse(ticket, &req, result)
}

func (n *Node) refuse(ticket Ticket, req *core.Request, result core.Result) {
	n.count(result.Outcome)
	n.do(Refused{Key: req.Key, Result: result, PromptTokens: req.PromptTokens})
	decision := n.refusal(result)
	if result.Code == api.CodeNotServed {
		decision.Alternatives = n.directory.referrals(req.Team)
	}
	n.do(Decide{Ticket: ticket, Decision: decision})
}

func (n *Node) refusal(result core.Result) Decision {
	return Decision{Kind: Refuse, Result: result, Alternatives: n.alternatives()}
}

func (n *Node) workOf(req *core.Request) core.Work {
	work := core.Work{
		Class:         document.ClassService,
		PrefillTokens: req.PromptTokens,
		PrefillWork:   n.readingWork(req),
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

// bodyEnded goes on with a request whose body has come, from whichever attempt. It ends one whose last asked attempt
// failed to bring it. Attempts before the one that was admitted are another record's.
func (n *Node) bodyEnded(in BodyEnded) {
	rec := n.active[in.Key]
	if rec == nil || rec.State != ledger.Receiving || in.Attempt < rec.Request.Attempt {
		return
	}
	if in.Fault != "" && in.Attempt != rec.Receiver {
		return
	}
	if in.Fault != "" {
		n.finish(rec, core.Result{Outcome: api.OutcomeNotRun, Code: in.Fault, Message: "the body did not arrive whole"})
		return
	}
	n.ledger.Queue(rec)
	n.enqueue(rec)
	n.pump()
}

// enqueue makes a request wait for a target.
func (n *Node) enqueue(rec *ledger.Record) {
	rec.WaitsSince = n.now
	n.queue.Push(rec)
}

// retryAfter is a time to come back with jitter, between half and one and a half of the base.
func (n *Node) retryAfter(base time.Duration) time.Duration {
	return base/2 + time.Duration(n.rng.Int64N(int64(base)))
}
