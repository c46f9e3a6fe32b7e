package queue

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// Objectives orders waiting records by their time to first token objective. After resubmitted requests come those that
// can still meet it, the one with the least time left first: under overload a late answer has less utility than one in
// time. Those that can't meet it follow, the most recently admitted first. If teams have ranks and those of the requests
// differ, the rank precedes the time left among requests that can still meet their objective, and some dispatches ignore
// it: see ranked. It is not safe for concurrent use.
type Objectives struct {
	waiting []*ledger.Record
	ranked  ranked
	// rankIgnored counts the dispatches that ignored rank.
	rankIgnored uint64
	// tokens is the waiting prefill work of each class, in weighted tokens.
	tokens map[document.Class]int64
	groups int
}

// NewObjectives returns an empty queue.
func NewObjectives() *Objectives {
	return &Objectives{tokens: make(map[document.Class]int64), ranked: make(ranked)}
}

// RankIgnored returns how many dispatches ignored rank.
func (q *Objectives) RankIgnored() uint64 { return q.rankIgnored }

// Len implements Queue.
func (q *Objectives) Len() int { return len(q.waiting) }

// Tokens implements Queue.
func (q *Objectives) Tokens(class document.Class) int64 { return q.tokens[class] }

// Ahead implements Queue. It returns all of Tokens, since a later record may still go first.
func (q *Objectives) Ahead(rec *ledger.Record) int64 { return q.tokens[rec.Work.Class] }

// Dominates implements Queue. It returns false, since Objectives does not distinguish teams.
func (q *Objectives) Dominates(*ledger.Record) bool { return false }

// Groups implements Queue.
func (q *Objectives) Groups() int { return q.groups }

// Push implements Queue.
func (q *Objectives) Push(rec *ledger.Record) {
	q.waiting = append(q.waiting, rec)
	q.count(rec, 1)
}

// count adds a record to the totals, or subtracts it if sign is -1.
func (q *Objectives) count(rec *ledger.Record, sign int) {
	q.tokens[rec.Work.Class] += int64(sign) * rec.Work.PrefillWork
	if rec.Work.Group {
		q.groups += sign
	}
}

// Remove implements Queue.
func (q *Objectives) Remove(key core.Key) bool {
	i := slices.IndexFunc(q.waiting, func(rec *ledger.Record) bool { return rec.Request.Key == key })
	if i < 0 {
		return false
	}
	q.count(q.waiting[i], -1)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Each implements Queue.
func (q *Objectives) Each(now core.Time, f func(*ledger.Record) (take bool)) {
	if len(q.waiting) == 0 {
		return
	}
	if ranksDiffer(q.waiting) {
		q.eachByRank(now, f)
		return
	}
	slices.SortStableFunc(q.waiting, func(a, b *ledger.Record) int { return compareObjectives(now, a, b) })
	q.waiting = slices.DeleteFunc(q.waiting, func(rec *ledger.Record) bool { return q.offer(rec, f) })
}

// offer calls f for a record, subtracts it from the totals if f takes it, and reports whether f did.
func (q *Objectives) offer(rec *ledger.Record, f func(*ledger.Record) (take bool)) bool {
	if !f(rec) {
		return false
	}
	q.count(rec, -1)
	return true
}

// serviceDivisor sets the least time from dispatch to first token: 1/serviceDivisor of the objective.
const serviceDivisor = 2

// latestStart returns the last time at which a record can be dispatched and is still expected to meet its objective.
func latestStart(rec *ledger.Record) core.Time {
	return rec.Timing.Admitted + rec.FirstTokenTarget - rec.FirstTokenTarget/serviceDivisor
}

// resubmitted reports whether the caller submits the request again after a refusal. It has no further attempt, so such
// requests go first.
func resubmitted(rec *ledger.Record) bool {
	return rec.Request.Routed != nil && rec.Request.Routed.Resubmitted
}

func compareObjectives(now core.Time, a, b *ledger.Record) int {
	if resubmittedA, resubmittedB := resubmitted(a), resubmitted(b); resubmittedA != resubmittedB {
		if resubmittedA {
			return -1
		}
		return 1
	}
	return compareByLimit(now, a, b, latestStart)
}

// compareByLimit orders records by the time left until a limit; those past it follow, the most recently admitted first.
func compareByLimit(now core.Time, a, b *ledger.Record, limit func(*ledger.Record) core.Time) int {
	limitA, limitB := limit(a), limit(b)
	lateA, lateB := now > limitA, now > limitB
	switch {
	case lateA && lateB:
		return cmp.Or(-cmp.Compare(a.Timing.Admitted, b.Timing.Admitted), a.Request.Compare(b.Request.Key))
	case lateA:
		return 1
	case lateB:
		return -1
	}
	return cmp.Or(cmp.Compare(limitA, limitB), a.Request.Compare(b.Request.Key))
}
