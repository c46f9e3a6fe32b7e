package member

import (
	"cmp"
	"slices"
	"strconv"

	"carobshunt/internal/hostlist"

	"github.com/cespare/xxhash/v2"
)

// The overlay: each host exchanges state with the hosts next to it on a few rings. A ring orders hosts by a hash of
// its number and their address, so that every host works out the same rings from the same host list, and a host that
// comes or goes changes two neighbours on each. Half of the rings hold one availability zone each, so that a zone
// that is cut off stays one piece; the others hold all hosts, and are the long links between zones.
const (
	zoneRings   = 2
	globalRings = 2
	// Degree is the most neighbours that the overlay gives a host: two on each ring. Up to that many, all other
	// hosts are neighbours.
	Degree = 2 * (zoneRings + globalRings)
)

// Neighbours returns the entry hosts that the host with that peer address exchanges state with, in order of peer
// address.
func Neighbours(list *hostlist.List, self, zone string) []hostlist.Host {
	others := entryHosts(list, self)
	if len(others) > Degree {
		others = onRings(others, self, zone)
	}
	slices.SortFunc(others, comparePeers)
	return slices.CompactFunc(others, func(a, b hostlist.Host) bool { return a.Peer == b.Peer })
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
	var out []hostlist.Host
	for ring := range zoneRings {
		out = appendAround(out, sameZone, self, zone+"/"+strconv.Itoa(ring))
	}
	for ring := range globalRings {
		out = appendAround(out, others, self, "/"+strconv.Itoa(ring))
	}
	return out
}

// appendAround appends the hosts before and after this one on a ring.
func appendAround(out, hosts []hostlist.Host, self, ring string) []hostlist.Host {
	if len(hosts) == 0 {
		return out
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
	return append(out, before, after)
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
