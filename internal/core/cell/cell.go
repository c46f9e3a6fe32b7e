// Package cell cuts a fleet into cells of a few entry hosts and the targets that go with them, so that what one host
// must know and exchange does not grow with the fleet. A cell is a pure function of the published host list: hosts
// that know the same list agree on it without a message.
//
// Cells are the leaves of a binary tree over the hashes of peer addresses. A node of the tree is split when it holds
// more than maxHosts hosts and both halves keep at least minHosts. A host that comes or goes therefore changes its own
// cell, and now and then splits or joins it; all others stay as they are. A fleet of up to maxHosts hosts is one cell.
package cell

import (
	"slices"

	"carobshunt/internal/hostlist"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a cell, in hosts.
const (
	minHosts = 4
	maxHosts = 12
)

// maxDepth bounds the tree.
const maxDepth = 32

// ID names a cell: the leading bits of the hashes in it.
type ID struct {
	Depth  uint8
	Prefix uint64
}

// contains tells whether a hash belongs under the node.
func (id ID) contains(hash uint64) bool {
	return id.Depth == 0 || hash>>(64-id.Depth) == id.Prefix
}

// child is the node one bit further down.
func (id ID) child(bit uint64) ID { return ID{Depth: id.Depth + 1, Prefix: id.Prefix<<1 | bit} }

// parent is the node one bit further up.
func (id ID) parent() ID { return ID{Depth: id.Depth - 1, Prefix: id.Prefix >> 1} }

// Map holds the cells of one host list. It must not be changed once made.
type Map struct {
	// hosts are the entry hosts' peer addresses by cell, each sorted.
	hosts map[ID][]string
	// split are the nodes that have children.
	split map[ID]bool
}

// placed is a peer address with its hash.
type placed struct {
	peer string
	hash uint64
}

func hashOf(address string) uint64 { return xxhash.Sum64String(address) }

// New works out the cells of a host list.
func New(list *hostlist.List) *Map {
	m := &Map{hosts: make(map[ID][]string), split: make(map[ID]bool)}
	var all []placed
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleEntry {
			all = append(all, placed{peer: h.Peer, hash: hashOf(h.Peer)})
		}
	}
	m.grow(ID{}, all)
	return m
}

func (m *Map) grow(id ID, hosts []placed) {
	left, right := halves(id, hosts)
	if len(hosts) <= maxHosts || len(left) < minHosts || len(right) < minHosts || id.Depth == maxDepth {
		m.hosts[id] = peersOf(hosts)
		return
	}
	m.split[id] = true
	m.grow(id.child(0), left)
	m.grow(id.child(1), right)
}

func halves(id ID, hosts []placed) (left, right []placed) {
	zero := id.child(0)
	for _, h := range hosts {
		if zero.contains(h.hash) {
			left = append(left, h)
		} else {
			right = append(right, h)
		}
	}
	return left, right
}

func peersOf(hosts []placed) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.peer
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Len is the number of cells.
func (m *Map) Len() int { return len(m.hosts) }

// Of returns the cell in which an address falls: a peer address, a target's, or any other name.
func (m *Map) Of(address string) ID { return m.leaf(hashOf(address)) }

func (m *Map) leaf(hash uint64) ID {
	id := ID{}
	for m.split[id] {
		id = id.child(hash >> (63 - id.Depth) & 1)
	}
	return id
}

// Hosts returns the peer addresses of a cell's hosts, sorted. It must not be changed.
func (m *Map) Hosts(id ID) []string { return m.hosts[id] }

// HostsFor returns the peer addresses of the hosts in whose cell an address falls.
func (m *Map) HostsFor(address string) []string { return m.hosts[m.Of(address)] }
