package node

import (
	"cmp"
	"fmt"
	"slices"

	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
)

// redispatchNonReporting redispatches the idempotent requests of engines that have just stopped reporting, earliest
// deadline first, as far as the retry budget allows. Other requests wait until their connection fails.
func (n *Node) redispatchNonReporting() {
	if !n.usesPolicyInForce() {
		return
	}
	nonReporting := make(map[string]bool)
	for _, t := range route.NonReporting(n.now, n.targets.All()) {
		nonReporting[t.Address] = true
		if !n.nonReporting[t.Address] {
			n.redispatchFrom(t, "the engine stopped reporting")
		}
	}
	n.nonReporting = nonReporting
}

// redispatchUnresponsive redispatches the idempotent requests of unresponsive targets, and sends these targets nothing
// new for a while. Where engines report their load, missing reports show this instead: see redispatchNonReporting.
func (n *Node) redispatchUnresponsive() {
	if n.opts.Policy != PolicyPacked {
		return
	}
	for _, t := range n.targets.All() {
		if t.InFlight() == 0 || !t.Eligible(n.now) || !t.Unresponsive(n.now, n.runningSince) {
			continue
		}
		t.Failed(n.now)
		n.do(StateChange{Event: EventTargetUnresponsive, Text: fmt.Sprintf("%s with %d requests of this host", t.Address, t.InFlight())})
		n.redispatchFrom(t, "the target is unresponsive")
	}
}

// redispatchFrom aborts and requeues the idempotent requests that a target answers without a group, earliest deadline
// first, as far as the retry budget and their dispatch limits allow. Those that this host would only refuse then, as it stops, stay
// with the target: it may still answer. So do those whose answer has begun and that no other target can go on with now.
func (n *Node) redispatchFrom(t *target.Target, why string) {
	var stuck []*ledger.Record
	running := n.runningAges()
	for _, rec := range n.active {
		waiting := rec.State == ledger.Dispatched && rec.Target == t.Address && !rec.Work.Group
		if !waiting || !rec.Request.Idempotent || n.dispatchLimitReached(rec) || n.refusedByStop(rec, running) {
			continue
		}
		if !rec.Begun || n.hasRoomElsewhere(rec, t) {
			stuck = append(stuck, rec)
		}
	}
	slices.SortFunc(stuck, func(a, b *ledger.Record) int {
		return cmp.Or(cmp.Compare(a.Request.Deadline, b.Request.Deadline), a.Request.Compare(b.Request.Key))
	})
	for _, rec := range stuck {
		if !n.retries.Spend() {
			return
		}
		n.abort(rec)
		n.quarantine.Lost(n.now, target.Dispatch{Key: rec.Request.Key, Number: rec.LastDispatch})
		n.removeHelperLoad(rec)
		n.ledger.Requeue(rec)
		rec.Tried = append(rec.Tried, rec.Process)
		began := rec.Timing.FirstToken != 0
		rec.Timing.FirstToken = 0
		n.enqueue(rec)
		n.reportWithdrawn(rec, began, why)
	}
}

// reportWithdrawn reports that the last dispatch of a request was given up, and whether the request waits for another one.
func (n *Node) reportWithdrawn(rec *ledger.Record, began bool, why string) {
	n.do(Withdrawn{
		Key: rec.Request.Key, Dispatch: rec.LastDispatch, Target: rec.Target, Message: why,
		Requeued: rec.State == ledger.Queued, Began: began,
	})
}

// hasRoomElsewhere reports whether a target other than t has a free slot for a request. Slots that are not known count as free.
func (n *Node) hasRoomElsewhere(rec *ledger.Record, t *target.Target) bool {
	return slices.ContainsFunc(n.targets.All(), func(other *target.Target) bool {
		usable := other != t && other.Serves(rec.Request.Model) && other.Eligible(n.now) && rec.Request.AllowsZone(other.Zone)
		hasSlot := other.Slots == 0 || other.Total().Streams < other.Slots
		return usable && hasSlot && !slices.Contains(rec.Tried, other.Process())
	})
}
