package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
)

// Pacing of long prompts. One that is spread over many engines changes them all, and other hosts hear of it only some
// milliseconds later. When many come at once, as to hosts that have just started, all hosts would spread theirs over the
// same idle engines, and the short prompts that came with them would wait behind.
const (
	// longSpacing is the time between two long prompts of one host: as long as its peers' loads take to come.
	longSpacing = 10 * time.Millisecond
	// longSettle is how long a host that has just become ready places no long prompts: until it knows the loads of its
	// peers and how many short prompts come.
	longSettle = 150 * time.Millisecond
)

// pacing is when this host became ready, and when it last placed a long prompt.
type pacing struct {
	ready core.Time
	long  core.Time
}

func newPacing() pacing { return pacing{ready: never, long: never} }

// holdsLong tells whether a request waits since it is long and another one was placed a moment ago.
func (n *Node) holdsLong(rec *ledger.Record) bool {
	if rec.Request.Routed == nil || !route.IsLong(rec) {
		return false
	}
	settling := n.pacing.ready != never && n.now < n.pacing.ready+longSettle
	spaced := n.pacing.long != never && n.now < n.pacing.long+longSpacing
	return settling || spaced
}

// placedLong notes that a prompt was placed.
func (n *Node) placedLong(rec *ledger.Record) {
	if rec.Request.Routed != nil && route.IsLong(rec) {
		n.pacing.long = n.now
	}
}
