// Package ledger keeps one record for each request that this host has admitted or closed. It decides whether a submit
// is new, joins an earlier one or must be refused, and it alone tracks whether a target may have executed a request.
//
// Invariants:
//   - A record is kept for as long as a copy of a submit, with its deadline, could still be accepted, so a key that was
//     executed is not taken for a new one. Only routed requests are forgotten earlier: each gets a key of its own. A copy
//     of an idempotent submit that gets a new deadline at each arrival may run again after the record has expired.
//   - No record is evicted early: when the ledger is full, admission is refused.
//   - A request that is not idempotent and that a target may have executed is never dispatched again.
//   - An attempt that was answered "not run" stays closed, also one that had joined a record: a copy of it that arrives
//     later is refused, or joins the record of a later attempt. Not closed are idempotent and routed requests that were
//     refused before admission.
//   - No caller can make a record last longer than MaxBudget and Retention from the last submit of its key.
package ledger

import (
	"container/heap"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/target"
)

// State is the stage of a request's life cycle.
type State int

// The states, in order. A request that is retried goes from Dispatched back to Queued.
const (
	// Receiving: the body has not arrived yet.
	Receiving State = iota
	// Queued: the request waits for a target.
	Queued
	// Dispatched: the request is at a target.
	Dispatched
	// Finished: the request has its final result.
	Finished
)

// Record is the state of one request.
type Record struct {
	Request core.Request
	Work    core.Work
	State   State
	Result  core.Result
	Timing  core.Timing
	// LastDispatch is the number of the last dispatch, from 1, which is part of its stream's name; 0 before the first one. It
	// continues the numbers of the closed record that this one replaced, if any.
	LastDispatch uint32
	// Target is the address of the last target; empty before the first dispatch of this record. Process is the process that the
	// host list had there at the dispatch.
	Target  string
	Process target.Process
	// MayHaveRun is set while a target may have executed the request: it is set by each dispatch, and UndoDispatch resets it
	// if no earlier dispatch may have been executed.
	MayHaveRun bool
	// Begun is set once the caller of a routed request may have received a part of a streamed answer. Such a request can't be
	// refused any more: an end without the rest of its answer cuts its caller off.
	Begun bool
	// DeadlineAborted is set when the last dispatch was aborted just before the deadline (later if the process was
	// suspended), so that its end shows in time whether it was written. The next dispatch clears it.
	DeadlineAborted bool
	// Revision is the configuration revision under which the request was admitted.
	Revision uint64
	// SlowdownWeight is the weight, 0 to 1, that the revision gives the time of a short answer after its first token; its
	// time to first token has weight 1.
	SlowdownWeight float64
	// BodyAttempt is the last attempt that was asked for its body. A whole body of an earlier one counts too, but only a
	// failure of this one ends the request.
	BodyAttempt uint32
	// BodyCount is the number of attempts that were asked for their body.
	BodyCount int64
	// FirstTokenTarget is the objective for the time to first token, whatever the length of the prompt: that of the route
	// of a routed request, that of the preset for any other.
	FirstTokenTarget time.Duration
	// mayHaveRunBefore is set if a dispatch before the last one may have been executed.
	mayHaveRunBefore bool
	// highestAttempt is the highest attempt submitted under the key since the record was made, even a refused one.
	highestAttempt uint32
	// WaitingSince is when the request last began to wait for a target. WaitLimit is how long a routed request may wait from
	// then on.
	WaitingSince core.Time
	WaitLimit    time.Duration
	// Obstacle is the reason why the request could not be dispatched when this was last tried.
	Obstacle core.Obstacle
	// Executions counts the dispatches that may have been executed, Refusals those that UndoDispatch has undone.
	Executions int
	Refusals   int
	// ZoneDraw decides whether the request may leave its availability zone: a random number above 0 and up to 1, drawn when
	// this is first asked; 0 before. LeftFor is the zone to which the draw sent it when it was last placed; empty for none.
	ZoneDraw float64
	LeftFor  string
	// Yields is set for a middle request whose team dominates the backlog: at engines it yields to those of other teams.
	Yields bool
	// Probe is set if the request was let through although its prompt is withheld, to see whether it still ends targets.
	Probe bool
	// Tried are the processes of earlier dispatches that were retried or redispatched. Helpers are the prefill helpers of the
	// current dispatch: engines that each prefill a part of the prompt; none after the first token.
	Tried   []target.Process
	Helpers []string
	// closedThrough is the highest attempt closed by an answer "not run" or by CloseAll; 0 for none. While the record is
	// closed, that one and all lower ones are refused.
	closedThrough uint32
	// expires is when the record may be dropped; heapIndex is its place in the expiry heap.
	expires   core.Time
	heapIndex int
}

// Verdict is the ledger's decision on a submit.
type Verdict int

// The verdicts.
const (
	// New: no record prevents a run; the request may be admitted or closed.
	New Verdict = iota
	// Join: the request is here already, in any state.
	Join
	// Refuse: the attempt is closed, expired or without a deadline, or it contradicts the record.
	Refuse
)

// Retention is how long a record is kept after the request's deadline. A copy of a submit that arrives even later can't
// be told from one whose record was dropped, and is refused as expired.
const Retention = 60 * time.Second

// MaxBudget is the longest time budget of a request. For a record's expiry, a deadline further away counts as this far.
const MaxBudget = time.Hour

// AllAttempts is the attempt number that closes a key for all attempts.
const AllAttempts = ^uint32(0)

// DispatchCutoff is how long before its deadline a request that is not idempotent is no longer dispatched. The end of a
// dispatch must be received before the deadline for the host to know whether the request was written to the target. After
// a dispatch that ended without a whole answer, no request of either kind is retried within this time, except after a
// failed adoption.
const DispatchCutoff = 50 * time.Millisecond

// expiry returns the time from which the record of a submit that arrives now may be dropped.
func expiry(now core.Time, req *core.Request) core.Time {
	return min(req.Deadline, now+MaxBudget) + Retention
}

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	limit    int
	records  map[core.Key]*Record
	byExpiry expiryHeap
}

// NewLedger returns a ledger for at most limit records.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: limit, records: make(map[core.Key]*Record)}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Full reports whether the ledger has no room for another record.
func (l *Ledger) Full() bool { return len(l.records) >= l.limit }

// Get returns the record of a key, or nil.
func (l *Ledger) Get(key core.Key) *Record { return l.records[key] }

// Classify decides on a submit. An idempotent one must have its Deadline set; any other without one is refused unless it
// joins a record. Classify changes nothing. The result is final for Refuse and the record's current one for Join.
func (l *Ledger) Classify(now core.Time, req *core.Request) (Verdict, core.Result) {
	rec := l.records[req.Key]
	if rec == nil {
		return l.classifyNew(now, req)
	}
	if rec.isClosed() {
		return classifyClosed(now, rec, req)
	}
	if !rec.Request.SameBody(req) {
		return Refuse, core.Result{
			Outcome: api.OutcomeNotRun,
			Code:    api.CodeConflict,
			Message: "another request was submitted under this identifier",
		}
	}
	return Join, rec.Result
}

// classifyNew classifies a submit whose key has no record. Once Retention has passed since its deadline, a record may
// have existed, so the outcome is not certain.
func (l *Ledger) classifyNew(now core.Time, req *core.Request) (Verdict, core.Result) {
	if now < req.Deadline {
		return New, core.Result{}
	}
	if req.Deadline <= 0 {
		return Refuse, noDeadline(req)
	}
	result := core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeDeadline, Message: "the deadline has passed"}
	if now >= req.Deadline+Retention {
		result = Expired(req.Idempotent)
	}
	return Refuse, result
}

// noDeadline is the result of a submit without a deadline, which can't be told from a late copy. Only for a first
// attempt is it certain that none ran before.
func noDeadline(req *core.Request) core.Result {
	result := core.Result{
		Outcome: api.OutcomeUnknown,
		Code:    api.CodeMalformed,
		Message: "a request that is not idempotent must name its deadline",
	}
	if req.Attempt == 1 {
		result.Outcome = api.OutcomeNotRun
	}
	return result
}

// Expired returns the result for a key whose record may have been dropped.
func Expired(idempotent bool) core.Result {
	result := core.Result{
		Outcome: api.OutcomeUnknown,
		Code:    api.CodeRecordExpired,
		Message: "records of that time are no longer kept",
	}
	if idempotent {
		result.Outcome = api.OutcomeFailed
	}
	return result
}

// classifyClosed classifies a submit whose key has a closed record.
func classifyClosed(now core.Time, rec *Record, req *core.Request) (Verdict, core.Result) {
	if req.Attempt <= rec.closedThrough {
		return Refuse, core.Result{
			Outcome: api.OutcomeNotRun,
			Code:    api.CodeClosed,
			Message: "this attempt was answered before and stays closed",
		}
	}
	if now >= req.Deadline {
		return Refuse, core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeDeadline, Message: "the deadline has passed"}
	}
	return New, core.Result{}
}

// isClosed reports whether the record exists only to remember attempts that were answered "not run".
func (r *Record) isClosed() bool { return r.State == Finished && r.Result.Outcome == api.OutcomeNotRun }

// Join records another submit of the record's key, even one that is refused, and keeps the record for as long as that
// submit needs.
func (l *Ledger) Join(now core.Time, rec *Record, req *core.Request) {
	rec.highestAttempt = max(rec.highestAttempt, req.Attempt)
	if extended := expiry(now, req); extended > rec.expires {
		rec.expires = extended
		heap.Fix(&l.byExpiry, rec.heapIndex)
	}
}

// CloseAll closes all attempts of a record that ended without a run; other records stay as they are.
func (l *Ledger) CloseAll(rec *Record) {
	if rec.isClosed() {
		rec.closedThrough = AllAttempts
	}
}

// Admit adds a record for a request that was classified as New.
func (l *Ledger) Admit(now core.Time, req core.Request, work core.Work, revision uint64) *Record {
	closed, lastDispatch := uint32(0), uint32(0)
	if old := l.records[req.Key]; old != nil {
		// Dispatch numbers continue, so that late events of the old record's dispatches do not match new ones.
		closed, lastDispatch = old.closedThrough, old.LastDispatch
		l.remove(old)
	}
	rec := &Record{
		Request:        req,
		Work:           work,
		State:          Receiving,
		Result:         core.Result{Outcome: api.OutcomePending},
		Timing:         core.Timing{Admitted: now},
		LastDispatch:   lastDispatch,
		Revision:       revision,
		BodyAttempt:    req.Attempt,
		BodyCount:      1,
		highestAttempt: req.Attempt,
		closedThrough:  closed,
		expires:        expiry(now, &req),
	}
	l.insert(rec)
	return rec
}

// Close records that an attempt was answered "not run". It reports false if that can't be promised, because the ledger
// is full or because the request is here and may run or have run; the answer must then not be "not run".
func (l *Ledger) Close(now core.Time, req core.Request, result core.Result) bool {
	if rec := l.records[req.Key]; rec != nil {
		if !rec.isClosed() {
			return false
		}
		rec.closedThrough = max(rec.closedThrough, req.Attempt)
		l.Join(now, rec, &req)
		return true
	}
	if l.Full() {
		return false
	}
	rec := &Record{
		Request:        req,
		State:          Finished,
		Result:         result,
		Timing:         core.Timing{Finished: now},
		highestAttempt: req.Attempt,
		closedThrough:  req.Attempt,
		expires:        expiry(now, &req),
	}
	l.insert(rec)
	return true
}

// AwaitBody records that a later attempt is asked for its body, since no earlier one has delivered it.
func (l *Ledger) AwaitBody(rec *Record, attempt uint32) {
	rec.BodyAttempt = attempt
	rec.BodyCount++
}

// MarkQueued records that the body is complete and the request waits for a target. The caller puts it into the queue.
func (l *Ledger) MarkQueued(rec *Record) { rec.State = Queued }

// Dispatch records that the request is sent to a target and returns the dispatch's number. The caller must have checked
// MayDispatch.
func (l *Ledger) Dispatch(now core.Time, rec *Record, p target.Process) uint32 {
	rec.State = Dispatched
	rec.LastDispatch++
	rec.Target = p.Address
	rec.Process = p
	rec.Executions++
	rec.mayHaveRunBefore = rec.MayHaveRun
	rec.MayHaveRun = true
	rec.DeadlineAborted = false
	rec.Timing.Dispatched = now
	return rec.LastDispatch
}

// MayDispatch reports whether the record may be sent to a target now.
func (l *Ledger) MayDispatch(now core.Time, rec *Record) bool {
	if rec.State != Queued {
		return false
	}
	if rec.Request.Idempotent {
		return now < rec.Request.Deadline
	}
	return now+DispatchCutoff < rec.Request.Deadline && !rec.MayHaveRun
}

// UndoDispatch undoes a dispatch that was certainly not executed, because not a byte was written or the target refused it.
// The record waits for a target again; the caller puts it into the queue or finishes it.
func (l *Ledger) UndoDispatch(rec *Record) {
	rec.State = Queued
	rec.MayHaveRun = rec.mayHaveRunBefore
	rec.Executions--
	rec.Refusals++
}

// Forget drops a finished record before it expires: that of a routed request, whose key no later submit or query has.
func (l *Ledger) Forget(rec *Record) {
	if rec.State == Finished {
		l.remove(rec)
	}
}

// Requeue records that an idempotent request waits for a target again. The caller puts it into the queue or finishes it.
func (l *Ledger) Requeue(rec *Record) { rec.State = Queued }

// Finish sets the record's final result. It reports false, and changes nothing, if the record has one already.
func (l *Ledger) Finish(now core.Time, rec *Record, result core.Result) bool {
	if rec.State == Finished {
		return false
	}
	rec.State = Finished
	rec.Result = result
	rec.Timing.Finished = now
	if result.Outcome == api.OutcomeNotRun {
		rec.closedThrough = max(rec.closedThrough, rec.highestAttempt)
	}
	return true
}

// Expire drops the finished records that have expired and calls dropped for each. A record that is not finished is kept
// for another Retention.
func (l *Ledger) Expire(now core.Time, dropped func(*Record)) {
	for len(l.byExpiry) > 0 && l.byExpiry[0].expires <= now {
		rec := l.byExpiry[0]
		if rec.State != Finished {
			rec.expires = now + Retention
			heap.Fix(&l.byExpiry, 0)
			continue
		}
		l.remove(rec)
		dropped(rec)
	}
}

// Each calls f for every record, in no particular order. f must not change the ledger.
func (l *Ledger) Each(f func(*Record)) {
	for _, rec := range l.records {
		f(rec)
	}
}

func (l *Ledger) insert(rec *Record) {
	l.records[rec.Request.Key] = rec
	heap.Push(&l.byExpiry, rec)
}

func (l *Ledger) remove(rec *Record) {
	delete(l.records, rec.Request.Key)
	heap.Remove(&l.byExpiry, rec.heapIndex)
}

// expiryHeap orders records by expires.
type expiryHeap []*Record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	rec := x.(*Record)
	rec.heapIndex = len(*h)
	*h = append(*h, rec)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	rec := old[len(old)-1]
	*h = old[:len(old)-1]
	return rec
}
