package member

import (
	"cmp"
	"slices"

	"carobshunt/internal/core/cell"
	"carobshunt/internal/hostlist"

	"github.com/cespare/xxhash/v2"
)

// The overlay: each host exchanges state with the hosts of its own cell, and with the hosts next to it on two rings,
// which are the links between cells. A ring orders hosts by a hash of its name and their address, so that every host
// works out the same rings from the same host list, and a host that comes or goes changes two neighbours on each. One
// ring holds the own availability zone, so that a zone that is cut off stays one piece; the other holds all hosts.

// Neighbours returns the entry hosts that the host with that peer address exchanges state with, in order of peer
// address.
func Neighbours(list *hostlist.List, cells *cell.Map, self, zone string) []hostlist.Host {
	others := entryHosts(list, self)
	if cells.Len() > 1 {
		others = append(inCell(others, cells.HostsFor(self)), onRings(others, self, zone)...)
	}
	slices.SortFunc(others, comparePeers)
	return slices.CompactFunc(others, func(a, b hostlist.Host) bool { return a.Peer == b.Peer })
}

func inCell(others []hostlist.Host, mates []string) []hostlist.Host {
	var out []hostlist.Host
	for _, host := range others {
		if slices.Contains(mates, host.Peer) {
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

func onRings(others []hostlist.Host, self, zone string) []hostlist.Host {
	sameZone := slices.DeleteFunc(slices.Clone(others), func(h hostlist.Host) bool { return h.Zone != zone })
	return append(around(sameZone, self, zone+"/"), around(others, self, "/")...)
}

// around returns the hosts before and after this one on a ring.
func around(hosts []hostlist.Host, self, ring string) []hostlist.Host {
	if len(hosts) == 0 {
		return nil
	}
	own := place(ring, self)
	before, after := hosts[0], hosts[0]
	for _, host := range hosts[1:] {
		at := place(ring, host.Peer)
		if at-own < place(ring, after.Peer)-own {
			after = host
		}
		if own-at < own-place(ring, before.Peer) {
			before = host
		}
	}
	return []hostlist.Host{before, after}
}

// place is a host's position on a ring. Differences of positions wrap around.
func place(ring, address string) uint64 { return xxhash.Sum64String(ring + "|" + address) }

// rankZone returns the peer addresses of a zone's live entry hosts in the order in which they are to read the
// platform: by rendezvous hash.
func rankZone(list *hostlist.List, zone string) []string {
	var out []string
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleEntry && host.Zone == zone && host.State == hostlist.StateLive {
			out = append(out, host.Peer)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(place(zone, b), place(zone, a)), cmp.Compare(a, b))
	})
	return out
}
