package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
)

// drainState is the course of a planned stop.
type drainState struct {
	active  bool
	stopped bool
	since   core.Time
	// idleSince is when the last request ended; meaningful while none is active.
	idleSince core.Time
	// boundUntil is the latest deadline of a request that is not idempotent and was admitted here: until then its
	// caller may ask again, and no other host can answer.
	boundUntil core.Time
}

// Timings of a planned stop.
const (
	// drainNotice is how long a draining host keeps answering at least, so that its peers and its callers hear of it.
	drainNotice = 2 * member.Interval
	// maxLinger bounds how long a host that has ended its last request waits for boundUntil.
	maxLinger = 10 * time.Second
)

func (n *Node) startDrain() {
	if n.drain.active {
		return
	}
	n.drain.active = true
	n.drain.since = n.now
	n.drain.idleSince = n.now
	n.do(Note{Event: EventDraining})
	n.announce(func(*member.Peer) bool { return true })
}

// noteSubmit keeps what a submit tells besides the request itself.
func (n *Node) noteSubmit(req *core.Request) {
	n.knowledge.callers = max(n.knowledge.callers, req.Revision)
	if req.Idempotent || req.Routed != nil {
		return
	}
	if rec := n.active[req.Key]; rec != nil {
		n.drain.boundUntil = max(n.drain.boundUntil, rec.Request.Deadline)
	}
}

// stopWhenDrained ends the process when no request is active, and no caller may come back for the outcome of one
// that only this process can tell.
func (n *Node) stopWhenDrained() {
	if !n.drain.active || n.drain.stopped {
		return
	}
	if len(n.active) > 0 {
		n.drain.idleSince = n.now
		return
	}
	lingers := n.now < min(n.drain.boundUntil, n.drain.idleSince+maxLinger)
	if n.now < n.drain.since+max(drainNotice, n.opts.LookupKeep) || lingers {
		return
	}
	n.drain.stopped = true
	n.do(Stop{})
}
