package trace

// TeamFlood is the Ordinary scenario with one team that sends ten times its share from the start. The requests of the
// other teams are those of Ordinary with the same seed.
const TeamFlood Scenario = "team-flood"

// floodFactor is the rate of the flooding team over its usual rate.
const floodFactor = 10

// Floods returns the name of the flooding team: the second of the large ones.
func (u User) Floods() string { return u.Teams[1] }

// share returns the fraction of all requests that each large team sends.
func (u User) share() float64 { return largeTeamPercent / 100.0 / largeTeams }

// flood adds the requests that the flooding team sends beyond its share to a trace of a steady load.
func (g *Generator) flood(steady Phase) {
	more := steady
	more.Rate *= g.user.share() * (floodFactor - 1)
	more.Team = g.user.Floods()
	g.phase(0, more)
}
