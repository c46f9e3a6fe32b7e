package target

import (
	"time"

	"carobshunt/internal/core"
)

// Times after which a request of this host at a target is overdue.
const (
	// streamTimeout is the time that the target may go unseen during a stream, after its first token. prefillGrace is
	// added to the time by which an engine must have finished a prefill.
	streamTimeout = 1800 * time.Millisecond
	prefillGrace  = 2 * time.Second
	// serviceTimeout is the time that a target without a published engine speed, such as a plain service, may go unseen.
	serviceTimeout = 500 * time.Millisecond
)

// minOverdue is how many requests of this host must be overdue for a target to count as unresponsive. A single request
// may be slow for its own reasons, and connection probes detect a target that is gone.
const minOverdue = 2

// MarkSeen records that the target was seen alive: it sent an event of a stream, or a dispatch there ended with an answer,
// a refusal or a failure that it reported. Load reports, cache events and answers to reservations and orders don't count.
func (t *Target) MarkSeen(now core.Time) { t.lastSeen = now }

// SeenSince reports whether the target was seen alive after an instant, as MarkSeen and Prefilled record it.
func (t *Target) SeenSince(at core.Time) bool { return t.lastSeen > at }

// Unresponsive reports whether the target is unresponsive: at least minOverdue dispatches of this host are overdue there.
// What is only prefilled there for a dispatch to another engine does not count. Nothing could be seen before runningSince, the end of
// the last time for which this process did not run.
func (t *Target) Unresponsive(now, runningSince core.Time) bool {
	overdue := 0
	for _, p := range t.inFlight {
		if p.load.Streams > 0 && t.overdue(now, runningSince, p) {
			overdue++
		}
	}
	return overdue >= minOverdue
}

// overdue reports whether the target should have been seen by now because of this dispatch. During a prefill on an engine
// of published speed, the dispatch is not overdue if the target was seen, for any request, after the dispatch began.
func (t *Target) overdue(now, runningSince core.Time, p *activeDispatch) bool {
	since := max(t.lastSeen, p.began, runningSince)
	switch {
	case t.Engine == nil:
		return now-since >= serviceTimeout
	case p.streaming:
		return now-since >= streamTimeout
	}
	return now >= max(t.prefillDue(p), runningSince)+prefillGrace && t.lastSeen < p.began
}
