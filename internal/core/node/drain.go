package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
)

// drainState is the progress of a planned stop.
type drainState struct {
	active  bool
	stopped bool
	since   core.Time
	// idleSince is the last tick with an active request, or the start of the drain if that was later; valid only while
	// no request is active.
	idleSince core.Time
	// queryableUntil is the latest deadline of the requests admitted here that are neither idempotent nor routed. Until
	// then their callers may query the outcome, and no other host can answer.
	queryableUntil core.Time
}

// Durations of a planned stop.
const (
	// drainNotice is the least time for which a draining host keeps answering, so that peers and callers learn of the
	// drain.
	drainNotice = 2 * member.Interval
	// maxLinger bounds how long a drained host waits for queryableUntil after its last request ended.
	maxLinger = 10 * time.Second
)

func (n *Node) startDrain() {
	if n.drain.active {
		return
	}
	n.drain.active = true
	n.drain.since = n.now
	n.drain.idleSince = n.now
	n.do(StateChange{Event: EventDraining})
	n.announce(func(*member.Peer) bool { return true })
}

// recordSubmit records the caller's configuration revision, and the deadline until which a drain must wait.
func (n *Node) recordSubmit(req *core.Request) {
	n.observed.callersRevision = max(n.observed.callersRevision, req.Revision)
	if req.Idempotent || req.Routed != nil {
		return
	}
	if rec := n.active[req.Key]; rec != nil {
		n.drain.queryableUntil = max(n.drain.queryableUntil, rec.Request.Deadline)
	}
}

// stopWhenDrained stops a draining process once no request is active, lookup answers that name it have expired, and
// no caller may still query an outcome that only this process knows. The last wait ends after maxLinger.
func (n *Node) stopWhenDrained() {
	if !n.drain.active || n.drain.stopped {
		return
	}
	if len(n.active) > 0 {
		n.drain.idleSince = n.now
		return
	}
	lingers := n.now < min(n.drain.queryableUntil, n.drain.idleSince+maxLinger)
	if n.now < n.drain.since+max(drainNotice, n.opts.LookupTTL) || lingers {
		return
	}
	n.drain.stopped = true
	n.do(Stop{})
}
