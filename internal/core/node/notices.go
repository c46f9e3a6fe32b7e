package node

import (
	"fmt"

	"carobshunt/internal/core/target"
)

// noticeReceived records what a target says of itself in the answer to a dispatch. A nil notice has no effect.
func (n *Node) noticeReceived(address string, d target.Dispatch, notice *target.Notice) {
	t := n.targets.Get(address)
	if notice == nil || t == nil {
		return
	}
	for _, fault := range notice.Faults {
		n.do(StateChange{Event: EventNoticeInvalid, Text: address + ": " + fault})
	}
	if change, changed := t.ApplyNotice(n.now, d, notice); changed {
		n.reportStanding(change, "answer")
	}
}

// reportStanding reports a change of what holds of a target, and where it was learned.
func (n *Node) reportStanding(c target.StandingChange, source string) {
	if c.Limit != c.WasLimit {
		n.do(StateChange{
			Event: EventTargetLimit,
			Text:  fmt.Sprintf("%s takes %g requests a second, before %g (0: no limit), by %s", c.Address, c.Limit, c.WasLimit, source),
		})
	}
	if c.NowLeaving {
		n.do(StateChange{Event: EventTargetLeaving, Text: fmt.Sprintf("%s, by %s", c.Address, source)})
	}
}
