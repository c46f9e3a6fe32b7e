// Package durations records how long requests take, by kind of request, to tell how long the next one may take.
package durations

import (
	"slices"
	"time"

	"carobshunt/internal/document"
)

// Kind is a kind of request whose requests take about the same time.
type Kind struct {
	// Route is the name of the route; empty for a request without one.
	Route string
	// Model is the model or the service that the request asks for.
	Model string
	// Class is that of the length of the prompt.
	Class document.Class
}

const (
	// kept is the number of recent durations of a kind that count.
	kept = 16
	// maxKinds bounds the memory of a table: nothing is recorded of further kinds.
	maxKinds = 4096
)

// Table holds the recent durations of each kind. It is not safe for concurrent use.
type Table struct{ recent map[Kind]*window }

// window holds the last durations of one kind, the oldest of which is replaced next.
type window struct {
	durations [kept]time.Duration
	count     int
}

// New returns an empty table.
func New() *Table { return &Table{recent: make(map[Kind]*window)} }

// Record adds the duration of a request, from its admission to its answer.
func (t *Table) Record(kind Kind, d time.Duration) {
	w := t.recent[kind]
	if w == nil {
		if len(t.recent) >= maxKinds {
			return
		}
		w = &window{}
		t.recent[kind] = w
	}
	w.durations[w.count%kept] = d
	w.count++
}

// Longest returns the longest of the recent durations of a kind, and whether there are any.
func (t *Table) Longest(kind Kind) (time.Duration, bool) {
	w := t.recent[kind]
	if w == nil {
		return 0, false
	}
	return slices.Max(w.durations[:min(w.count, kept)]), true
}

// KeepRoutes forgets the kinds whose route no longer exists.
func (t *Table) KeepRoutes(exists func(route string) bool) {
	for kind := range t.recent {
		if kind.Route != "" && !exists(kind.Route) {
			delete(t.recent, kind)
		}
	}
}
