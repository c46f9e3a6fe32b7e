package node

import (
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// AdoptionCounts counts the streams of hosts that are gone which this host was asked to go on with.
type AdoptionCounts struct {
	Tried uint64
	// Failed counts those that the engine did not have any more, or lost.
	Failed uint64
}

// adopts tells whether a request's first dispatch is to go on with a stream that another host left behind.
func (n *Node) adopts(rec *ledger.Record) bool {
	adopt := rec.Request.Adopt
	if rec.Dispatches != 0 || adopt.Target == "" || !adopt.Belongs(&rec.Request) {
		return false
	}
	t := n.targets.Get(adopt.Target)
	return t != nil && t.Role == hostlist.RoleEngine && t.Serves(rec.Request.Model)
}

// dispatchAdopted follows the stream at its engine, also at one that takes no new work.
func (n *Node) dispatchAdopted(rec *ledger.Record) bool {
	t := n.targets.Get(rec.Request.Adopt.Target)
	n.adoptions.Tried++
	order := n.begin(rec, t, target.Job{Priority: route.Priority(rec.Work.Class), Memory: memoryNeed(&rec.Request)})
	order.Adopt = rec.Request.Adopt.Stream
	n.do(order)
	return true
}

// adoptionFailed runs a request anew whose stream could not be followed to its end. That is no retry: nothing was
// asked of the engine but what it had.
func (n *Node) adoptionFailed(rec *ledger.Record, in DispatchEnded) bool {
	adopted := in.Dispatch == 1 && rec.Request.Adopt.Target == in.Target && rec.Request.Adopt.Belongs(&rec.Request)
	if !adopted || in.Ending == EndedDone {
		return false
	}
	n.adoptions.Failed++
	rec.Timing.FirstToken = 0
	n.ledger.Requeue(rec)
	n.enqueue(rec)
	return true
}
