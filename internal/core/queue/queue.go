// Package queue orders the admitted requests that wait for a target.
package queue

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/document"
)

// Queue holds waiting records.
type Queue interface {
	// Len is the number of waiting requests.
	Len() int
	// Tokens is the prefill work of a class that waits, in tokens of weight 1.
	Tokens(class document.Class) int64
	// Push adds a record.
	Push(rec *ledger.Record)
	// Remove takes a record out; it reports whether it was there.
	Remove(key core.Key) bool
	// Groups is the number of waiting requests that need several engines.
	Groups() int
	// Each offers waiting records in order of service; those for which f returns true leave the queue. What f finishes
	// it must not remove itself.
	Each(now core.Time, f func(*ledger.Record) (take bool))
}
