// Package cell divides a fleet into cells of a few entry hosts and the targets that belong to them, so that the state that
// one host keeps and exchanges does not grow with the fleet. Cells are a pure function of the published host list: hosts
// with the same list agree on them without messages.
//
// Cells are the leaves of a binary tree over the hashes of the entry hosts' peer addresses; targets have no part in it.
// New computes them. A node of the tree is split when it holds more than maxHosts hosts and both halves have at least
// minHosts. Mostly, a host that joins or leaves therefore changes only its own cell. When it makes a node meet these
// conditions, that node's cell is split; when a node no longer meets them, as one half has fallen below minHosts, all
// cells below that node become one. A fleet of up to maxHosts hosts is one cell.
//
// Of maps the address of a target to its cell, as that of a host; Scope selects the targets that a host routes to.
package cell

import (
	"slices"

	"carobshunt/internal/hostlist"

	"github.com/cespare/xxhash/v2"
)

// Thresholds of a split, in hosts: a node with more than maxHosts is split if both halves have at least minHosts. A cell
// has fewer than minHosts only if the whole fleet has, and more than maxHosts where a split would leave one half below
// minHosts.
const (
	minHosts = 4
	maxHosts = 12
)

// maxDepth is the maximum depth of the tree, in bits of the hash.
const maxDepth = 32

// ID identifies a node of the tree, and thus a cell, by the leading Depth bits of the hashes below it.
type ID struct {
	Depth  uint8
	Prefix uint64
}

// contains reports whether a hash lies below the node.
func (id ID) contains(hash uint64) bool {
	return id.Depth == 0 || hash>>(64-id.Depth) == id.Prefix
}

// child returns the child node for the next bit.
func (id ID) child(bit uint64) ID { return ID{Depth: id.Depth + 1, Prefix: id.Prefix<<1 | bit} }

// parent returns the parent node. The root has none.
func (id ID) parent() ID { return ID{Depth: id.Depth - 1, Prefix: id.Prefix >> 1} }

// Map holds the cells of one host list. It is immutable.
type Map struct {
	// hosts are the sorted peer addresses of the entry hosts of each cell.
	hosts map[ID][]string
	// split are the nodes that have children.
	split map[ID]bool
}

// hashedPeer is a peer address with its hash.
type hashedPeer struct {
	peer string
	hash uint64
}

func hashOf(address string) uint64 { return xxhash.Sum64String(address) }

// New computes the cells of a host list.
func New(list *hostlist.List) *Map {
	m := &Map{hosts: make(map[ID][]string), split: make(map[ID]bool)}
	var all []hashedPeer
	for _, h := range list.Hosts {
		if h.Role == hostlist.RoleEntry {
			all = append(all, hashedPeer{peer: h.Peer, hash: hashOf(h.Peer)})
		}
	}
	m.build(ID{}, all)
	return m
}

// build adds the subtree of a node with these hosts.
func (m *Map) build(id ID, hosts []hashedPeer) {
	left, right := halves(id, hosts)
	if len(hosts) <= maxHosts || len(left) < minHosts || len(right) < minHosts || id.Depth == maxDepth {
		m.hosts[id] = peersOf(hosts)
		return
	}
	m.split[id] = true
	m.build(id.child(0), left)
	m.build(id.child(1), right)
}

func halves(id ID, hosts []hashedPeer) (left, right []hashedPeer) {
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

func peersOf(hosts []hashedPeer) []string {
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.peer
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Len returns the number of cells.
func (m *Map) Len() int { return len(m.hosts) }

// Of returns the cell to which an address is hashed: a peer address, a target's address or any other name.
func (m *Map) Of(address string) ID { return m.leaf(hashOf(address)) }

func (m *Map) leaf(hash uint64) ID {
	id := ID{}
	for m.split[id] {
		id = id.child(hash >> (63 - id.Depth) & 1)
	}
	return id
}

// Hosts returns the peer addresses of a cell's hosts, sorted. The caller must not change the slice.
func (m *Map) Hosts(id ID) []string { return m.hosts[id] }

// HostsFor returns the peer addresses of the hosts of an address's cell. The caller must not change the slice.
func (m *Map) HostsFor(address string) []string { return m.hosts[m.Of(address)] }
