package node

import (
	"maps"
	"slices"

	"carobshunt/api"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/hostlist"
)

// directory maps teams to the hosts that serve them, by the published host list and document. It is immutable and
// rebuilt when one of them changes, so that snapshots can share it.
type directory struct {
	cells *cell.Map
	// callers maps the peer addresses of the listed entry hosts to their caller addresses.
	callers map[string]string
	// rateShares maps each team to its share of the sum of all teams' rates, from 0 to 1. cellCounts maps it to the
	// number of cells that serve it, which follows from the share.
	rateShares map[string]float64
	cellCounts map[string]int
	// weights maps each team to its published weight.
	weights map[string]int64
}

// rebuildDirectory builds the directory from the host list and document in force, and assigns the teams' limits if their
// hosts may have changed. It does nothing without a host list; without a document, no team has a share.
func (n *Node) rebuildDirectory() {
	if n.hosts == nil {
		return
	}
	d := &directory{
		cells:      n.cells,
		callers:    make(map[string]string),
		rateShares: make(map[string]float64),
		cellCounts: make(map[string]int),
		weights:    make(map[string]int64),
	}
	for _, h := range n.hosts.Hosts {
		if h.Role == hostlist.RoleEntry {
			d.callers[h.Peer] = h.Address
		}
	}
	if doc := n.config.Document(); doc != nil {
		total := 0.0
		for _, t := range doc.Teams {
			total += float64(t.TokensPerSecond)
		}
		for _, t := range doc.Teams {
			share := float64(t.TokensPerSecond) / total
			d.rateShares[t.Name] = share
			d.weights[t.Name] = t.Weight
			d.cellCounts[t.Name] = d.cells.TeamCells(share)
		}
	}
	previous := n.directory
	n.directory = d
	if previous == nil || !d.sameAssignment(previous) {
		n.limits.Assign(n.now, d.serving)
	}
}

// sameAssignment reports whether each team is served by the same hosts as under another directory. It is false after a
// new host list, even one with the same hosts.
func (d *directory) sameAssignment(other *directory) bool {
	return d.cells == other.cells && maps.Equal(d.cellCounts, other.cellCounts)
}

// serving returns the peer addresses of the hosts that serve a team, sorted.
func (d *directory) serving(team string) []string { return d.cells.TeamHosts(team, d.rateShares[team]) }

// callersOf returns the caller addresses of the hosts that serve a team.
func (d *directory) callersOf(team string) []string {
	serving := d.serving(team)
	out := make([]string, len(serving))
	for i, peer := range serving {
		out[i] = d.callers[peer]
	}
	return out
}

// maxReferrals is the greatest number of hosts that a refused caller is referred to.
const maxReferrals = 8

// referrals returns the caller addresses of some of the hosts that serve a team.
func (d *directory) referrals(team string) []string {
	callers := d.callersOf(team)
	return callers[:min(len(callers), maxReferrals)]
}

// HostsFor returns the entry hosts that a team's callers are to use, of those that this host knows to take requests. If
// it knows none, it returns the caller addresses of hosts to ask instead. With a single cell, or without a team, all
// hosts are to be used.
func (s *Snapshot) HostsFor(team string) (hosts []api.Host, ask []string) {
	if s.directory == nil || s.directory.cells.Len() == 1 || team == "" {
		return s.Hosts, nil
	}
	serving := s.directory.callersOf(team)
	for _, h := range s.Hosts {
		if slices.Contains(serving, h.Address) {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) > 0 {
		return hosts, nil
	}
	return nil, s.directory.referrals(team)
}
