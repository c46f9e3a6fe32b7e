package node

import (
	"slices"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// submit decides on a request from its headers. The order matters: what an earlier submit of the same key left
// behind is looked at before anything that would refuse a new one.
func (n *Node) submit(in Submit) {
	req := in.Request
	if decision, elsewhere := n.decideHome(&req); elsewhere {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	n.setDeadline(&req)
	verdict, result := n.ledger.Offer(n.now, &req)
	switch verdict {
	case ledger.Join:
		n.do(Decide{Ticket: in.Ticket, Decision: Decision{Kind: Attach, Deadline: req.Deadline}})
	case ledger.Refuse:
		n.refuse(in.Ticket, result)
	case ledger.New:
		n.submitNew(in.Ticket, req)
	}
}

// decideHome says what becomes of a request that only another process may execute.
func (n *Node) decideHome(req *core.Request) (Decision, bool) {
	if req.Idempotent || req.Home == n.opts.Self {
		return Decision{}, false
	}
	switch {
	case req.Home == core.Home{}:
		return n.refusal(core.Result{
			Outcome: api.OutcomeNotRun,
			Code:    api.CodeHomeRequired,
			Message: "a request that is not idempotent must name its home",
		}), true
	case req.Home.Address == n.opts.Self.Address, n.incarnationGone(req.Home):
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
	return Decision{Kind: Forward, Home: req.Home}, true
}

// incarnationGone tells whether the address is known to be served by another process by now.
func (n *Node) incarnationGone(home core.Home) bool {
	p := n.peers.ByCallersAddress(home.Address)
	return p != nil && p.Known && p.Last.Incarnation != home.Incarnation
}

// setDeadline fills in the deadline where the caller gave a budget or nothing.
func (n *Node) setDeadline(req *core.Request) {
	if req.Deadline > 0 {
		return
	}
	budget := req.Budget
	if budget <= 0 && n.config.Document() != nil {
		preset := n.config.Document().Preset()
		budget = preset.Budget(preset.Classify(req.PromptTokens))
	}
	req.Deadline = n.now + budget
}

func (n *Node) submitNew(ticket Ticket, req core.Request) {
	if result, refused := n.admission(&req); refused {
		n.closeAndRefuse(ticket, req, result)
		return
	}
	rec := n.ledger.Admit(n.now, req, n.workOf(&req), n.config.Revision())
	n.active[req.Key] = rec
	n.retries.Earn(n.config.Document().Preset().RetryPercent)
	n.bodyBytes += req.BodyBytes
	n.do(Open{Key: req.Key})
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Admit, Deadline: req.Deadline}})
}

// closeAndRefuse refuses an attempt. "Not run" is said of a request that is not idempotent only when the ledger
// can hold to it.
func (n *Node) closeAndRefuse(ticket Ticket, req core.Request, result core.Result) {
	if !req.Idempotent && !n.ledger.Close(n.now, req, result) {
		result.Outcome = api.OutcomeUnknown
		result.Code = api.CodeRecordsFull
	}
	n.refuse(ticket, result)
}

func (n *Node) refuse(ticket Ticket, result core.Result) {
	n.count(result.Outcome)
	n.do(Decide{Ticket: ticket, Decision: n.refusal(result)})
}

func (n *Node) refusal(result core.Result) Decision {
	return Decision{Kind: Refuse, Result: result, Alternatives: n.alternatives()}
}

func (n *Node) workOf(req *core.Request) core.Work {
	work := core.Work{Class: document.ClassService, PrefillTokens: req.PromptTokens, AnswerTokens: req.AnswerTokens}
	if !n.isService(req.Model) {
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

func (n *Node) bodyEnded(in BodyEnded) {
	rec := n.active[in.Key]
	if rec == nil || rec.State != ledger.Receiving {
		return
	}
	if in.Fault != "" {
		n.finish(rec, core.Result{Outcome: api.OutcomeNotRun, Code: in.Fault, Message: "the body did not arrive whole"})
		return
	}
	n.ledger.Queue(rec)
	n.queue.Push(rec)
	n.pump()
}

// pump hands waiting requests to targets, in order of service, as far as there is room.
func (n *Node) pump() {
	if n.catchingUp() {
		return
	}
	n.queue.Each(func(rec *ledger.Record) (take, more bool) {
		return n.dispatch(rec), true
	})
}

func (n *Node) dispatch(rec *ledger.Record) bool {
	if !n.ledger.MayDispatch(n.now, rec) {
		return false
	}
	if n.needsGroup(&rec.Request) {
		return n.dispatchGroup(rec)
	}
	t := n.router.Pick(n.now, rec, n.targets.All())
	if t == nil {
		return false
	}
	number := n.ledger.Dispatch(n.now, rec, t.Address)
	t.Begin(target.Dispatch{Key: rec.Request.Key, Number: number}, rec.Work.PrefillTokens)
	n.do(StartDispatch{
		Key:      rec.Request.Key,
		Dispatch: number,
		Target:   t.Address,
		Role:     t.Role,
		Stream:   n.streamOf(rec, number),
		Priority: priority(rec.Work.Class),
		Deadline: rec.Request.Deadline,
		Request:  rec.Request,
		Work:     rec.Work,
	})
	return true
}

func (n *Node) streamOf(rec *ledger.Record, number uint32) core.Stream {
	return core.Stream{
		Home:     n.opts.Self,
		Budget:   rec.Request.Deadline - rec.Timing.Admitted,
		Key:      rec.Request.Key,
		Dispatch: number,
	}
}

// priority is the engine's priority of a class; higher goes first.
func priority(c document.Class) int {
	switch c {
	case document.ClassShort:
		return 2
	case document.ClassMiddle:
		return 1
	}
	return 0
}

func (n *Node) firstToken(in DispatchFirstToken) {
	rec := n.active[in.Key]
	if rec == nil || rec.Dispatches != in.Dispatch || rec.Timing.FirstToken != 0 {
		return
	}
	rec.Timing.FirstToken = n.now
	if t := n.targets.Get(rec.Target); t != nil {
		t.Prefilled(target.Dispatch{Key: in.Key, Number: in.Dispatch})
	}
}

func (n *Node) dispatchEnded(in DispatchEnded) {
	n.releaseTarget(in)
	n.endDispatchGroup(in.Key, in.Dispatch)
	rec := n.active[in.Key]
	if rec == nil || rec.State != ledger.Dispatched || rec.Dispatches != in.Dispatch {
		return
	}
	n.judgeEnding(rec, in)
	n.pump()
}

// releaseTarget accounts for the end of a dispatch at its target, whatever became of the request meanwhile.
func (n *Node) releaseTarget(in DispatchEnded) {
	t := n.targets.Get(in.Target)
	if t == nil {
		return
	}
	t.End(target.Dispatch{Key: in.Key, Number: in.Dispatch})
	switch in.Ending {
	case EndedDone:
		t.Answered()
	case EndedNotWritten, EndedLost:
		t.Failed(n.now)
	}
}

// judgeEnding decides what a dispatch's end means for its request: the end of it, or another target.
func (n *Node) judgeEnding(rec *ledger.Record, in DispatchEnded) {
	switch in.Ending {
	case EndedDone:
		n.finish(rec, core.Result{Outcome: api.OutcomeDone})
	case EndedNotWritten, EndedRefused:
		n.ledger.NeverReached(rec)
		n.retry(rec, core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeTargetRefused, Message: in.Message})
	case EndedFailed:
		n.judgeFailed(rec, in)
	case EndedLost:
		n.judgeLost(rec, in)
	}
}

func (n *Node) judgeLost(rec *ledger.Record, in DispatchEnded) {
	if !rec.Request.Idempotent {
		n.finish(rec, core.Result{Outcome: api.OutcomeUnknown, Code: api.CodeTargetLost, Message: in.Message})
		return
	}
	n.ledger.Requeue(rec)
	n.retry(rec, core.Result{Outcome: api.OutcomeFailed, Code: api.CodeTargetLost, Message: in.Message})
}

// judgeFailed ends a request that its target failed; one that is idempotent is tried at another target first.
func (n *Node) judgeFailed(rec *ledger.Record, in DispatchEnded) {
	result := core.Result{Outcome: api.OutcomeFailed, Code: api.CodeTargetFailed, Message: in.Message}
	if !rec.Request.Idempotent {
		n.finish(rec, result)
		return
	}
	n.ledger.Requeue(rec)
	n.retry(rec, result)
}

// retry puts a request back into the queue, or ends it with the result, at once, when the retry budget is used up.
func (n *Node) retry(rec *ledger.Record, otherwise core.Result) {
	if !n.retries.Spend() {
		otherwise.RetryAfter = n.retryAfter(afterOverload)
		n.finish(rec, otherwise)
		return
	}
	rec.Timing.FirstToken = 0
	n.queue.Push(rec)
}

// finish gives a request its final result and frees what it held.
func (n *Node) finish(rec *ledger.Record, result core.Result) {
	if !n.ledger.Finish(n.now, rec, result) {
		return
	}
	key := rec.Request.Key
	delete(n.active, key)
	n.queue.Remove(key)
	n.endGroup(key)
	n.bodyBytes -= rec.Request.BodyBytes
	if result.Outcome == api.OutcomeNotRun {
		n.refund(rec)
	}
	n.count(result.Outcome)
	n.do(Finish{Key: key, Result: result, Timing: rec.Timing, Target: rec.Target, Work: rec.Work})
}

func (n *Node) count(o api.Outcome) { n.outcomes[o]++ }

// expireDeadlines ends every request whose time is over, at once.
func (n *Node) expireDeadlines() {
	var late []*ledger.Record
	for _, rec := range n.active {
		if n.now >= rec.Request.Deadline {
			late = append(late, rec)
		}
	}
	slices.SortFunc(late, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range late {
		n.giveUp(rec, api.CodeDeadline, "the deadline has passed")
	}
}

// giveUp ends a request that has no whole answer, with the outcome that is certain.
func (n *Node) giveUp(rec *ledger.Record, code api.Code, message string) {
	if rec.State == ledger.Dispatched {
		n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.Dispatches})
	}
	n.finish(rec, core.Result{Outcome: certainOutcome(rec), Code: code, Message: message})
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

func (n *Node) cancel(in Cancel) {
	if decision, elsewhere := n.decideHome(&in.Request); elsewhere {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	rec := n.ledger.Get(in.Request.Key)
	if rec == nil {
		n.do(Decide{Ticket: in.Ticket, Decision: Decision{Kind: Report, Result: notFound}})
		return
	}
	if rec.State != ledger.Finished {
		n.giveUp(rec, api.CodeCanceled, "canceled by the caller")
	}
	n.report(in.Ticket, rec)
}

var notFound = core.Result{Outcome: api.OutcomeFailed, Code: api.CodeNotFound, Message: "no record of this request"}

func (n *Node) report(ticket Ticket, rec *ledger.Record) {
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Report, Result: rec.Result, Target: rec.Target}})
}

// query reports a request's outcome. For one that is not idempotent and that its home has no record of, the
// answer closes the identifier first, so that "not run" stays true.
func (n *Node) query(in Query) {
	req := in.Request
	if decision, elsewhere := n.decideHome(&req); elsewhere {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	if rec := n.ledger.Get(req.Key); rec != nil {
		n.report(in.Ticket, rec)
		return
	}
	if req.Idempotent {
		n.do(Decide{Ticket: in.Ticket, Decision: Decision{Kind: Report, Result: notFound}})
		return
	}
	n.do(Decide{Ticket: in.Ticket, Decision: Decision{Kind: Report, Result: n.closeUnseen(req)}})
}

func (n *Node) closeUnseen(req core.Request) core.Result {
	if req.Deadline <= 0 || n.now >= req.Deadline+ledger.Retention {
		return ledger.Expired(false)
	}
	result := core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeClosed, Message: "never admitted; closed by this query"}
	req.Attempt = allAttempts
	if !n.ledger.Close(n.now, req, result) {
		return ledger.Expired(false)
	}
	return result
}

// allAttempts closes an identifier for good.
const allAttempts = ^uint32(0)

// retryAfter is a time to come back with jitter, between half and one and a half of the base.
func (n *Node) retryAfter(base time.Duration) time.Duration {
	return base/2 + time.Duration(n.rng.Int64N(int64(base)))
}
