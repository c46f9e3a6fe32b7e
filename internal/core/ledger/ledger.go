// Package ledger keeps one record for each request that this host has admitted or closed. It decides whether a
// submit is new, joins an earlier one, or must be refused, and it is the only place that knows whether a byte of a
// request may have reached a target.
//
// Invariants:
//   - A record outlives every instant at which a submit of its key could still be accepted, so a key that was
//     executed is never taken for a new one.
//   - No record is evicted early: when the ledger is full, admission is refused.
//   - A request that is not idempotent and that may have reached a target is never handed out for dispatch again.
//   - An attempt that was answered "not run" stays closed: a copy of it that arrives later is refused. This holds for
//     attempts that joined a record too.
//   - No caller can make a record last longer than MaxBudget and Retention from the last submit of its key.
package ledger

import (
	"container/heap"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
)

// State is a record's place in the life of its request.
type State int

// The states, in order.
const (
	// Receiving waits for the body.
	Receiving State = iota
	// Queued waits for a target.
	Queued
	// Dispatched is at a target.
	Dispatched
	// Finished has its final result.
	Finished
)

// Record is what the host knows of one request.
type Record struct {
	Request core.Request
	Work    core.Work
	State   State
	Result  core.Result
	Timing  core.Timing
	// Dispatches counts dispatches; the last one's number names the stream.
	Dispatches uint32
	// Target is the address of the last target.
	Target string
	// Reached is set once a byte may have arrived at a target.
	Reached bool
	// Aborted is set when the dispatch was told to end and its last word is awaited.
	Aborted bool
	// Revision is the configuration revision that the request was admitted under.
	Revision uint64
	// SlowdownWeight is how much that revision weighs the time of a short answer against its first token, 0 to 1.
	SlowdownWeight float64
	// Receiver is the attempt whose body is awaited; Bodies counts the attempts that were asked for theirs.
	Receiver uint32
	Bodies   int64
	// FirstTokenTarget is that revision's aim for the first token of a short prompt.
	FirstTokenTarget time.Duration
	// reachedBefore is what Reached was before the last dispatch.
	reachedBefore bool
	// attempts is the highest attempt that the record answers for.
	attempts uint32
	// WaitsSince is when the request last began to wait for a target.
	WaitsSince core.Time
	// Obstacle is why it had no target at the last look.
	Obstacle core.Obstacle
	// Executions counts the dispatches that may have reached a target, Refusals those that a target did not take.
	Executions int
	Refusals   int
	// Tried are the targets that the request was sent to in vain, Helpers those that read a part of the prompt.
	Tried   []string
	Helpers []string
	// closedThrough is the highest attempt that was answered "not run".
	closedThrough uint32
	expires       core.Time
	heapIndex     int
}

// Verdict is the ledger's answer to a submit.
type Verdict int

// The verdicts.
const (
	// New: no record stands in the way; the caller of Offer may Admit or Close.
	New Verdict = iota
	// Join: the request is here already, running or finished.
	Join
	// Refuse: the attempt is closed, expired or contradicts the record.
	Refuse
)

// Retention is how long a record is kept after the request's deadline. Copies of a submit that arrive later than
// that are past their deadline by so much that they can't be told from ones whose record is gone.
const Retention = 60 * time.Second

// MaxBudget is the furthest that a deadline may lie ahead.
const MaxBudget = time.Hour

// AllAttempts closes an identifier for good.
const AllAttempts = ^uint32(0)

// LastMoment is the time before the deadline of a request that is not idempotent in which it is no longer
// dispatched: the end of a dispatch must be heard before the deadline to know whether it was written.
const LastMoment = 50 * time.Millisecond

// expiry is when the record of a submit that arrives now may be dropped.
func expiry(now core.Time, req *core.Request) core.Time {
	return min(req.Deadline, now+MaxBudget) + Retention
}

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	limit   int
	records map[core.Key]*Record
	byTime  expiryHeap
}

// NewLedger returns a ledger for at most limit records.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: limit, records: make(map[core.Key]*Record)}
}

// Len is the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Full tells whether no further record fits.
func (l *Ledger) Full() bool { return len(l.records) >= l.limit }

// Get returns the record of a key, or nil.
func (l *Ledger) Get(key core.Key) *Record { return l.records[key] }

// Offer judges a submit whose Deadline is set. It changes nothing.
func (l *Ledger) Offer(now core.Time, req *core.Request) (Verdict, core.Result) {
	rec := l.records[req.Key]
	if rec == nil {
		return l.offerNew(now, req)
	}
	if rec.isClosed() {
		return offerClosed(now, rec, req)
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

// offerNew judges a key without a record. Past the retention a record may have existed, so nothing is certain.
func (l *Ledger) offerNew(now core.Time, req *core.Request) (Verdict, core.Result) {
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

// noDeadline refuses a submit that can't be told from a late copy. Only of a first one is it certain that none ran
// before.
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

// Expired is the result for a key whose record may have been dropped.
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

func offerClosed(now core.Time, rec *Record, req *core.Request) (Verdict, core.Result) {
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

// isClosed tells whether the record only remembers that attempts were answered "not run".
func (r *Record) isClosed() bool { return r.State == Finished && r.Result.Outcome == api.OutcomeNotRun }

// Join makes the record answer for another submit of its key.
func (l *Ledger) Join(now core.Time, rec *Record, req *core.Request) {
	rec.attempts = max(rec.attempts, req.Attempt)
	if late := expiry(now, req); late > rec.expires {
		rec.expires = late
		heap.Fix(&l.byTime, rec.heapIndex)
	}
}

// CloseAll closes every attempt of a record that ended without a run; it changes nothing for others.
func (l *Ledger) CloseAll(rec *Record) {
	if rec.isClosed() {
		rec.closedThrough = AllAttempts
	}
}

// Admit opens a record for a request that Offer judged New.
func (l *Ledger) Admit(now core.Time, req core.Request, work core.Work, revision uint64) *Record {
	closed, dispatches := uint32(0), uint32(0)
	if old := l.records[req.Key]; old != nil {
		// Dispatch numbers go on, so that late events of the old record's dispatches are not taken for new ones.
		closed, dispatches = old.closedThrough, old.Dispatches
		l.remove(old)
	}
	rec := &Record{
		Request:       req,
		Work:          work,
		State:         Receiving,
		Result:        core.Result{Outcome: api.OutcomePending},
		Timing:        core.Timing{Admitted: now},
		Dispatches:    dispatches,
		Revision:      revision,
		Receiver:      req.Attempt,
		Bodies:        1,
		attempts:      req.Attempt,
		closedThrough: closed,
		expires:       expiry(now, &req),
	}
	l.insert(rec)
	return rec
}

// Close remembers that an attempt was answered "not run". It reports false when that can't be promised, because no
// room is left to remember it or the request is here and may run; the answer must then not be "not run".
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
		Request:       req,
		State:         Finished,
		Result:        result,
		Timing:        core.Timing{Finished: now},
		attempts:      req.Attempt,
		closedThrough: req.Attempt,
		expires:       expiry(now, &req),
	}
	l.insert(rec)
	return true
}

// Receive makes a later attempt bring the body, which an earlier one has not brought yet.
func (l *Ledger) Receive(rec *Record, attempt uint32) {
	rec.Receiver = attempt
	rec.Bodies++
}

// Queue marks the body as received.
func (l *Ledger) Queue(rec *Record) { rec.State = Queued }

// Dispatch marks the record as handed to a target and returns the dispatch's number. The caller must have checked
// MayDispatch.
func (l *Ledger) Dispatch(now core.Time, rec *Record, target string) uint32 {
	rec.State = Dispatched
	rec.Dispatches++
	rec.Target = target
	rec.Executions++
	rec.reachedBefore = rec.Reached
	rec.Reached = true
	rec.Aborted = false
	rec.Timing.Dispatched = now
	return rec.Dispatches
}

// MayDispatch tells whether the record may go to a target now.
func (l *Ledger) MayDispatch(now core.Time, rec *Record) bool {
	if rec.State != Queued {
		return false
	}
	if rec.Request.Idempotent {
		return now < rec.Request.Deadline
	}
	return now+LastMoment < rec.Request.Deadline && !rec.Reached
}

// NeverReached takes back the mark of a dispatch that is certain not to have reached its target.
func (l *Ledger) NeverReached(rec *Record) {
	rec.State = Queued
	rec.Reached = rec.reachedBefore
	rec.Executions--
	rec.Refusals++
}

// Forget drops the finished record of a request that nobody can ask for again.
func (l *Ledger) Forget(rec *Record) {
	if rec.State == Finished {
		l.remove(rec)
	}
}

// Requeue makes an idempotent request wait for another target.
func (l *Ledger) Requeue(rec *Record) { rec.State = Queued }

// Finish gives the record its final result. A second call changes nothing and reports false.
func (l *Ledger) Finish(now core.Time, rec *Record, result core.Result) bool {
	if rec.State == Finished {
		return false
	}
	rec.State = Finished
	rec.Result = result
	rec.Timing.Finished = now
	if result.Outcome == api.OutcomeNotRun {
		rec.closedThrough = max(rec.closedThrough, rec.attempts)
	}
	return true
}

// Expire drops the finished records whose time has come and calls dropped for each.
func (l *Ledger) Expire(now core.Time, dropped func(*Record)) {
	for len(l.byTime) > 0 && l.byTime[0].expires <= now {
		rec := l.byTime[0]
		if rec.State != Finished {
			rec.expires = now + Retention
			heap.Fix(&l.byTime, 0)
			continue
		}
		l.remove(rec)
		dropped(rec)
	}
}

// Each calls f for every record, in no particular order; f must not change the ledger.
func (l *Ledger) Each(f func(*Record)) {
	for _, rec := range l.records {
		f(rec)
	}
}

func (l *Ledger) insert(rec *Record) {
	l.records[rec.Request.Key] = rec
	heap.Push(&l.byTime, rec)
}

func (l *Ledger) remove(rec *Record) {
	delete(l.records, rec.Request.Key)
	heap.Remove(&l.byTime, rec.heapIndex)
}

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
