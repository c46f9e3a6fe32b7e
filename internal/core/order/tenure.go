package order

import (
	"time"

	"carobshunt/internal/core"
)

// Timings of leadership terms.
const (
	// UnfencedWait is how long a host must have been an engine's leader without interruption before it orders an engine that
	// does not check fencing numbers: longer than a former leader may give orders before it learns that it is none.
	UnfencedWait = 5 * time.Second
	// SendTimeout is how long after the decision an order may still be sent.
	SendTimeout = time.Second
	// suspensionGap is the time between two calls of Update above which the process counts as having been suspended.
	suspensionGap = time.Second
)

// Term is one host's leadership term for one engine, its right to give it orders; a Standby uses it for its own role.
// It is not safe for concurrent use.
type Term struct {
	// held is set while the host is the leader, since the start of the term, updated the time of the last Update.
	held    bool
	since   core.Time
	updated core.Time
}

// Update sets whether this host is the engine's leader. Losing that role, or a suspension of this process, ends the
// term; a leader begins a new one at once.
func (t *Term) Update(now core.Time, leader bool) {
	suspended := now-t.updated > suspensionGap
	t.updated = now
	if !leader {
		t.held = false
		return
	}
	if !t.held || suspended {
		t.held = true
		t.since = now
	}
}

// MayOrder reports whether the host may order the engine now.
func (t *Term) MayOrder(now core.Time, checksFencing bool) bool {
	if !t.held || now-t.updated > suspensionGap {
		return false
	}
	return checksFencing || now-t.since >= UnfencedWait
}
