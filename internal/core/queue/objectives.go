package queue

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// Objectives holds waiting records by the latency objective of their first answer. Under overload it serves those first
// that can still meet it, the nearest one before the others: an answer that is late anyway is worth less than one in
// time. Those past it follow, the youngest first. It is not safe for concurrent use.
type Objectives struct {
	waiting []*ledger.Record
	tokens  map[document.Class]int64
	groups  int
}

// NewObjectives returns an empty queue.
func NewObjectives() *Objectives { return &Objectives{tokens: make(map[document.Class]int64)} }

// Len implements Queue.
func (q *Objectives) Len() int { return len(q.waiting) }

// Tokens implements Queue.
func (q *Objectives) Tokens(class document.Class) int64 { return q.tokens[class] }

// Groups implements Queue.
func (q *Objectives) Groups() int { return q.groups }

// Push implements Queue.
func (q *Objectives) Push(rec *ledger.Record) {
	q.waiting = append(q.waiting, rec)
	q.count(rec, 1)
}

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
	slices.SortStableFunc(q.waiting, func(a, b *ledger.Record) int { return compareObjectives(now, a, b) })
	kept := q.waiting[:0]
	for _, rec := range q.waiting {
		if f(rec) {
			q.count(rec, -1)
			continue
		}
		kept = append(kept, rec)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// servicePart is the part of its aim that a first answer takes at the least, as a divisor.
const servicePart = 2

// lastStart is when the record must begin at the latest to meet its aim.
func lastStart(rec *ledger.Record) core.Time {
	return rec.Timing.Admitted + rec.FirstTokenTarget - rec.FirstTokenTarget/servicePart
}

// returned tells whether the caller came back after a refusal: it has no further try, so it goes first.
func returned(rec *ledger.Record) bool {
	return rec.Request.Routed != nil && rec.Request.Routed.Returned
}

func compareObjectives(now core.Time, a, b *ledger.Record) int {
	if returnedA, returnedB := returned(a), returned(b); returnedA != returnedB {
		if returnedA {
			return -1
		}
		return 1
	}
	lateA, lateB := now > lastStart(a), now > lastStart(b)
	switch {
	case lateA && lateB:
		return cmp.Or(-cmp.Compare(a.Timing.Admitted, b.Timing.Admitted), a.Request.Compare(b.Request.Key))
	case lateA:
		return 1
	case lateB:
		return -1
	}
	return cmp.Or(cmp.Compare(lastStart(a), lastStart(b)), a.Request.Compare(b.Request.Key))
}
