package queue

import (
	"sort"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// EDF is a single queue, earliest deadline first. It is not safe for concurrent use.
type EDF struct {
	waiting []*ledger.Record
	// tokens is the waiting prefill work, in weighted tokens.
	tokens int64
}

// NewEDF returns an empty queue.
func NewEDF() *EDF { return &EDF{} }

// Len implements Queue.
func (q *EDF) Len() int { return len(q.waiting) }

// Tokens implements Queue. It returns the work of all classes, which EDF does not distinguish.
func (q *EDF) Tokens(document.Class) int64 { return q.tokens }

// Ahead implements Queue.
func (q *EDF) Ahead(rec *ledger.Record) int64 {
	sum := int64(0)
	for _, waiting := range q.waiting {
		if waiting.Request.Deadline <= rec.Request.Deadline {
			sum += waiting.Work.PrefillWork
		}
	}
	return sum
}

// Dominates implements Queue. It returns false, since EDF does not distinguish teams.
func (q *EDF) Dominates(*ledger.Record) bool { return false }

// Groups implements Queue. It returns 0, since EDF does not count them.
func (q *EDF) Groups() int { return 0 }

// Push implements Queue.
func (q *EDF) Push(rec *ledger.Record) {
	at := sort.Search(len(q.waiting), func(i int) bool {
		return q.waiting[i].Request.Deadline > rec.Request.Deadline
	})
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = rec
	q.tokens += rec.Work.PrefillWork
}

// Remove implements Queue.
func (q *EDF) Remove(key core.Key) bool {
	for i, rec := range q.waiting {
		if rec.Request.Key == key {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.tokens -= rec.Work.PrefillWork
			return true
		}
	}
	return false
}

// Each implements Queue: it offers every record.
func (q *EDF) Each(_ core.Time, f func(*ledger.Record) (take bool)) {
	kept := q.waiting[:0]
	for _, rec := range q.waiting {
		if f(rec) {
			q.tokens -= rec.Work.PrefillWork
			continue
		}
		kept = append(kept, rec)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// EachFresh implements Queue. It offers every record: EDF is a baseline for replays.
func (q *EDF) EachFresh(now core.Time, f func(*ledger.Record) (take bool)) { q.Each(now, f) }

// Renew implements Queue. Any pass may offer the record anyway.
func (q *EDF) Renew(core.Key) {}

// All implements Queue.
func (q *EDF) All(now core.Time, f func(*ledger.Record)) { allOf(q, now, f) }

// Overdue implements Queue.
func (q *EDF) Overdue(now core.Time) []*ledger.Record { return overdueOf(q, now) }
