package cell

import (
	"fmt"
	"slices"
	"testing"

	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// fleet returns a host list with entry hosts and engines in 8 availability zones; the engines serve four models.
func fleet(hosts, engines int) *hostlist.List {
	list := &hostlist.List{Version: 1}
	for i := range hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), Peer: fmt.Sprintf("10.1.%d.%d:2", i/250, i%250),
			Zone: fmt.Sprint(i % 8), Role: hostlist.RoleEntry, State: hostlist.StateLive,
		})
	}
	for i := range engines {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: fmt.Sprintf("10.2.%d.%d:1", i/250, i%250), Zone: fmt.Sprint(i % 8),
			Role: hostlist.RoleEngine, State: hostlist.StateLive, Models: []string{fmt.Sprint("model-", i%4)},
		})
	}
	return list
}

func TestSmallFleetIsOneCell(t *testing.T) {
	for _, hosts := range []int{1, 4, 12} {
		list := fleet(hosts, 23)
		m := New(list)
		assert.Equal(t, m.Len(), 1)
		assert.Equal(t, len(m.Hosts(ID{})), hosts)
		assert.Equal(t, m.Scope(list, list.Hosts[0].Peer), list)
		assert.Equal(t, len(m.TeamHosts("desk", 0.001)), hosts)
	}
}

func TestCellsKeepTheirBoundsAtEverySize(t *testing.T) {
	for _, hosts := range []int{13, 30, 64, 256, 1000, 2000} {
		list := fleet(hosts, 0)
		m := New(list)
		sum, largest := 0, 0
		for _, members := range m.hosts {
			assert.Assert(t, len(members) >= minHosts, "%d hosts: a cell of %d", hosts, len(members))
			sum += len(members)
			largest = max(largest, len(members))
		}
		assert.Equal(t, sum, hosts)
		assert.Assert(t, largest <= 2*maxHosts, "%d hosts: a cell of %d", hosts, largest)
		for _, h := range list.Hosts {
			assert.Assert(t, slices.Contains(m.HostsFor(h.Peer), h.Peer))
		}
	}
}

// TestOneHostChangesOneCell checks that a host that leaves changes at most its own cell and the one that it merges with.
func TestOneHostChangesOneCell(t *testing.T) {
	list := fleet(500, 0)
	before := New(list)
	for gone := range list.Hosts {
		rest := &hostlist.List{Version: 2, Hosts: slices.Delete(slices.Clone(list.Hosts), gone, gone+1)}
		after := New(rest)
		peer := list.Hosts[gone].Peer
		near := before.HostsFor(peer)
		changed := 0
		for _, h := range rest.Hosts {
			same := slices.Equal(before.HostsFor(h.Peer), after.HostsFor(h.Peer))
			if !same && !slices.Contains(near, h.Peer) {
				changed++
			}
		}
		assert.Assert(t, changed <= 2*maxHosts, "%d hosts of other cells are concerned", changed)
	}
}

func TestScopeIsBoundedAndHasEveryModel(t *testing.T) {
	list := fleet(2000, 6800)
	m := New(list)
	largest := 0
	for i := 0; i < 2000; i += 37 {
		counts := make(map[string]int)
		targets := 0
		for _, h := range m.Scope(list, list.Hosts[i].Peer).Hosts {
			if h.Role == hostlist.RoleEngine {
				targets++
				counts[h.Models[0]]++
			}
		}
		assert.Equal(t, len(counts), 4)
		for model, n := range counts {
			assert.Assert(t, n >= scopeTargets, "%s: %d", model, n)
		}
		largest = max(largest, targets)
	}
	assert.Assert(t, largest <= 120, "a scope of %d targets", largest)
}

func TestEveryTargetIsInTheScopeOfItsCell(t *testing.T) {
	list := fleet(200, 700)
	m := New(list)
	for _, h := range list.Hosts {
		if h.Role != hostlist.RoleEngine {
			continue
		}
		for _, peer := range m.HostsFor(h.Address) {
			assert.Assert(t, slices.ContainsFunc(m.Scope(list, peer).Hosts, func(o hostlist.Host) bool { return o.Address == h.Address }))
		}
	}
}

func TestLargeTeamsHaveMoreHosts(t *testing.T) {
	m := New(fleet(2000, 0))
	small := len(m.TeamHosts("small", 0.0001))
	large := len(m.TeamHosts("large", 0.1))
	assert.Assert(t, small >= 2*minHosts && small <= 4*maxHosts, "%d", small)
	assert.Assert(t, large > 300 && large < 900, "%d", large)
	assert.DeepEqual(t, m.TeamHosts("large", 0.1), m.TeamHosts("large", 0.1))
}

func BenchmarkNewAndScope(b *testing.B) {
	list := fleet(2000, 6800)
	for b.Loop() {
		m := New(list)
		m.Scope(list, list.Hosts[0].Peer)
	}
}
