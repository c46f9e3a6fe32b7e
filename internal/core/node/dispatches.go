package node

import (
	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
)

// dispatch tries to place a waiting request; it reports whether the request leaves the queue.
func (n *Node) dispatch(rec *ledger.Record) bool {
	if !n.ledger.MayDispatch(n.now, rec) {
		return false
	}
	if n.withholds(&rec.Request) != nil {
		n.coveredWaits = true
		return false
	}
	if n.mustPace(rec) {
		rec.Obstacle = core.ObstaclePacing
		return false
	}
	if rec.Work.Group {
		return n.dispatchGroup(rec)
	}
	if n.adopts(rec) {
		return n.dispatchAdopted(rec)
	}
	rec.Yields = n.yields(rec)
	n.router.Refresh(n.targets.LoadChanges())
	place := n.router.Place(n.now, rec, n.targets.All())
	t := place.Target
	if t == nil {
		rec.Obstacle = place.Obstacle
		return false
	}
	if n.giveUpIfLate(rec, t) {
		return true
	}
	if len(place.Helpers) > 0 {
		n.do(n.beginWithHelpers(rec, t, place.Helpers))
		return true
	}
	n.do(n.begin(rec, t, n.jobOf(rec, t)))
	return true
}

// begin records a dispatch in the ledger and in the load of its target, and returns the action that starts it.
func (n *Node) begin(rec *ledger.Record, t *target.Target, job target.Job) StartDispatch {
	basis := n.basisOf(t)
	number := n.ledger.Dispatch(n.now, rec, t.Process())
	d := target.Dispatch{Key: rec.Request.Key, Number: number}
	t.Begin(n.now, d, job)
	t.TakePermit(n.now)
	n.quarantineBegin(rec, t, d)
	n.noteLongPlaced(rec)
	if job.GapSensitive {
		n.shortRate.add(n.now)
	}
	n.countCrossing(rec, t)
	return StartDispatch{
		Key:        rec.Request.Key,
		Dispatch:   number,
		Target:     t.Address,
		Role:       t.Role,
		Stream:     n.streamOf(rec, number),
		Priority:   job.Priority,
		Deadline:   rec.Request.Deadline,
		Request:    rec.Request,
		Work:       rec.Work,
		Instance:   t.Instance,
		Start:      t.Start,
		HealthPath: n.healthPath(t),
		Basis:      basis,
	}
}

// basisOf returns the state that is recorded in the log with a dispatch: the target's load, in which that of the
// request's own group is included already, and, independent of the target, the age of the peers' digests and the
// versions in force.
func (n *Node) basisOf(t *target.Target) Basis {
	load := t.Total()
	return Basis{
		Streams: load.Streams, Pending: load.Ahead(0), Limit: t.Limit(), PeersAge: n.loads.OldestAge(n.now),
		Revision: n.config.Revision(), HostsVersion: n.targets.Version(),
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

// jobOf returns the load that a dispatch of the record adds to a target.
func (n *Node) jobOf(rec *ledger.Record, t *target.Target) target.Job {
	return target.Job{
		Priority:     route.RecordPriority(rec),
		Work:         route.UncachedWork(rec, t),
		Memory:       memoryNeed(&rec.Request),
		LongContext:  n.isLongContext(rec),
		GapSensitive: rec.Work.Class == document.ClassShort,
	}
}

// isLongContext reports whether the prefill of a prompt is long enough to slow the other requests at its engine.
func (n *Node) isLongContext(rec *ledger.Record) bool {
	if rec.Request.Routed != nil {
		return route.IsLong(rec)
	}
	return route.IsLongContext(rec)
}

// percent is 100%, the divisor of percentages.
const percent = 100

func (n *Node) dispatchFirstToken(in DispatchFirstToken) {
	n.noticeReceived(in.ID(), in.Notice)
	rec := n.active[in.Key]
	if rec == nil {
		return
	}
	n.noteBegun(rec)
	if rec.State != ledger.Dispatched || rec.LastDispatch != in.Dispatch || rec.Timing.FirstToken != 0 {
		return
	}
	rec.Timing.FirstToken = n.now
	n.quarantine.FirstEvent(n.now, in.ID())
	n.removeHelperLoad(rec)
	n.groupPrefilled(in.Key)
	if t := n.targets.Get(rec.Target); t != nil && t.Carries(in.ID()) {
		t.Prefilled(n.now, in.ID())
		if rec.Request.Prefix != "" && !rec.Work.Group {
			t.ApplyCacheEvent(target.CacheEvent{Prefix: rec.Request.Prefix, Tokens: rec.Request.PrefixTokens})
		}
	}
}

// noteBegun records that the answer to a request has begun. The event may be of a dispatch that was given up while it was on its way,
// so that the request waits already.
func (n *Node) noteBegun(rec *ledger.Record) {
	if rec.Begun || rec.Request.Routed == nil {
		return
	}
	waits := rec.State == ledger.Queued && n.queue.Remove(rec.Request.Key)
	rec.Begun = true
	if waits {
		n.push(rec)
	}
}

func (n *Node) dispatchEnded(in DispatchEnded) {
	n.noticeReceived(in.ID(), in.Notice)
	n.releaseTarget(in)
	n.releaseDispatchGroup(in.Key, in.Dispatch)
	n.reportStreamRun(in)
	if !n.awaits(in) {
		return
	}
	rec := n.active[in.Key]
	rec.Timing.LongestGap = max(rec.Timing.LongestGap, in.LongestGap)
	began := rec.Timing.FirstToken != 0
	if !n.adoptionFailed(rec, in) {
		n.handleEnding(rec, in)
	}
	if in.Ending != EndedDone {
		n.do(Unanswered{
			Key: in.Key, Dispatch: in.Dispatch, Target: in.Target, Ending: in.Ending, Message: in.Message,
			Requeued: rec.State == ledger.Queued, RetryBudget: n.retries.Balance(),
			Began: began, Parts: rec.Request.Parts, Works: rec.Request.Works,
		})
	}
	n.requestPlacement()
}

// releaseTarget removes an ended dispatch from the load of its target and records what the ending shows of the target or
// of in.Blame. That no answer came counts as the target's failure only if the request awaits this dispatch. The end shows
// nothing of another process that has the address now.
func (n *Node) releaseTarget(in DispatchEnded) {
	blamed, listed := n.blamedPart(in)
	if rec := n.active[in.Key]; rec != nil && rec.LastDispatch == in.Dispatch {
		n.removeHelperLoad(rec)
	}
	t := n.targets.Get(in.Target)
	blameless := n.blameless(in, t)
	n.quarantineEnded(in, blameless)
	if t == nil || !t.Carries(in.ID()) {
		return
	}
	n.releaseLoad(t, in)
	if listed && blamed != t {
		if blamed != nil {
			blamed.Failed(n.now)
		}
		return
	}
	switch in.Ending {
	case EndedDone:
		n.sampleGap(t, in)
	case EndedRefused:
		t.Refused(n.now)
	case EndedNotWritten, EndedLost:
		if !blameless {
			t.Failed(n.now)
		}
	}
}

// blameless reports whether a dispatch ended without an answer for another reason than its target t, which may be nil. One that
// nothing could continue was never sent there.
func (n *Node) blameless(in DispatchEnded, t *target.Target) bool {
	if in.Blame != "" || in.GivenUp || in.Rejected || !n.awaits(in) || in.Unresumable && in.Ending == EndedNotWritten {
		return true
	}
	rec := n.active[in.Key]
	return rec.DeadlineAborted || t != nil && n.outOfTime(rec, t)
}

// releaseLoad removes an ended dispatch from the load of its target, and records that the target answered.
func (n *Node) releaseLoad(t *target.Target, in DispatchEnded) {
	dispatch := in.ID()
	if in.Ending == EndedDone {
		t.Answered(dispatch)
	}
	if in.Ending == EndedNotWritten {
		t.ReturnPermit(n.now)
	}
	t.End(dispatch)
	switch in.Ending {
	case EndedDone, EndedRefused, EndedFailed, EndedUndelivered:
		t.MarkSeen(n.now)
	}
}

// outOfTime reports whether a dispatch ended at or after its request's deadline, with a target that was seen alive since
// the dispatch began.
func (n *Node) outOfTime(rec *ledger.Record, t *target.Target) bool {
	return n.now >= rec.Request.Deadline && t.SeenSince(rec.Timing.Dispatched)
}

// awaits reports whether the request still waits for this dispatch. If not, the dispatch was aborted, and that it ended
// without an answer is no evidence against the target.
func (n *Node) awaits(in DispatchEnded) bool {
	rec := n.active[in.Key]
	return rec != nil && rec.State == ledger.Dispatched && rec.LastDispatch == in.Dispatch
}

// sampleGap updates the inter-token latency of a target from an answer that arrived whole, as if of its declared length.
func (n *Node) sampleGap(t *target.Target, in DispatchEnded) {
	if rec := n.active[in.Key]; n.awaits(in) && rec.Timing.FirstToken != 0 {
		t.AddGapSample(rec.Work.AnswerTokens, n.now-rec.Timing.FirstToken)
	}
}

// handleEnding finishes a request or retries it, depending on how its dispatch ended.
func (n *Node) handleEnding(rec *ledger.Record, in DispatchEnded) {
	if in.Unresumable && in.Ending != EndedDone {
		n.finish(rec, core.Result{Outcome: api.OutcomeFailed, Code: api.CodeTargetLost, Message: in.Message})
		return
	}
	switch in.Ending {
	case EndedDone:
		n.finish(rec, core.Result{Outcome: api.OutcomeDone})
	case EndedNotWritten, EndedRefused:
		n.ledger.UndoDispatch(rec)
		n.handleNotTaken(rec, in)
	case EndedFailed:
		n.handleFailed(rec, in)
	case EndedLost:
		n.handleLost(rec, in)
	case EndedUndelivered:
		n.finish(rec, core.Result{Outcome: api.OutcomeFailed, Code: api.CodeCanceled, Message: in.Message})
	}
}

// handleNotTaken handles a dispatch that was not written or that the target refused. Unless it was aborted before the
// deadline, the request is retried. An earlier dispatch may have executed it, so the outcome is not always "not run".
func (n *Node) handleNotTaken(rec *ledger.Record, in DispatchEnded) {
	if rec.DeadlineAborted {
		n.finish(rec, n.expiredResult(rec))
		return
	}
	n.retry(rec, core.Result{Outcome: outcomeWithoutAnswer(rec), Code: api.CodeTargetRefused, Message: in.Message})
}

// handleLost handles a dispatch that may have been executed but returned no whole answer: it ended as EndedLost, or
// failClaim has aborted it. It reads only Message and Rejected of in, since failClaim sets no Ending. Only an idempotent request is
// retried, and not if a target rejected it or its prompt is suspected of having ended targets.
func (n *Node) handleLost(rec *ledger.Record, in DispatchEnded) {
	switch {
	case rec.Request.Idempotent && !in.Rejected && !n.quarantine.SuspectsPart(rec.Request.Parts):
		n.ledger.Requeue(rec)
		n.retry(rec, core.Result{Outcome: api.OutcomeFailed, Code: api.CodeTargetLost, Message: in.Message})
	case rec.DeadlineAborted:
		n.finish(rec, n.expiredResult(rec))
	default:
		n.finish(rec, core.Result{Outcome: outcomeWithoutAnswer(rec), Code: api.CodeTargetLost, Message: in.Message})
	}
}

// handleFailed handles a dispatch that the target answered with a failure. Only an idempotent request is retried.
func (n *Node) handleFailed(rec *ledger.Record, in DispatchEnded) {
	result := core.Result{Outcome: api.OutcomeFailed, Code: api.CodeTargetFailed, Message: in.Message}
	if !rec.Request.Idempotent {
		n.finish(rec, result)
		return
	}
	n.ledger.Requeue(rec)
	n.retry(rec, result)
}

// retry puts a request back into the queue. It finishes the request instead when its deadline is too close or, with
// the fallback result, when its dispatch limit is reached or the retry budget is used up.
func (n *Node) retry(rec *ledger.Record, fallback core.Result) {
	rec.Tried = append(rec.Tried, rec.Process)
	if n.now+ledger.DispatchCutoff >= n.endOf(rec) {
		n.finish(rec, n.expiredResult(rec))
		return
	}
	if n.dispatchLimitReached(rec) || !n.retries.Spend() {
		fallback.RetryAfter = n.retryAfter(overloadRetryAfter)
		n.finish(rec, fallback)
		return
	}
	rec.Timing.FirstToken = 0
	n.enqueue(rec)
}
