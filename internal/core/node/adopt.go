package node

import (
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// AdoptionCounts counts stream adoptions: attempts of this host to continue a stream that a failed host left running
// at an engine.
type AdoptionCounts struct {
	Tried uint64
	// Failed counts the attempts that gave no complete answer: the engine no longer had the stream or lost it before its end,
	// or the dispatch was refused or not written.
	Failed uint64
}

// adopts reports whether the next dispatch of a request is to adopt a stream that another host left behind. Only the first
// dispatch of a key may adopt one.
func (n *Node) adopts(rec *ledger.Record) bool {
	adopt := rec.Request.Adopt
	if rec.LastDispatch != 0 || adopt.Target == "" || !adopt.Belongs(&rec.Request) {
		return false
	}
	t := n.targets.Get(adopt.Target)
	usable := t != nil && t.Role == hostlist.RoleEngine && t.Serves(rec.Request.Model) && !t.Evacuated()
	return usable && t.MaySend(n.now) && rec.Request.AllowsZone(t.Zone)
}

// dispatchAdopted dispatches a request to the engine that runs its adopted stream, even if that engine is not eligible
// for new work.
func (n *Node) dispatchAdopted(rec *ledger.Record) bool {
	t := n.targets.Get(rec.Request.Adopt.Target)
	n.adoptions.Tried++
	start := n.begin(rec, t, target.Job{Priority: route.Priority(rec.Work.Class), Memory: memoryNeed(&rec.Request)})
	start.Adopt = rec.Request.Adopt.Stream
	n.do(start)
	return true
}

// adoptionFailed requeues a request whose first dispatch, to the target of the stream that it may adopt, gave no complete
// answer, and reports whether it did so. This takes nothing from the retry budget, since the adoption gave the engine no new
// work. The request must still await this dispatch.
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
