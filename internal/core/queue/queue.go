// Package queue orders the admitted requests that wait for a target: earliest deadline first.
package queue

import (
	"sort"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// Queue holds waiting records. It is not safe for concurrent use.
type Queue struct {
	waiting []*ledger.Record
	tokens  int64
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Len is the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Tokens is the prefill work that waits, in tokens.
func (q *Queue) Tokens() int64 { return q.tokens }

// Push adds a record.
func (q *Queue) Push(rec *ledger.Record) {
	at := sort.Search(len(q.waiting), func(i int) bool {
		return q.waiting[i].Request.Deadline > rec.Request.Deadline
	})
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = rec
	q.tokens += rec.Work.PrefillTokens
}

// Remove takes a record out; it reports whether it was there.
func (q *Queue) Remove(key core.Key) bool {
	for i, rec := range q.waiting {
		if rec.Request.Key == key {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			q.tokens -= rec.Work.PrefillTokens
			return true
		}
	}
	return false
}

// Each offers the waiting records in order of service until f returns false. A record for which f returns take
// leaves the queue.
func (q *Queue) Each(f func(*ledger.Record) (take, more bool)) {
	kept := q.waiting[:0]
	more := true
	for _, rec := range q.waiting {
		take := false
		if more {
			take, more = f(rec)
		}
		if take {
			q.tokens -= rec.Work.PrefillTokens
			continue
		}
		kept = append(kept, rec)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}
