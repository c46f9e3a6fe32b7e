package node

import (
	"fmt"
	"strings"
	"time"

	"carobshunt/internal/core/member"
	"carobshunt/internal/core/target"
)

// noticeReceived records what a target says of itself in the answer to a dispatch, and tells the other hosts what has
// changed. A nil notice has no effect.
func (n *Node) noticeReceived(d target.Dispatch, notice *target.Notice) {
	if notice == nil {
		return
	}
	if n.targets.ReportsFaults(n.now, notice) {
		n.do(StateChange{Event: EventNoticeInvalid, Text: fmt.Sprintf("%v: %s", notice.From, strings.Join(notice.Faults, "; "))})
	}
	if notice.RetryAfter > 0 {
		n.holdOff(notice.From, notice.RetryAfter)
	}
	if change, changed := n.targets.ApplyNotice(n.now, d, notice); changed {
		n.reportStanding(change, "its answer")
		n.tellNotices(change)
	}
}

// tellNotices tells the hosts of this cell at once of an urgent change; they hear of others with the next heartbeat.
func (n *Node) tellNotices(change target.StandingChange) {
	if change.Urgent() {
		n.announce(func(p *member.Peer) bool { return n.sameCell(p.Last.Peer) })
	}
}

// holdJitter is the inverse of the part by which a hold is longer than the target asked for, at most. The hosts that it
// refused at the same moment then do not all return at once.
const holdJitter = 4

// holdOff sends a target nothing for at least the time that it asked for.
func (n *Node) holdOff(p target.Process, d time.Duration) {
	held := n.targets.HoldOff(n.now, p.Identity(), d+time.Duration(n.rng.Int64N(int64(d/holdJitter)+1)))
	n.do(StateChange{Event: EventTargetHeldOff, Text: fmt.Sprintf("%v wants nothing for %v, held for %v", p, d, held)})
}

// noticesPublished records what a peer's heartbeat tells of targets.
func (n *Node) noticesPublished(hb *member.Heartbeat) {
	for i := range hb.Notices {
		age := time.Duration(hb.ClockMs-hb.Notices[i].HeardMs) * time.Millisecond
		if change, changed := n.targets.ApplyPublished(n.now, age, &hb.Notices[i]); changed {
			n.reportStanding(change, fmt.Sprintf("%s, %d ms old", hb.Peer, age.Milliseconds()))
		}
	}
}

// departedPublished records which targets had left by the host lists that a peer has seen.
func (n *Node) departedPublished(hb *member.Heartbeat) {
	for _, p := range hb.Departed {
		if n.targets.ApplyDeparted(n.now, p) {
			n.do(StateChange{Event: EventTargetLeaving, Text: fmt.Sprintf("%v, by an entry that %s has seen", p, hb.Peer)})
		}
	}
}

// maxReportedReplaced is the number of targets that are reported at most of those that one host list replaces, or whose entries it changes.
const maxReportedReplaced = 50

// reportReplaced reports the targets that have another process by a host list, and who sent the list.
func (n *Node) reportReplaced(source string) {
	replaced := n.targets.TakeReplaced()
	for _, r := range replaced[:min(len(replaced), maxReportedReplaced)] {
		n.do(StateChange{
			Event: EventTargetReplaced,
			Text:  fmt.Sprintf("%v by instance %q, start %d, list from %s, %d in all", r.Old, r.New.Instance, r.New.Start, source, len(replaced)),
		})
	}
}

// reportEntryChanges reports the targets that the host list now has as leaving, missing or live again.
func (n *Node) reportEntryChanges() {
	changes := n.targets.TakeEntryChanges()
	for _, c := range changes[:min(len(changes), maxReportedReplaced)] {
		n.do(StateChange{Event: EventTargetEntry, Text: fmt.Sprintf("%v, list version %d, %d in all", c, n.targets.Version(), len(changes))})
	}
}

// reportStanding reports a change of what holds of a target, and where it was learned.
func (n *Node) reportStanding(c target.StandingChange, source string) {
	if c.Limit != c.WasLimit {
		n.do(StateChange{
			Event: EventTargetLimit,
			Text:  fmt.Sprintf("%v takes %g requests a second, before %g (0: no limit), by %s", c.Process, c.Limit, c.WasLimit, source),
		})
	}
	if c.NowLeaving {
		n.do(StateChange{Event: EventTargetLeaving, Text: fmt.Sprintf("%v, by %s", c.Process, source)})
	}
	if c.NowServing {
		n.do(StateChange{Event: EventTargetServing, Text: fmt.Sprintf("%v, by %s", c.Process, source)})
	}
}
