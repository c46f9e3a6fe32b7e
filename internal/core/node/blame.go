package node

import (
	"slices"

	"carobshunt/internal/core/target"
)

// blamedPart returns the engine at fault by the end of a dispatch, and whether the dispatch listed its address as that of a helper
// or of a member of its group. The engine is nil if the process that was listed has ended: what its successor at the address does
// shows nothing of the fault. It must be called before the load of the dispatch is removed.
func (n *Node) blamedPart(in DispatchEnded) (*target.Target, bool) {
	part, listed := n.partAt(in)
	if !listed {
		return nil, false
	}
	if t := n.targets.Get(in.Blame); t != nil && t.Carries(part) {
		return t, true
	}
	return nil, true
}

// partAt identifies the part of a dispatch that its helper or member at the address in Blame has, and reports whether there is one.
func (n *Node) partAt(in DispatchEnded) (target.Dispatch, bool) {
	if rec := n.active[in.Key]; rec != nil && rec.LastDispatch == in.Dispatch {
		if i := slices.Index(rec.Helpers, in.Blame); i >= 0 {
			return helperDispatch(rec, i), true
		}
	}
	claim := n.groups.claims[in.Key]
	if claim == nil || claim.Reservation.Stream.Dispatch != in.Dispatch {
		return target.Dispatch{}, false
	}
	member := slices.ContainsFunc(claim.Plan.Engines, func(p target.Process) bool { return p.Address == in.Blame })
	return claimDispatch(in.Key, claim), member
}
