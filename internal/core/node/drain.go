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
	// since is when this process learned of the stop, and told its peers.
	since core.Time
	// begun is when the stop began, for callers: no later than the signal that requested it, or since without one.
	begun core.Time
	// signal is what is known of the signal that requested the stop; nil without one.
	signal *Terminate
	// idleSince is the last tick with an active request, or the start of the drain if that was later; valid only while
	// no request is active.
	idleSince core.Time
	// queryableUntil is the latest deadline of the requests admitted here that are neither idempotent nor routed. Until
	// then their callers may query the outcome, and no other host can answer.
	queryableUntil core.Time
	// killAt is when the process will be killed, at the earliest; 0 for never.
	killAt core.Time
	// answerBy is when the last requests end without an answer of a target, as the process will be killed; 0 for never.
	answerBy core.Time
}

// Durations of a planned stop.
const (
	// drainNotice is the least time for which a draining host keeps answering, so that peers and callers learn of the
	// drain.
	drainNotice = 2 * member.Interval
	// maxLinger bounds how long a drained host waits for queryableUntil after its last request ended.
	maxLinger = 10 * time.Second
	// lastAnswersTime is the time before the process is killed in which the last answers are written, at most
	// 1/lastAnswersShare of the time from the begin of the stop.
	lastAnswersTime  = 500 * time.Millisecond
	lastAnswersShare = 8
	// leastLastAnswersPercent is the part of that time, in percent, that is left for writing whatever the uncertainty about the signal.
	leastLastAnswersPercent = 60
)

// startDrain begins a planned stop that may take as long as its requests do.
func (n *Node) startDrain() {
	if n.drain.active {
		return
	}
	n.beginDrain()
	n.do(StateChange{Event: EventDraining})
}

func (n *Node) beginDrain() {
	if n.drain.active {
		return
	}
	n.drain.active = true
	n.drain.since = n.now
	n.drain.begun = n.now
	n.drain.idleSince = n.now
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
// no caller may still query an outcome that only this process knows. The last wait ends after maxLinger, and every wait
// before the process is killed.
func (n *Node) stopWhenDrained() {
	if !n.drain.active || n.drain.stopped {
		return
	}
	if len(n.active) > 0 {
		n.drain.idleSince = n.now
		return
	}
	if n.now < n.lingerUntil() {
		return
	}
	n.drain.stopped = true
	n.do(Stop{})
}

// lingerUntil returns until when a draining process without an active request goes on answering.
func (n *Node) lingerUntil() core.Time {
	notice := n.drain.since + max(drainNotice, n.opts.LookupTTL)
	until := max(notice, min(n.drain.queryableUntil, n.drain.idleSince+maxLinger))
	if n.drain.answerBy != 0 {
		until = min(until, n.drain.answerBy)
	}
	return until
}
