package node

import (
	"strings"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/evacuation"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/member"
)

// EvacuationsRead carries the evacuated availability zones that this host has read from the platform.
type EvacuationsRead struct{ Published evacuation.Published }

func (EvacuationsRead) input() {}

// evacuationsRead applies what the platform says, and tells all peers of a change at once: they must stop sending to the zone in
// time.
func (n *Node) evacuationsRead(in EvacuationsRead) {
	n.evacuations.Offer(n.now, in.Published)
	if n.updateEvacuations("the platform") {
		n.announceEvacuations()
	}
}

// evacuationsPublished applies what a peer's heartbeat says. Where hosts only know some of the others, the host passes a change
// on at once; elsewhere each host hears of it from one that reads the platform.
func (n *Node) evacuationsPublished(hb *member.Heartbeat) {
	n.evacuations.Offer(n.now, hb.Evacuations)
	if n.updateEvacuations(hb.Peer) && n.peers.Listed() {
		n.announceEvacuations()
	}
}

// announceEvacuations sends this host's state to the peers that are not known to have its evacuated zones.
func (n *Node) announceEvacuations() {
	version := n.evacuations.Published().Version
	n.announce(func(p *member.Peer) bool { return p.Last.Evacuations.Version < version })
}

// updateEvacuations brings the zones in force up to date, by the word of a source, and reports whether they have changed.
func (n *Node) updateEvacuations(source string) bool {
	change := n.evacuations.Update(n.now)
	if change.Empty() {
		return false
	}
	n.targets.SetEvacuated(n.now, n.evacuations.Zones(), change.Ended)
	if len(change.Evacuated) > 0 {
		n.do(StateChange{Event: EventZoneEvacuated, Text: strings.Join(change.Evacuated, ", ") + ", from " + source})
	}
	if len(change.Ended) > 0 {
		n.do(StateChange{Event: EventEvacuationEnded, Text: strings.Join(change.Ended, ", ") + ", from " + source})
	}
	n.refuseEvacuated()
	n.requestPlacement()
	return true
}

// evacuationRetryAfter is the base of the retry-after time of a request whose targets are all in evacuated zones. Nobody knows
// when an evacuation will end; callers that return sooner would only be refused again.
const evacuationRetryAfter = 3 * time.Second

// allEvacuated reports whether there are targets that may serve a request, and all that don't leave are in evacuated zones.
func (n *Node) allEvacuated(req *core.Request) bool {
	if len(n.evacuations.Zones()) == 0 {
		return false
	}
	found := false
	for _, t := range n.targets.All() {
		if !t.Serves(req.Model) || t.Leaves() || !req.AllowsZone(t.Zone) {
			continue
		}
		if !t.Evacuated() {
			return false
		}
		found = true
	}
	return found
}

// checkEvacuated refuses a request that no target may serve until an evacuation ends. The zero Result means no refusal.
func (n *Node) checkEvacuated(req *core.Request) core.Result {
	if !n.allEvacuated(req) {
		return core.Result{}
	}
	return core.Result{
		Code: api.CodeEvacuated, Message: "all targets are in evacuated zones", RetryAfter: n.retryAfter(evacuationRetryAfter),
	}
}

// refuseEvacuated ends the waiting requests that no target may serve until an evacuation ends.
func (n *Node) refuseEvacuated() {
	var refused []*ledger.Record
	n.queue.All(n.now, func(rec *ledger.Record) {
		if n.allEvacuated(&rec.Request) {
			refused = append(refused, rec)
		}
	})
	for _, rec := range refused {
		n.finishIfRefused(rec, n.checkEvacuated(&rec.Request))
	}
}
