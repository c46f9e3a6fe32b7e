package node

import (
	"carobshunt/internal/core/rendezvous"
)

// Hosts that read the platform, or that fetch from other availability zones, have a version before the others and send it to them. These
// duties go to the hosts with the most cores: a slow one would be late for its whole zone.

// rankForDuty returns the hosts, by peer address, in order of preference for a duty: first those with many cores, then the others, each by
// rendezvous hash.
func (n *Node) rankForDuty(duty string, hosts []string) []string {
	strong, weak := n.byCores(hosts)
	return append(rendezvous.Rank(duty, strong), rendezvous.Rank(duty, weak)...)
}

// positionForDuty returns the position of this host in rankForDuty, from 0, or -1 if it is not among the hosts.
func (n *Node) positionForDuty(duty string, hosts []string) int {
	strong, weak := n.byCores(hosts)
	if position := rendezvous.Position(duty, n.opts.Peer, strong); position >= 0 {
		return position
	}
	position := rendezvous.Position(duty, n.opts.Peer, weak)
	if position < 0 {
		return -1
	}
	return len(strong) + position
}

// byCores separates the hosts with at least half of the most cores that one of them has, or whose cores are unknown, from the others.
func (n *Node) byCores(hosts []string) (strong, weak []string) {
	most := 0.0
	for _, host := range hosts {
		most = max(most, n.coresOf(host))
	}
	for _, host := range hosts {
		if cores := n.coresOf(host); cores <= 0 || 2*cores >= most {
			strong = append(strong, host)
		} else {
			weak = append(weak, host)
		}
	}
	return strong, weak
}

// coresOf returns the cores of a host by its peer address; 0 if they are unknown.
func (n *Node) coresOf(host string) float64 {
	if host == n.opts.Peer {
		return n.opts.Capacity.Cores
	}
	if p := n.peers.Get(host); p != nil {
		return p.Last.Capacity.Cores
	}
	return 0
}
