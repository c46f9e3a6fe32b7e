package trace

// TeamFlood is an ordinary day on which one team sends ten times its share from the beginning. The requests of the
// other teams are those of the ordinary day of the same seed.
const TeamFlood Scenario = "team-flood"

// floodFactor is how many times its share the flooding team sends.
const floodFactor = 10

// Floods names the team that floods in a deployment: the second of its large ones.
func (u User) Floods() string { return u.Teams[1] }

// share is the part of a large team in all requests.
func (u User) share() float64 { return largeTeamPercent / 100.0 / largeTeams }

// flood adds what the flooding team sends beyond its share, to a trace of a steady load.
func (g *Generator) flood(steady Phase) {
	more := steady
	more.Rate *= g.user.share() * (floodFactor - 1)
	more.Team = g.user.Floods()
	g.phase(0, more)
}
