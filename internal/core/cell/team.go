package cell

import (
	"slices"
	"strconv"
)

// teamCells is how many cells serve a team at the least: the loss of one must not take the team with it.
const teamCells = 2

// teamHeadroom is how many times a team's part of the fleet its cells are sized for.
const teamHeadroom = 2

// TeamHosts returns the peer addresses of the hosts that serve a team, sorted. Part is the team's part of the rates
// of all teams, from 0 to 1: a large team is served by more cells.
func (m *Map) TeamHosts(team string, part float64) []string {
	var out []string
	for _, id := range m.teamCells(team, part) {
		out = append(out, m.hosts[id]...)
	}
	slices.Sort(out)
	return out
}

// TeamCells is how many cells serve a team: a power of two, so that small changes of rates change nothing, or all.
func (m *Map) TeamCells(part float64) int {
	wanted := float64(teamCells)
	for wanted < part*teamHeadroom*float64(len(m.hosts)) {
		wanted *= 2
	}
	return min(int(wanted), len(m.hosts))
}

// teamCells draws cells by hash until there are enough different ones.
func (m *Map) teamCells(team string, part float64) []ID {
	wanted := m.TeamCells(part)
	out := make([]ID, 0, wanted)
	for draw := 0; len(out) < wanted; draw++ {
		id := m.Of(team + "#" + strconv.Itoa(draw))
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
