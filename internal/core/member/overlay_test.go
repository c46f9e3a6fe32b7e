package member

import (
	"fmt"
	"testing"

	"carobshunt/internal/core/cell"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

func listOf(hosts, zones int) *hostlist.List {
	list := &hostlist.List{Version: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Peer: fmt.Sprintf("10.1.%d.%d:2", i/250, i%250),
			Zone: string(rune('a' + i%zones)), Role: hostlist.RoleEntry, State: hostlist.StateLive,
		})
	}
	return list
}

// graph returns the neighbours of each host by peer address.
func graph(list *hostlist.List) map[string][]string {
	cells := cell.New(list)
	out := make(map[string][]string)
	for _, h := range list.Hosts {
		for _, other := range Neighbours(list, cells, h.Peer, h.Zone) {
			out[h.Peer] = append(out[h.Peer], other.Peer)
		}
	}
	return out
}

// maxDegree is the maximum number of neighbours of a host: those of its cell, and two on each of two rings.
const maxDegree = 28

// depth returns the number of hops from one host to the farthest, and the number of hosts reached, over the hosts for
// which keep is true.
func depth(g map[string][]string, from string, keep func(string) bool) (hops, reached int) {
	seen := map[string]bool{from: true}
	for frontier := []string{from}; len(frontier) > 0; hops++ {
		var next []string
		for _, host := range frontier {
			for _, other := range g[host] {
				if !seen[other] && keep(other) {
					seen[other] = true
					next = append(next, other)
				}
			}
		}
		frontier = next
	}
	return hops - 1, len(seen)
}

func TestOverlayIsBoundedSymmetricAndShallow(t *testing.T) {
	for _, one := range []struct{ hosts, zones, maxDepth int }{
		{1, 1, 0}, {2, 2, 1}, {4, 3, 1}, {12, 3, 1}, {13, 3, 2}, {64, 3, 3}, {256, 8, 4}, {2000, 8, 5},
	} {
		list := listOf(one.hosts, one.zones)
		g := graph(list)
		for host, neighbours := range g {
			assert.Assert(t, len(neighbours) <= maxDegree, "%d hosts: %s has %d neighbours", one.hosts, host, len(neighbours))
			for _, other := range neighbours {
				assert.Assert(t, contains(g[other], host), "%d hosts: %s does not name %s", one.hosts, other, host)
			}
		}
		hops, reached := depth(g, list.Hosts[0].Peer, func(string) bool { return true })
		assert.Equal(t, reached, one.hosts)
		assert.Assert(t, hops <= one.maxDepth, "%d hosts: %d hops", one.hosts, hops)
	}
}

func TestPartitionedZoneStaysConnected(t *testing.T) {
	list := listOf(400, 4)
	g := graph(list)
	zone := make(map[string]string)
	for _, h := range list.Hosts {
		zone[h.Peer] = h.Zone
	}
	for _, h := range list.Hosts[:4] {
		_, reached := depth(g, h.Peer, func(other string) bool { return zone[other] == h.Zone })
		assert.Equal(t, reached, 100, "zone %s", h.Zone)
		_, reached = depth(g, h.Peer, func(other string) bool { return zone[other] != list.Hosts[3].Zone || h.Zone == zone[other] })
		assert.Assert(t, reached >= 300)
	}
}

func TestAddedHostChangesFewNeighbours(t *testing.T) {
	before, after := graph(listOf(500, 4)), graph(listOf(501, 4))
	changed := 0
	for host, neighbours := range before {
		for _, other := range after[host] {
			if !contains(neighbours, other) {
				changed++
			}
		}
	}
	assert.Assert(t, changed <= 2*maxDegree, "%d links changed", changed)
}

func contains(list []string, s string) bool {
	for _, one := range list {
		if one == s {
			return true
		}
	}
	return false
}
