package node

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// claimedWork is what counts as reading while a claim waits for its engines: work of a routed request only begins with
// its dispatch, and until then others may use the time.
func (n *Node) claimedWork(rec *ledger.Record, claim *group.Claim) int64 {
	if rec.Request.Routed != nil {
		return 0
	}
	return n.groupPart(rec, claim, 0)
}

// groupPart is what each engine of a group reads, helpers among them, in tokens of weight 1.
func (n *Node) groupPart(rec *ledger.Record, claim *group.Claim, helpers int) int64 {
	parts := int64(len(claim.Plan.Engines) + helpers)
	if rec.Request.Routed != nil {
		return rec.Work.PrefillWork / parts
	}
	return rec.Work.PrefillWork * percent / (parts * groupPercent)
}

// placeGroup accounts for a group at its members from the claim on, so that no other long work is sent there.
// Where engines hold memory for others beside their slots, only the one that answers has a stream.
func (n *Node) placeGroup(rec *ledger.Record, claim *group.Claim, work int64) {
	job := target.Job{Work: work, Memory: claim.Plan.Tokens, Deep: true, Helps: rec.Request.Routed != nil}
	for _, address := range claim.Plan.Engines {
		if t := n.targets.Get(address); t != nil {
			t.Begin(n.now, reservedAt(rec.Request.Key, claim), job)
		}
	}
}

// groupPercent is what a group has of its members' prefill rate.
const groupPercent = 80

// reservedAt identifies a claim at its members; no dispatch has a number that high.
func reservedAt(key core.Key, claim *group.Claim) target.Dispatch {
	return target.Dispatch{Key: key, Number: ^claim.Reservation.Try}
}

// groupPrefilled accounts for the first token of a group.
func (n *Node) groupPrefilled(key core.Key) {
	claim := n.groups.claims[key]
	if claim == nil {
		return
	}
	for _, address := range claim.Plan.Engines {
		if t := n.targets.Get(address); t != nil {
			t.Prefilled(n.now, reservedAt(key, claim))
		}
	}
}

func (n *Node) liftGroup(key core.Key, claim *group.Claim) {
	for _, address := range claim.Plan.Engines {
		if t := n.targets.Get(address); t != nil {
			t.End(reservedAt(key, claim))
		}
	}
}
