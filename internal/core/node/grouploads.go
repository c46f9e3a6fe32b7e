package node

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// claimWork returns the prefill work, in weighted tokens, that is counted at each engine from the claim to the
// dispatch. For a routed request it is 0: its prefill begins with its dispatch, and until then other requests may use
// the engines.
func (n *Node) claimWork(rec *ledger.Record, claim *group.Claim) int64 {
	if rec.Request.Routed != nil {
		return 0
	}
	return n.prefillPerEngine(rec, claim, 0)
}

// prefillPerEngine returns the prefill work of each engine of a group, helpers among them, in weighted tokens.
func (n *Node) prefillPerEngine(rec *ledger.Record, claim *group.Claim, helpers int) int64 {
	parts := int64(len(claim.Plan.Engines) + helpers)
	if rec.Request.Routed != nil {
		return rec.Work.PrefillWork / parts
	}
	return rec.Work.PrefillWork * percent / (parts * groupRatePercent)
}

// addGroupLoad adds the load of a group to its members from the claim on, so that no other long prefill is placed
// there. Engines of routed requests hold memory for a group outside their slots, so only the member that answers
// counts a stream.
func (n *Node) addGroupLoad(rec *ledger.Record, claim *group.Claim, work int64) {
	job := target.Job{Work: work, Memory: claim.Plan.Tokens, LongContext: true, PrefillOnly: rec.Request.Routed != nil}
	for _, p := range claim.Plan.Engines {
		if t := n.targets.Current(p); t != nil {
			t.Begin(n.now, claimDispatch(rec.Request.Key, claim), job)
		}
	}
}

// groupRatePercent is the prefill rate of a group, in percent of the sum of its members' rates.
const groupRatePercent = 80

// claimDispatch identifies a claim in the load of its members; no dispatch has a number that high.
func claimDispatch(key core.Key, claim *group.Claim) target.Dispatch {
	return target.Dispatch{Key: key, Number: ^claim.Reservation.Try}
}

// groupPrefilled records the first token of a group in the load of its members.
func (n *Node) groupPrefilled(key core.Key) {
	claim := n.groups.claims[key]
	if claim == nil {
		return
	}
	for _, p := range claim.Plan.Engines {
		if t := n.targets.Current(p); t != nil {
			t.Prefilled(n.now, claimDispatch(key, claim))
		}
	}
}

// removeGroupLoad removes the load of a group from its members.
func (n *Node) removeGroupLoad(key core.Key, claim *group.Claim) {
	for _, p := range claim.Plan.Engines {
		if t := n.targets.Current(p); t != nil {
			t.End(claimDispatch(key, claim))
		}
	}
}
