package cell

import (
	"slices"
	"strconv"
)

// minTeamCells is the minimum number of cells that serve a team, so that it survives the loss of one.
const minTeamCells = 2

// teamHeadroom is the capacity for which a team's cells are sized, as a multiple of its share of the fleet.
const teamHeadroom = 2

// TeamHosts returns the peer addresses of the hosts that serve a team, sorted. The share is that of the
// team in the rates of all teams, from 0 to 1: a larger team is served by more cells.
func (m *Map) TeamHosts(team string, share float64) []string {
	var out []string
	for _, id := range m.teamCells(team, share) {
		out = append(out, m.hosts[id]...)
	}
	slices.Sort(out)
	return out
}

// TeamCells returns the number of cells that serve a team with that share: a power of two, so that small changes of
// rates rarely change it, or all cells.
func (m *Map) TeamCells(share float64) int {
	wanted := float64(minTeamCells)
	for wanted < share*teamHeadroom*float64(len(m.hosts)) {
		wanted *= 2
	}
	return min(int(wanted), len(m.hosts))
}

// teamCells picks cells by hashing the team's name with a counter until there are enough different ones.
func (m *Map) teamCells(team string, share float64) []ID {
	wanted := m.TeamCells(share)
	out := make([]ID, 0, wanted)
	for draw := 0; len(out) < wanted; draw++ {
		id := m.Of(team + "#" + strconv.Itoa(draw))
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
