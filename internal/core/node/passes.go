package node

import (
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/route"
)

// placementNeed says which waiting requests a step has to try to place.
type placementNeed int

const (
	placementNone placementNeed = iota
	// placementFresh: those that have come since the last pass. The others have found no place, and nothing that they wait for has
	// changed.
	placementFresh
	// placementFull: all, within the bounds of the queue.
	placementFull
)

// passState is what the placement passes leave to the next one.
type passState struct {
	// falls is target.Table.LoadFalls at the last full pass, and full its time.
	falls uint64
	full  core.Time
	// live is the buffer for the live hosts.
	live []string
}

// passInterval is the time after which any input that asks for a pass gets a full one: turns at engines and the limits of targets
// depend on time alone, and change within some milliseconds.
const passInterval = 5 * time.Millisecond

// maxRestrictedChecks is the number of waiting requests up to which each pass looks for those that only limited targets could serve;
// with more, ticks do.
const maxRestrictedChecks = 64

// requestPlacement makes the current step end with a full placement pass.
func (n *Node) requestPlacement() { n.placement = placementFull }

// requestFreshPlacement makes the current step place at least the requests that no pass has tried yet.
func (n *Node) requestFreshPlacement() { n.placement = max(n.placement, placementFresh) }

// requestLoadPlacement makes the current step end with a placement pass, unless no target has more room than at the last one.
func (n *Node) requestLoadPlacement() {
	if n.targets.LoadFalls() != n.passes.falls || n.now >= n.passes.full+passInterval {
		n.requestPlacement()
	}
}

// place makes a placement pass. It is a full one if a target may have more room than at the last full pass, or if that was
// passInterval ago.
func (n *Node) place(need placementNeed) {
	if need == placementNone || n.catchingUp() || n.queue.Len() == 0 {
		return
	}
	if n.targets.LoadFalls() != n.passes.falls || n.now >= n.passes.full+passInterval {
		need = placementFull
	}
	n.router.SetGroupsWaiting(n.groupsWait())
	n.passes.live = n.appendLiveHosts(n.passes.live[:0])
	n.router.SetContention(route.Contention{Self: n.opts.Peer, Live: n.passes.live, UnseenShort: n.unseenShort()})
	n.groups.noRoom = noRoom{}
	n.router.BeginPass()
	if need == placementFull {
		n.passes.falls, n.passes.full = n.targets.LoadFalls(), n.now
		n.queue.Each(n.now, n.dispatch)
	} else {
		n.queue.EachFresh(n.now, n.dispatch)
	}
	n.router.EndPass()
	if n.targets.AnyRestricts(n.now) && (n.ticked || n.queue.Len() <= maxRestrictedChecks) {
		n.refuseRestricted()
	}
}
