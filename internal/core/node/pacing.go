package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
)

// Pacing of long prompts. One that is split over many engines adds load to all of them, and other hosts learn of it only
// some milliseconds later. When many arrive at once, as at hosts that have just started, all hosts would split theirs
// over the same idle engines, and short prompts that arrive with them would queue behind.
const (
	// longSpacing is the minimum time between two long prompts of one host: as long as the loads of its peers take to
	// arrive.
	longSpacing = 10 * time.Millisecond
	// longSettleTime is how long a host that has just become ready places no long prompts, so that it first learns
	// the loads of its peers and the rate of short prompts.
	longSettleTime = 150 * time.Millisecond
)

// pacing holds when this host became ready and when it last placed a long prompt.
type pacing struct {
	ready    core.Time
	lastLong core.Time
}

func newPacing() pacing { return pacing{ready: never, lastLong: never} }

// mustPace reports whether a long routed request must wait because this host has just become ready or has just placed
// another one.
func (n *Node) mustPace(rec *ledger.Record) bool {
	if rec.Request.Routed == nil || !route.IsLong(rec) {
		return false
	}
	settling := n.pacing.ready != never && n.now < n.pacing.ready+longSettleTime
	spaced := n.pacing.lastLong != never && n.now < n.pacing.lastLong+longSpacing
	return settling || spaced
}

// noteLongPlaced records the placement of a long routed request.
func (n *Node) noteLongPlaced(rec *ledger.Record) {
	if rec.Request.Routed != nil && route.IsLong(rec) {
		n.pacing.lastLong = n.now
	}
}
