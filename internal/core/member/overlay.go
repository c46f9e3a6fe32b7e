package member

import (
	"cmp"
	"slices"

	"carobshunt/internal/core/cell"
	"carobshunt/internal/hostlist"

	"github.com/cespare/xxhash/v2"
)

// The overlay: each host exchanges state with the hosts of its own cell, and with its two neighbours on each of two
// rings, which link the cells. A ring orders hosts by a hash of the ring's name and their address, so that all hosts
// compute the same rings from the same host list, and a host that joins or leaves changes the neighbours of only two
// hosts per ring. One ring holds the hosts of the own availability zone, so that a partitioned zone stays connected in
// itself; the other holds all hosts.

// Neighbours returns the entry hosts that the host self, a peer address, exchanges state with, in order of peer address.
func Neighbours(list *hostlist.List, cells *cell.Map, self, zone string) []hostlist.Host {
	others := entryHosts(list, self)
	if cells.Len() > 1 {
		others = append(inCell(others, cells.HostsFor(self)), ringNeighbours(others, self, zone)...)
	}
	slices.SortFunc(others, comparePeers)
	return slices.CompactFunc(others, func(a, b hostlist.Host) bool { return a.Peer == b.Peer })
}

func inCell(others []hostlist.Host, cellPeers []string) []hostlist.Host {
	var out []hostlist.Host
	for _, host := range others {
		if slices.Contains(cellPeers, host.Peer) {
			out = append(out, host)
		}
	}
	return out
}

func comparePeers(a, b hostlist.Host) int { return cmp.Compare(a.Peer, b.Peer) }

func entryHosts(list *hostlist.List, except string) []hostlist.Host {
	var out []hostlist.Host
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleEntry && host.Peer != except {
			out = append(out, host)
		}
	}
	return out
}

// ringNeighbours returns the neighbours of self on the ring of its availability zone and on the ring of all hosts.
func ringNeighbours(others []hostlist.Host, self, zone string) []hostlist.Host {
	sameZone := slices.DeleteFunc(slices.Clone(others), func(h hostlist.Host) bool { return h.Zone != zone })
	return append(adjacentHosts(sameZone, self, zone+"/"), adjacentHosts(others, self, "/")...)
}

// adjacentHosts returns the hosts before and after self on a ring; both are the same host when there is only one other.
func adjacentHosts(hosts []hostlist.Host, self, ring string) []hostlist.Host {
	if len(hosts) == 0 {
		return nil
	}
	own := ringHash(ring, self)
	before, after := hosts[0], hosts[0]
	for _, host := range hosts[1:] {
		at := ringHash(ring, host.Peer)
		if at-own < ringHash(ring, after.Peer)-own {
			after = host
		}
		if own-at < own-ringHash(ring, before.Peer) {
			before = host
		}
	}
	return []hostlist.Host{before, after}
}

// ringHash returns a host's position on a ring. Differences of positions wrap around.
func ringHash(ring, address string) uint64 { return xxhash.Sum64String(ring + "|" + address) }

// rankReaders returns the peer addresses of an availability zone's entry hosts that the host list has in the state live, in
// the order in which they are preferred as readers of the platform: by rendezvous hash.
func rankReaders(list *hostlist.List, zone string) []string {
	var out []string
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleEntry && host.Zone == zone && host.State == hostlist.StateLive {
			out = append(out, host.Peer)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(ringHash(zone, b), ringHash(zone, a)), cmp.Compare(a, b))
	})
	return out
}
