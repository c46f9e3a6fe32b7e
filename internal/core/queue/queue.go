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
}
