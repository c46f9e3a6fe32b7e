package node

import (
	"fmt"
	"time"

	"carobshunt/internal/core"
)

// signalDelayTicks is the number of ticks that may pass from when a signal is delivered until the process notices it: under load, the
// control goroutine goes on while the goroutines wait that hand the signal on. After a suspension, the first ticks may come before it.
const signalDelayTicks = 4

// recentTicks holds the times of the last ticks, the oldest first. The zero value holds the start of the process.
type recentTicks [signalDelayTicks + 1]core.Time

// record adds the time of a tick, unless it is one of two that come at once after a suspension or a long step.
func (r *recentTicks) record(now core.Time) {
	if now-r[len(r)-1] < TickInterval/2 {
		return
	}
	copy(r[:], r[1:])
	r[len(r)-1] = now
}

// oldest returns a time at which the process ran, and a signal that was not noticed by now had not been sent yet.
func (r *recentTicks) oldest() core.Time { return r[0] }

// terminate begins a planned stop, or bounds one that has begun. Requests that are not expected to end before the process is killed, and
// wait for a target, end at once: their callers have the time to go elsewhere. If the kill is due, so do all others.
func (n *Node) terminate(in Terminate) {
	if n.drain.signal != nil {
		return
	}
	n.beginDrain()
	n.drain.signal = &in
	n.drain.begun = min(n.drain.begun, in.NotBefore)
	n.boundDrain(in.Grace)
	n.applyBound()
}

// graceReloaded bounds a stop that was requested by a signal by a shorter grace time: the settings may have changed before the signal.
func (n *Node) graceReloaded(in GraceReloaded) {
	if n.drain.signal != nil && n.boundDrain(in.Grace) {
		n.applyBound()
	}
}

// boundDrain sets when the last requests end, and reports whether it did. The earliest of several times counts: one that is too early
// costs a caller another request, or the rest of a stream, one that is too late every answer.
func (n *Node) boundDrain(grace time.Duration) bool {
	killAt := n.drain.signal.NotBefore + grace
	if grace == 0 || (n.drain.killAt != 0 && n.drain.killAt <= killAt) {
		return false
	}
	n.drain.killAt = killAt
	n.drain.answerBy = killAt - lastAnswersFor(grace, n.drain.signal.Noticed-n.drain.signal.NotBefore)
	return true
}

// lastAnswersFor returns how long before the earliest time of the kill the last answers are due. The uncertainty about when the signal
// was sent makes that time early already, so it counts as a part.
func lastAnswersFor(grace, uncertainty time.Duration) time.Duration {
	full := min(lastAnswersTime, grace/lastAnswersShare)
	return max(full-uncertainty, full*leastLastAnswersPercent/percent)
}

// applyBound logs the bound of a stop and ends the requests that it leaves no time for.
func (n *Node) applyBound() {
	n.do(StateChange{Event: EventDraining, Text: n.terminationText(n.drain.signal)})
	n.refuseUnfinishable()
	n.expireDeadlines()
}

// terminationText returns what the log says of a stop that was requested by a signal.
func (n *Node) terminationText(in *Terminate) string {
	ago := func(at core.Time) time.Duration { return (n.now - at).Round(time.Millisecond) }
	text := fmt.Sprintf("signal sent at most %v ago, noticed %v ago", ago(in.NotBefore), ago(in.Noticed))
	switch {
	case n.drain.answerBy == 0:
		return text + ", no bound"
	case n.drain.answerBy <= n.now:
		return text + ", last answers now"
	}
	return text + fmt.Sprintf(", last answers in %v", -ago(n.drain.answerBy))
}
