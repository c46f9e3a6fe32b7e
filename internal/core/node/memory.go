package node

import (
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/rendezvous"
	"carobshunt/internal/core/sweep"
	"carobshunt/internal/hostlist"
)

// MemoryListed is an engine's list of what holds its memory, in answer to a ListMemory.
type MemoryListed struct {
	Target   string
	Holdings []sweep.Holding
}

// ListMemory asks an engine for the list of what holds its memory.
type ListMemory struct{ Target string }

// CancelHolding frees engine memory whose holder is no longer entitled to it.
type CancelHolding struct {
	Target string
	Kind   sweep.Kind
	Name   string
	Reason sweep.Reason
}

func (MemoryListed) input()   {}
func (ListMemory) action()    {}
func (CancelHolding) action() {}

// SweepCounts counts the holdings that this host has asked engines to cancel, by reason.
type SweepCounts struct {
	Overdue   uint64
	Orphaned  uint64
	Forgotten uint64
}

func (c *SweepCounts) add(r sweep.Reason) {
	switch r {
	case sweep.ReasonOverdue:
		c.Overdue++
	case sweep.ReasonOrphaned:
		c.Orphaned++
	case sweep.ReasonForgotten:
		c.Forgotten++
	}
}

// sweepState is the part of the Node that sweeps engine memory.
type sweepState struct {
	sweeper *sweep.Sweeper
	// listed is when this host last requested the engines' lists.
	listed core.Time
	counts SweepCounts
}

func newSweepState() sweepState {
	return sweepState{sweeper: sweep.New(), listed: -sweep.Interval}
}

// liveHosts returns the peer addresses of this host and of its reachable peers.
func (n *Node) liveHosts() []string { return n.appendLiveHosts(nil) }

// appendLiveHosts appends liveHosts to a slice.
func (n *Node) appendLiveHosts(out []string) []string {
	out = append(out, n.opts.Peer)
	for _, address := range n.peers.Addresses() {
		if n.peers.Get(address).Alive(n.now) {
			out = append(out, address)
		}
	}
	return out
}

// inCellOf returns those of the hosts that are in the cell of a target. Only they know each other's state and are
// responsible for the target.
func (n *Node) inCellOf(target string, hosts []string) []string {
	if n.cells == nil || n.cells.Len() == 1 {
		return hosts
	}
	cell := n.cells.HostsFor(target)
	return slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return !slices.Contains(cell, h) })
}

// sweepRank returns this host's rank among the sweepers of an engine, from 0; false if it is not one of them.
func (n *Node) sweepRank(engine string, live []string) (int, bool) {
	rank := rendezvous.Position("sweep "+engine, n.opts.Peer, n.inCellOf(engine, live))
	return rank, rank >= 0 && rank < sweep.Ranks
}

// sweepTick requests the lists of the engines that this host sweeps.
func (n *Node) sweepTick() {
	if n.opts.EnginesExpire {
		return
	}
	n.sweeps.sweeper.Step(n.now)
	if n.now-n.sweeps.listed < sweep.Interval {
		return
	}
	n.sweeps.listed = n.now
	live := n.liveHosts()
	for _, t := range n.targets.All() {
		if t.Role != hostlist.RoleEngine {
			continue
		}
		if _, mine := n.sweepRank(t.Address, live); !mine {
			n.sweeps.sweeper.Forget(t.Address)
			continue
		}
		n.do(ListMemory{Target: t.Address})
	}
}

// applyEngineInput handles load and cache reports of engines, and their answers about memory, reservations and
// orders.
func (n *Node) applyEngineInput(in Input) {
	switch in := in.(type) {
	case LoadReceived:
		n.loadReceived(in)
	case CacheEventReceived:
		n.cacheEventReceived(in)
	case MemoryListed:
		n.memoryListed(in)
	case ReservationAnswered:
		n.reservationAnswered(in)
	case OrdersRead:
		n.ordersRead(in)
	case OrderEnded:
		n.orderEnded(in)
	}
}

// memoryListed cancels the holdings of an engine that the sweeper finds overdue, orphaned or forgotten.
func (n *Node) memoryListed(in MemoryListed) {
	rank, mine := n.sweepRank(in.Target, n.liveHosts())
	if !mine {
		return
	}
	for _, v := range n.sweeps.sweeper.Check(n.now, in.Target, rank, in.Holdings, n.presence) {
		n.sweeps.counts.add(v.Reason)
		n.do(CancelHolding{Target: in.Target, Kind: v.Holding.Kind, Name: v.Holding.Name, Reason: v.Reason})
	}
}

// presence returns what this host knows of the process that made a stream.
func (n *Node) presence(s core.Stream) sweep.Presence {
	if s.Home.Address == n.opts.Self.Address {
		return n.ownPresence(s)
	}
	p := n.peers.ByCallersAddress(s.Home.Address)
	switch {
	case p == nil || !p.Alive(n.now):
		return sweep.Unknown
	case p.Last.Incarnation == s.Home.Incarnation:
		return sweep.Alive
	}
	return sweep.Replaced
}

// ownPresence is presence for a stream that was made at this host's address.
func (n *Node) ownPresence(s core.Stream) sweep.Presence {
	if s.Home.Incarnation != n.opts.Self.Incarnation {
		return sweep.Replaced
	}
	rec := n.active[s.Key]
	switch {
	case rec == nil:
		return sweep.Forgotten
	case rec.State == ledger.Dispatched && rec.LastDispatch == s.Dispatch:
		return sweep.Alive
	case n.groups.claims[s.Key] != nil:
		return sweep.Alive
	}
	return sweep.Forgotten
}
