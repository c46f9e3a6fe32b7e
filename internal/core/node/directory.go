package node

import (
	"maps"
	"slices"

	"carobshunt/api"
	"carobshunt/internal/core/cell"
	"carobshunt/internal/hostlist"
)

// directory is what the published host list and document say of who serves whom. It is made anew when one of them
// changes and not changed after that, so that snapshots share it.
type directory struct {
	cells *cell.Map
	// callers are the callers' addresses of the listed entry hosts by peer address.
	callers map[string]string
	// parts are the teams' parts of all teams' rates, and served the numbers of cells that follow from them.
	parts  map[string]float64
	served map[string]int
	// weights are the teams' published weights.
	weights map[string]int64
}

// renewDirectory works the directory out again. It needs a host list; without a document no team has a part.
func (n *Node) renewDirectory() {
	if n.hosts == nil {
		return
	}
	d := &directory{
		cells:   n.cells,
		callers: make(map[string]string),
		parts:   make(map[string]float64),
		served:  make(map[string]int),
		weights: make(map[string]int64),
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
			part := float64(t.TokensPerSecond) / total
			d.parts[t.Name] = part
			d.weights[t.Name] = t.Weight
			d.served[t.Name] = d.cells.TeamCells(part)
		}
	}
	before := n.directory
	n.directory = d
	if before == nil || !d.assignsLike(before) {
		n.limits.Assign(n.now, d.serving)
	}
}

// assignsLike tells whether the same hosts serve each team as under another directory.
func (d *directory) assignsLike(other *directory) bool {
	return d.cells == other.cells && maps.Equal(d.served, other.served)
}

// serving returns the peer addresses of the hosts that serve a team, sorted.
func (d *directory) serving(team string) []string { return d.cells.TeamHosts(team, d.parts[team]) }

// callersOf returns the callers' addresses of the hosts that serve a team.
func (d *directory) callersOf(team string) []string {
	serving := d.serving(team)
	out := make([]string, len(serving))
	for i, peer := range serving {
		out[i] = d.callers[peer]
	}
	return out
}

// maxReferrals is how many hosts a caller is told of that is to ask elsewhere.
const maxReferrals = 8

// referrals are some of the hosts that serve a team, by callers' address.
func (d *directory) referrals(team string) []string {
	callers := d.callersOf(team)
	return callers[:min(len(callers), maxReferrals)]
}

// HostsFor returns the entry hosts that a team's callers are to use, of those that this host knows to be well. When it
// knows none of them, it returns callers' addresses of hosts to ask instead.
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
