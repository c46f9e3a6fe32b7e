package trace

// TeamFlood is the Ordinary scenario with one team that sends ten times its share from the start. The requests of the
// other teams are those of Ordinary with the same seed.
const TeamFlood Scenario = "team-flood"

// floodFactor is the rate of the flooding team over its usual rate.
const floodFactor = 10

// FloodingTeam returns the name of the flooding team: the second of the large ones.
func (d Deployment) FloodingTeam() string { return d.Teams[1] }

// largeTeamShare returns the fraction of all requests that each large team sends.
func (d Deployment) largeTeamShare() float64 { return largeTeamPercent / 100.0 / largeTeams }

// addFlood adds the requests that the flooding team sends beyond its share to a trace of a steady load.
func (g *Generator) addFlood(steady Phase) {
	extra := steady
	extra.Rate *= g.deployment.largeTeamShare() * (floodFactor - 1)
	extra.Team = g.deployment.FloodingTeam()
	g.addPhase(0, extra)
}
