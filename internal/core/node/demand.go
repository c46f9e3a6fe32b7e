package node

import (
	"math"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// demandWindow is the time constant of the exponentially weighted average of the offered work.
const demandWindow = 90 * time.Second

// demand averages the prefill work that is offered to this host, by lane of engines.
type demand struct {
	sum     route.Demand
	updated core.Time
}

// decay ages the sums to the time now.
func (d *demand) decay(now core.Time) {
	keep := math.Exp(-float64(now-d.updated) / float64(demandWindow))
	for i := range d.sum {
		d.sum[i] *= keep
	}
	d.updated = now
}

// add counts offered work, in weighted tokens.
func (d *demand) add(now core.Time, lane target.Lane, work int64) {
	d.decay(now)
	d.sum[lane] += float64(work)
}

// rates returns the averages, in weighted tokens a second. For a process younger than the window, they cover only the
// time since its start.
func (d *demand) rates(now core.Time) route.Demand {
	d.decay(now)
	seen := float64(demandWindow) * (1 - math.Exp(-float64(now)/float64(demandWindow)))
	var out route.Demand
	for i := range out {
		out[i] = d.sum[i] / max(seen/float64(time.Second), 1)
	}
	return out
}

// laneOf returns the lane of engines that a class belongs to.
func laneOf(c document.Class) target.Lane {
	switch c {
	case document.ClassShort:
		return target.LaneShort
	case document.ClassMiddle:
		return target.LaneMiddle
	}
	return target.LaneLong
}

// recordDemand counts the prefill work of a request to engines, less the longest part of its prompt that any of them has
// cached. The work of a group counts whole, and more, since its engines prefill at groupRatePercent of their rates.
func (n *Node) recordDemand(req *core.Request) {
	if n.notReady() != "" || n.isService(req.Model) {
		return
	}
	rec := &ledger.Record{Request: *req, Work: n.workOf(req)}
	if rec.Work.Group {
		n.demand.add(n.now, target.LaneLong, rec.Work.PrefillWork*percent/groupRatePercent)
		return
	}
	cached := int64(0)
	for _, t := range n.targets.All() {
		cached = max(cached, t.CachedTokens(&rec.Request))
	}
	n.demand.add(n.now, laneOf(rec.Work.Class), target.PrefillWork(cached, rec.Request.PromptTokens))
}

// fleetDemand returns the work that is offered to this host and its reachable peers, in weighted tokens a second.
func (n *Node) fleetDemand() route.Demand {
	sum := n.demand.rates(n.now)
	n.eachPeerWork(func(w member.Work) {
		for i := range sum {
			sum[i] += float64(w.Offered[i])
		}
	})
	return sum
}

// fleetQueued returns the prefill work of a class that is queued at this host and its reachable peers, in weighted
// tokens.
func (n *Node) fleetQueued(class document.Class) int64 {
	sum := n.queue.Tokens(class)
	n.eachPeerWork(func(w member.Work) { sum += w.Queued[laneOf(class)] })
	return sum
}

// fleetAhead returns the part of fleetQueued that is served before a new request, taking the peers' queues to be made up
// of the same teams as this host's.
func (n *Node) fleetAhead(rec *ledger.Record) int64 {
	own := n.queue.Tokens(rec.Work.Class)
	if own == 0 {
		return 0 // nothing orders the queues of different hosts: the request is the next one here
	}
	return int64(float64(n.fleetQueued(rec.Work.Class)) * float64(n.queue.Ahead(rec)) / float64(own))
}

// eachPeerWork calls f with the last reported work of each reachable peer. Peers of other cells report none.
func (n *Node) eachPeerWork(f func(member.Work)) {
	for _, address := range n.peers.Addresses() {
		if p := n.peers.Get(address); p.Alive(n.now) {
			f(p.Last.Work)
		}
	}
}

// ownWork returns the work of this host's requests, as its heartbeats report it to peers.
func (n *Node) ownWork() member.Work {
	var w member.Work
	rates := n.demand.rates(n.now)
	for i := range rates {
		w.Offered[i] = int64(rates[i])
	}
	for _, class := range []document.Class{document.ClassShort, document.ClassMiddle, document.ClassLong} {
		w.Queued[laneOf(class)] = n.queue.Tokens(class)
	}
	w.Groups = n.queue.Groups()
	if next := n.groups.next; w.Groups > 0 && next != nil && n.now >= n.groups.failed[next.Request.Key].retryAt {
		w.GroupWaitMs = (n.now - next.Timing.Admitted).Milliseconds()
	}
	return w
}

// groupsWait reports whether a request waits for several engines, at this host or at a reachable peer.
func (n *Node) groupsWait() bool {
	waiting := n.queue.Groups()
	n.eachPeerWork(func(w member.Work) { waiting += w.Groups })
	return waiting > 0
}

// laneInterval is the minimum time between two sizings of the lanes.
const laneInterval = time.Second

// sizeLanes sizes the lanes of each model's engines by the demand for all models together, and divides the long lanes
// into blocks.
func (n *Node) sizeLanes() {
	if !n.usesPolicyInForce() || n.config.Document() == nil || n.now-n.lanesSized < laneInterval {
		return
	}
	n.lanesSized = n.now
	demand := n.fleetDemand()
	protect := n.config.Document().Preset().ProtectShortPercent
	block := 1
	for _, engines := range n.enginesByModel() {
		route.AssignLanes(engines, route.LaneSizes(len(engines), demand, protect))
		block = route.AssignBlocks(engines, block)
	}
}

// enginesByModel groups the engines by the first model that they serve, in the table's order. It leaves out non-reporting
// ones: such an engine would leave its lane short of capacity and its block incomplete.
func (n *Node) enginesByModel() [][]*target.Target {
	var out [][]*target.Target
	index := make(map[string]int)
	for _, t := range n.targets.All() {
		if t.Role != hostlist.RoleEngine || len(t.Models) == 0 || n.nonReporting[t.Address] {
			continue
		}
		i, ok := index[t.Models[0]]
		if !ok {
			i = len(out)
			index[t.Models[0]] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], t)
	}
	return out
}
