package target

import (
	"time"

	"carobshunt/internal/core"
)

// Times without a message from a target, after which a request of this host there is overdue.
const (
	// streamTimeout applies to a stream after its first token; prefillGrace is added to the time by which an engine
	// must have finished a prefill.
	streamTimeout = 1800 * time.Millisecond
	prefillGrace  = 2 * time.Second
	// serviceTimeout applies to plain services.
	serviceTimeout = 500 * time.Millisecond
)

// minOverdue is how many requests of this host must be overdue before a target counts as unresponsive. A single request
// may be slow for its own reasons, and connection probes detect a target that is gone.
const minOverdue = 2

// MarkSeen records that a message from the target was received.
func (t *Target) MarkSeen(now core.Time) { t.lastSeen = now }

// SeenSince reports whether a message from the target was received after an instant.
func (t *Target) SeenSince(at core.Time) bool { return t.lastSeen > at }

// Unresponsive reports whether the target is unresponsive: several requests of this host are overdue there.
func (t *Target) Unresponsive(now core.Time) bool {
	overdue := 0
	for _, p := range t.inFlight {
		if p.load.Streams > 0 && t.overdue(now, p) {
			overdue++
		}
	}
	return overdue >= minOverdue
}

// overdue reports whether the target should have sent something by now because of this dispatch.
func (t *Target) overdue(now core.Time, p *activeDispatch) bool {
	since := max(t.lastSeen, p.began)
	switch {
	case t.Engine == nil:
		return now-since >= serviceTimeout
	case p.streaming:
		return now-since >= streamTimeout
	}
	return now >= p.prefillDue+prefillGrace && t.lastSeen < p.began
}
