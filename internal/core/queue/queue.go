// Package queue orders the admitted requests that wait for a target.
package queue

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// Queue holds the records of waiting requests.
type Queue interface {
	// Len returns the number of waiting requests.
	Len() int
	// Tokens returns the waiting prefill work of a class, in weighted tokens.
	Tokens(class document.Class) int64
	// Ahead returns the part of Tokens, for the record's class, that would be served before the record if it were added.
	Ahead(rec *ledger.Record) int64
	// Dominates reports whether the record's team has caused most of a long backlog of the record's class. By fair queueing
	// that is a team that uses more than its share.
	Dominates(rec *ledger.Record) bool
	// Push adds a record.
	Push(rec *ledger.Record)
	// Remove removes a record and reports whether it was in the queue.
	Remove(key core.Key) bool
	// Groups returns the number of waiting requests that need several engines.
	Groups() int
	// Each calls f for waiting records in order of service and removes those for which f returns true. It may skip the
	// records behind one for which f returns false. f must not call Push or Remove; only Fair lets it remove its record
	// and return true.
	Each(now core.Time, f func(*ledger.Record) (take bool))
	// EachFresh is Each after nothing has changed that the records wait for which Each has offered: it may offer only those that
	// were added since.
	EachFresh(now core.Time, f func(*ledger.Record) (take bool))
	// Renew makes the next Each or EachFresh offer a waiting record as if it had just been added.
	Renew(key core.Key)
	// All calls f for the waiting records in order of service. It may skip those that have to wait for one before them. f must
	// not call Push or Remove.
	All(now core.Time, f func(*ledger.Record))
	// Overdue returns the routed records among those of All that have waited for longer than their limit.
	Overdue(now core.Time) []*ledger.Record
}

// isOverdue reports whether a record has waited for longer than its limit; only routed requests have one.
func isOverdue(now core.Time, rec *ledger.Record) bool {
	return rec.Request.Routed != nil && now-rec.WaitingSince > rec.WaitLimit
}

// overdueOf returns the overdue records among those of a queue's All.
func overdueOf(q Queue, now core.Time) []*ledger.Record {
	var out []*ledger.Record
	q.All(now, func(rec *ledger.Record) {
		if isOverdue(now, rec) {
			out = append(out, rec)
		}
	})
	return out
}

// allOf calls f for the records that a queue's Each offers if none is taken.
func allOf(q Queue, now core.Time, f func(*ledger.Record)) {
	q.Each(now, func(rec *ledger.Record) bool {
		f(rec)
		return false
	})
}
