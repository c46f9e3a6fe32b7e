package node

import (
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/throttle"
)

// senderState is what a host knows of the hosts that may send to limited targets.
type senderState struct {
	// hosts are the peer addresses of the hosts that take part, this one included if it does. They have been the same since
	// hostsSince.
	hosts      []string
	hostsSince core.Time
}

// senderTimeout is how long a host that is no longer heard from counts as a sender. It may only be cut off.
const senderTimeout = 15 * time.Second

// updateSenders updates the hosts that may send to limited targets.
func (n *Node) updateSenders() {
	var hosts []string
	if !n.drain.active {
		hosts = append(hosts, n.opts.Peer)
	}
	for _, address := range n.peers.Addresses() {
		if p := n.peers.Get(address); n.mayBeSender(p) {
			hosts = append(hosts, address)
		}
	}
	slices.Sort(hosts)
	if !slices.Equal(hosts, n.senders.hosts) {
		n.senders.hosts, n.senders.hostsSince = hosts, n.now
	}
	n.targets.UpdateSenders(n.now)
}

// mayBeSender reports whether a peer may be sending to limited targets.
func (n *Node) mayBeSender(p *member.Peer) bool {
	recent := p.Alive(n.now) || p.Known && n.now-p.LastSeen < senderTimeout
	return recent && !p.Last.Draining && !p.Leaving
}

// fleetView is how the targets of a host see the other hosts.
type fleetView struct{ n *Node }

// Self implements target.Fleet.
func (f fleetView) Self() string { return f.n.opts.Peer }

// Senders implements target.Fleet.
func (f fleetView) Senders(address string, limit float64) []string {
	return throttle.Senders(address, limit, f.n.inCellOf(address, f.n.senders.hosts))
}

// Settled implements target.Fleet.
func (f fleetView) Settled() bool { return f.n.now-f.n.senders.hostsSince >= throttle.SettleTime }
