package node

import (
	"slices"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
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
	rec := n.ledger.Get(req.Key)
	if rec != nil {
		n.ledger.Join(n.now, rec, &req)
	}
	switch verdict {
	case ledger.Join:
		n.do(Decide{Ticket: in.Ticket, Decision: n.join(rec, &req)})
	case ledger.Refuse:
		n.refuse(in.Ticket, req.Team, result)
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
	rec.SlowdownWeight = float64(preset.ProtectShortPercent) / percent
	rec.FirstTokenTarget = time.Duration(preset.FirstTokenTargetMs) * time.Millisecond
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
	n.refuse(ticket, req.Team, result)
}

func (n *Node) refuse(ticket Ticket, team string, result core.Result) {
	n.count(result.Outcome)
	decision := n.refusal(result)
	if result.Code == api.CodeNotServed {
		decision.Alternatives = n.directory.referrals(team)
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
		PrefillWork:   target.PrefillWork(0, req.PromptTokens),
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
	n.queue.Push(rec)
	n.pump()
}

// pump hands waiting requests to targets, in order of service, as far as there is room.
func (n *Node) pump() {
	if n.catchingUp() {
		return
	}
	n.router.GroupsWait(n.groupsWait())
	n.queue.Each(n.now, n.dispatch)
}

func (n *Node) dispatch(rec *ledger.Record) bool {
	if !n.ledger.MayDispatch(n.now, rec) {
		return false
	}
	if rec.Work.Group {
		return n.dispatchGroup(rec)
	}
	if n.adopts(rec) {
		return n.dispatchAdopted(rec)
	}
	t := n.router.Pick(n.now, rec, n.targets.All())
	if t == nil {
		return false
	}
	if n.tooLate(rec, t) {
		return true
	}
	n.do(n.begin(rec, t, jobOf(rec, t)))
	return true
}

// begin accounts for a dispatch at its target and returns the order for it.
func (n *Node) begin(rec *ledger.Record, t *target.Target, job target.Job) StartDispatch {
	number := n.ledger.Dispatch(n.now, rec, t.Address)
	t.Begin(n.now, target.Dispatch{Key: rec.Request.Key, Number: number}, job)
	return StartDispatch{
		Key:      rec.Request.Key,
		Dispatch: number,
		Target:   t.Address,
		Role:     t.Role,
		Stream:   n.streamOf(rec, number),
		Priority: job.Priority,
		Deadline: rec.Request.Deadline,
		Request:  rec.Request,
		Work:     rec.Work,
	}
}

func (n *Node) streamOf(rec *ledger.Record, number uint32) core.Stream {
	return core.Stream{
		Home:     n.opts.Self,
		Budget:   rec.Request.Deadline - rec.Timing.Admitted,
		Key:      rec.Request.Key,
		Dispatch: number,
	}
}

// jobOf is what a dispatch of the record brings to a target.
func jobOf(rec *ledger.Record, t *target.Target) target.Job {
	return target.Job{
		Priority: route.Priority(rec.Work.Class),
		Work:     route.UncachedWork(rec, t),
		Memory:   memoryNeed(&rec.Request),
		Deep:     route.IsDeep(rec),
	}
}

// percent is the whole in percentages.
const percent = 100

func (n *Node) firstToken(in DispatchFirstToken) {
	rec := n.active[in.Key]
	if rec == nil || rec.Dispatches != in.Dispatch || rec.Timing.FirstToken != 0 {
		return
	}
	rec.Timing.FirstToken = n.now
	n.groupPrefilled(in.Key)
	if t := n.targets.Get(rec.Target); t != nil {
		t.Prefilled(n.now, target.Dispatch{Key: in.Key, Number: in.Dispatch})
		if rec.Request.Prefix != "" && !rec.Work.Group {
			t.HearCache(target.CacheEvent{Prefix: rec.Request.Prefix, Tokens: rec.Request.PrefixTokens})
		}
	}
}

func (n *Node) dispatchEnded(in DispatchEnded) {
	n.releaseTarget(in)
	n.endDispatchGroup(in.Key, in.Dispatch)
	if !n.awaits(in) {
		return
	}
	rec := n.active[in.Key]
	if !n.adoptionFailed(rec, in) {
		n.judgeEnding(rec, in)
	}
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
		n.sampleGap(t, in)
	case EndedRefused:
		t.Refused(n.now)
	case EndedNotWritten, EndedLost:
		if n.awaits(in) && !n.active[in.Key].Aborted {
			t.Failed(n.now)
		}
	}
}

// awaits tells whether the request still waits for this dispatch; one that was aborted says nothing of its target.
func (n *Node) awaits(in DispatchEnded) bool {
	rec := n.active[in.Key]
	return rec != nil && rec.State == ledger.Dispatched && rec.Dispatches == in.Dispatch
}

// sampleGap measures the time between tokens by an answer that is whole.
func (n *Node) sampleGap(t *target.Target, in DispatchEnded) {
	if rec := n.active[in.Key]; n.awaits(in) && rec.Timing.FirstToken != 0 {
		t.SampleGap(rec.Work.AnswerTokens, n.now-rec.Timing.FirstToken)
	}
}

// judgeEnding decides what a dispatch's end means for its request: the end of it, or another target.
func (n *Node) judgeEnding(rec *ledger.Record, in DispatchEnded) {
	switch in.Ending {
	case EndedDone:
		n.finish(rec, core.Result{Outcome: api.OutcomeDone})
	case EndedNotWritten, EndedRefused:
		n.ledger.NeverReached(rec)
		n.judgeUntaken(rec, in)
	case EndedFailed:
		n.judgeFailed(rec, in)
	case EndedLost:
		n.judgeLost(rec, in)
	}
}

// judgeUntaken goes on with a request that the target did not take. An earlier dispatch of it may have run.
func (n *Node) judgeUntaken(rec *ledger.Record, in DispatchEnded) {
	if rec.Aborted {
		n.finish(rec, pastDeadline(rec))
		return
	}
	n.retry(rec, core.Result{Outcome: certainOutcome(rec), Code: api.CodeTargetRefused, Message: in.Message})
}

func (n *Node) judgeLost(rec *ledger.Record, in DispatchEnded) {
	switch {
	case rec.Request.Idempotent:
		n.ledger.Requeue(rec)
		n.retry(rec, core.Result{Outcome: api.OutcomeFailed, Code: api.CodeTargetLost, Message: in.Message})
	case rec.Aborted:
		n.finish(rec, pastDeadline(rec))
	default:
		n.finish(rec, core.Result{Outcome: certainOutcome(rec), Code: api.CodeTargetLost, Message: in.Message})
	}
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

// pastDeadline is the result of a request whose time is over.
func pastDeadline(rec *ledger.Record) core.Result {
	return core.Result{Outcome: certainOutcome(rec), Code: api.CodeDeadline, Message: "the deadline has passed"}
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
	n.bodyBytes -= rec.Request.BodyBytes * rec.Bodies
	if result.Outcome == api.OutcomeNotRun {
		n.refund(rec)
	}
	n.count(result.Outcome)
	n.do(Finish{Key: key, Result: result, Timing: rec.Timing, Target: rec.Target, Work: rec.Work})
}

func (n *Node) count(o api.Outcome) { n.outcomes[o]++ }

// expireDeadlines ends every request whose time is over, at once. A dispatch of which only its last word can tell
// whether it was written is told to end a tick earlier, or by a process that woke late, a tick before its request.
func (n *Node) expireDeadlines() {
	var late []*ledger.Record
	for _, rec := range n.active {
		if n.now+ledger.LastMoment >= rec.Request.Deadline {
			late = append(late, rec)
		}
	}
	slices.SortFunc(late, func(a, b *ledger.Record) int { return a.Request.Compare(b.Request.Key) })
	for _, rec := range late {
		switch {
		case rec.State == ledger.Dispatched && !rec.Aborted && certainOutcome(rec) == api.OutcomeUnknown:
			rec.Aborted = true
			n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.Dispatches})
		case n.now >= rec.Request.Deadline:
			n.abort(rec)
			n.finish(rec, pastDeadline(rec))
		}
	}
}

func (n *Node) abort(rec *ledger.Record) {
	if rec.State == ledger.Dispatched {
		n.do(AbortDispatch{Key: rec.Request.Key, Dispatch: rec.Dispatches})
	}
}

// giveUp ends a request that has no whole answer, with the outcome that is certain.
func (n *Node) giveUp(rec *ledger.Record, code api.Code, message string) {
	n.abort(rec)
	result := core.Result{Outcome: certainOutcome(rec), Code: code, Message: message}
	if code == api.CodeDeadline {
		result.RetryAfter = n.retryAfter(afterOverload)
	}
	n.finish(rec, result)
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

// cancel ends a request early. One that has not arrived yet is closed, so that it does not run afterwards.
func (n *Node) cancel(in Cancel) {
	if decision, elsewhere := n.decideAsked(&in.Request); elsewhere {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	rec := n.ledger.Get(in.Request.Key)
	if rec == nil {
		n.reportResult(in.Ticket, n.unseen(in.Request, api.CodeCanceled))
		return
	}
	if rec.State != ledger.Finished {
		n.giveUp(rec, api.CodeCanceled, "canceled by the caller")
	}
	n.ledger.CloseAll(rec)
	n.report(in.Ticket, rec)
}

func (n *Node) report(ticket Ticket, rec *ledger.Record) {
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Report, Result: rec.Result, Target: rec.Target}})
}

func (n *Node) reportResult(ticket Ticket, result core.Result) {
	n.do(Decide{Ticket: ticket, Decision: Decision{Kind: Report, Result: result}})
}

// query reports a request's outcome. "Not run" closes the identifier first, so that it stays true.
func (n *Node) query(in Query) {
	if decision, elsewhere := n.decideAsked(&in.Request); elsewhere {
		n.do(Decide{Ticket: in.Ticket, Decision: decision})
		return
	}
	rec := n.ledger.Get(in.Request.Key)
	if rec == nil {
		n.reportResult(in.Ticket, n.unseen(in.Request, api.CodeClosed))
		return
	}
	n.ledger.CloseAll(rec)
	n.report(in.Ticket, rec)
}

// unseen is the answer about a request without a record. One that is not idempotent is closed with the code, as
// long as its record can't have been dropped.
func (n *Node) unseen(req core.Request, code api.Code) core.Result {
	if req.Idempotent {
		return core.Result{Outcome: api.OutcomeFailed, Code: api.CodeNotFound, Message: "no record of this request"}
	}
	if req.Deadline <= 0 || n.now >= req.Deadline+ledger.Retention {
		return ledger.Expired(false)
	}
	result := core.Result{Outcome: api.OutcomeNotRun, Code: code, Message: "never admitted here, and closed now"}
	req.Attempt = ledger.AllAttempts
	if !n.ledger.Close(n.now, req, result) {
		return core.Result{Outcome: api.OutcomeUnknown, Code: api.CodeRecordsFull, Message: "no room to close the identifier"}
	}
	return result
}

// retryAfter is a time to come back with jitter, between half and one and a half of the base.
func (n *Node) retryAfter(base time.Duration) time.Duration {
	return base/2 + time.Duration(n.rng.Int64N(int64(base)))
}
