package node

import (
	"fmt"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/order"
	"carobshunt/internal/core/rendezvous"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// ReadOrders asks an engine which models it holds and which fencing number is the highest that it has seen.
type ReadOrders struct{ Target string }

// OrdersRead is an engine's answer to a ReadOrders.
type OrdersRead struct {
	Target string
	State  order.State
}

// SendOrder sends an order to an engine: the list of all models that it has to hold, see package order.
type SendOrder struct {
	Target string
	Order  order.Order
	// Deadline is checked again right before each write.
	Deadline core.Time
}

// OrderEnding is how an order ended.
type OrderEnding int

// The endings of an order.
const (
	// OrderTaken: the engine accepted it, with status 200.
	OrderTaken OrderEnding = iota
	// OrderRefused: the engine answered with status 409, since it has seen this fencing number or a higher one.
	OrderRefused
	// OrderLost: any other ending. In general it is not known whether the engine accepted the order. This includes an order
	// that was not sent because its deadline had passed, and one that was answered with any status other than 200 or 409.
	OrderLost
)

// OrderEnded reports the end of a SendOrder.
type OrderEnded struct {
	Target string
	Ending OrderEnding
}

func (ReadOrders) action() {}
func (SendOrder) action()  {}
func (OrdersRead) input()  {}
func (OrderEnded) input()  {}

// OrderCounts counts orders to engines.
type OrderCounts struct {
	Sent    uint64
	Taken   uint64
	Refused uint64
	Lost    uint64
	// Loads counts the orders that load a model; Paced counts the times that one was delayed to keep to the weight
	// store's rate.
	Loads uint64
	Paced uint64
	// Behind counts the readings, while this host led the engine or stood by for it, in which the engine's fencing number
	// had a revision above that in force here.
	Behind uint64
}

// EventBehind reports an engine that has seen orders of a newer revision than the one in force here.
const EventBehind Event = "engine has seen a newer revision"

// orderInterval is the time between two regular readings of an engine by its leader or standby. The leader also reads it
// after each order.
const orderInterval = 2 * time.Second

// orderState is the part of the Node that sends orders to engines.
type orderState struct {
	// terms are this host's leadership terms, by engine.
	terms map[string]*order.Term
	// standbys are this host's roles as standby, by engine; one is active while this host ranks second for the engine.
	standbys map[string]*order.Standby
	pace     order.Pace
	lastRead core.Time
	// highestSeen is the highest revision above this host's own that an engine has reported as seen.
	highestSeen uint64
	counts      OrderCounts
	// shares are the hosts' shares of the weight store's rate sharedRate under the host list sharedHosts.
	shares      map[string]int64
	sharedRate  int64
	sharedHosts uint64
}

// updateShares computes the shares of a rate, unless the rate and the host list are unchanged.
func (s *orderState) updateShares(rate int64, hostsVersion uint64, published func() []string) {
	if s.shares != nil && s.sharedRate == rate && s.sharedHosts == hostsVersion {
		return
	}
	s.shares = order.Shares(rate, published())
	s.sharedRate, s.sharedHosts = rate, hostsVersion
}

func newOrderState() orderState {
	return orderState{
		terms:    make(map[string]*order.Term),
		standbys: make(map[string]*order.Standby),
		lastRead: -orderInterval,
	}
}

// publishedEntryHosts returns the peer addresses of all entry hosts in the host list.
func (n *Node) publishedEntryHosts() []string {
	var out []string
	for _, host := range n.hosts.Hosts {
		if host.Role == hostlist.RoleEntry {
			out = append(out, host.Peer)
		}
	}
	return out
}

// leaderCandidates returns the live hosts that have a share of the weight store's rate and are not draining.
func (n *Node) leaderCandidates() []string {
	var out []string
	for _, address := range n.liveHosts() {
		if n.orders.shares[address] > 0 && !n.isDraining(address) {
			out = append(out, address)
		}
	}
	return out
}

// isDraining reports whether a live host, this one or a peer, is draining.
func (n *Node) isDraining(address string) bool {
	if address == n.opts.Peer {
		return n.drain.active
	}
	return n.peers.Get(address).Last.Draining
}

// ordersTick updates, while this host is ready, which engines it leads or stands by for, and reads their state when that
// is due.
func (n *Node) ordersTick() {
	if n.notReady() != "" {
		return
	}
	rate := n.config.Document().Preset().WeightLoadsPerMinute
	n.orders.updateShares(rate, n.hosts.Version, n.publishedEntryHosts)
	n.orders.pace.Set(n.now, n.orders.shares[n.opts.Peer])
	candidates := n.leaderCandidates()
	due := n.now-n.orders.lastRead >= orderInterval
	if due {
		n.orders.lastRead = n.now
	}
	for _, t := range n.targets.All() {
		if t.Role != hostlist.RoleEngine {
			continue
		}
		position := rendezvous.Position("order "+t.Address, n.opts.Peer, n.inCellOf(t.Address, candidates))
		n.term(t.Address).Update(n.now, position == 0)
		n.standby(t.Address).Update(n.now, position == 1)
		if due && (n.mayOrder(t) || n.watches(t)) {
			n.do(ReadOrders{Target: t.Address})
		}
	}
}

// term returns this host's leadership term for an engine; it is created on first use.
func (n *Node) term(engine string) *order.Term {
	t := n.orders.terms[engine]
	if t == nil {
		t = &order.Term{}
		n.orders.terms[engine] = t
	}
	return t
}

// standby returns this host's role as standby for an engine; it is created on first use.
func (n *Node) standby(engine string) *order.Standby {
	s := n.orders.standbys[engine]
	if s == nil {
		s = &order.Standby{}
		n.orders.standbys[engine] = s
	}
	return s
}

// watches reports whether this host stands by for the engine, the engine is live and the document names models for it.
func (n *Node) watches(t *target.Target) bool {
	_, placed := order.Wanted(n.config.Document(), t.Address)
	return placed && t.State == hostlist.StateLive && n.standby(t.Address).Active()
}

// mayOrder reports whether this host may order the engine as its leader now: the engine is live, the document names models
// for it, and this host's term allows it, see order.Term.MayOrder.
func (n *Node) mayOrder(t *target.Target) bool {
	if t.State != hostlist.StateLive {
		return false
	}
	_, placed := order.Wanted(n.config.Document(), t.Address)
	return placed && n.term(t.Address).MayOrder(n.now, t.ChecksFencing)
}

// ordersRead handles an engine's state: it sends the next order if there is one, this host may send it as the leader or as
// the standby that takes over, and, for an order that loads a model, the pace allows it.
func (n *Node) ordersRead(in OrdersRead) {
	t := n.targets.Get(in.Target)
	if t == nil || n.notReady() != "" || !n.mayOrder(t) && !n.watches(t) {
		return
	}
	revision := n.config.Revision()
	if in.State.Highest.Revision > revision {
		n.noteNewerRevision(in)
		return
	}
	wanted, _ := order.Wanted(n.config.Document(), t.Address)
	next, loads, ok := order.Next(revision, wanted, in.State)
	takeOver := n.standby(t.Address).Observe(n.now, in.State.Highest, ok)
	if !ok || !n.mayOrder(t) && !takeOver {
		return
	}
	if loads {
		if !n.orders.pace.Take(n.now) {
			n.orders.counts.Paced++
			return
		}
		n.orders.counts.Loads++
	}
	n.orders.counts.Sent++
	n.standby(t.Address).Sent(next.Fence)
	n.do(SendOrder{Target: t.Address, Order: next, Deadline: n.now + order.SendTimeout})
}

// noteNewerRevision counts a reading of an engine that has seen a newer revision, and reports each new highest revision.
func (n *Node) noteNewerRevision(in OrdersRead) {
	n.orders.counts.Behind++
	if in.State.Highest.Revision > n.orders.highestSeen {
		n.orders.highestSeen = in.State.Highest.Revision
		n.do(StateChange{Event: EventBehind, Text: fmt.Sprintf("revision %d seen by %s", n.orders.highestSeen, in.Target)})
	}
}

// orderEnded counts the end of an order. If this host is ready and leads the engine, it reads the engine's state again; a
// standby waits for its next regular reading.
func (n *Node) orderEnded(in OrderEnded) {
	switch in.Ending {
	case OrderTaken:
		n.orders.counts.Taken++
	case OrderRefused:
		n.orders.counts.Refused++
	case OrderLost:
		n.orders.counts.Lost++
	}
	if t := n.targets.Get(in.Target); t != nil && n.notReady() == "" && n.mayOrder(t) {
		n.do(ReadOrders{Target: in.Target})
	}
}
