package replay_test

import (
	"testing"
	"time"

	"carobshunt/internal/replay"
	"carobshunt/internal/trace"

	"gotest.tools/v3/assert"
)

// floodBound is how much a team that sends ten times its share may move another team's first token, 95th of 100.
const floodBound = 1.2

// floodWorst is the most by which the flood moves the first token of another large team in a band.
func floodWorst(t *testing.T, band string) float64 {
	t.Helper()
	day := func(s trace.Scenario) *replay.Report {
		r := ordinary(s)
		r.Length = 10 * time.Minute
		opts := deployed(t, generate(t, r), 1)
		opts.NoTeamLimits = true
		return run(t, opts)
	}
	calm, flooded := day(trace.Ordinary), day(trace.TeamFlood)
	worst := 0.0
	for _, team := range []string{"bratislava", "zilina"} {
		before := calm.Group(replay.KindTeamBand, replay.TeamBand(team, band)).FirstMs.P95
		after := flooded.Group(replay.KindTeamBand, replay.TeamBand(team, band)).FirstMs.P95
		assert.Assert(t, before > 0)
		worst = max(worst, after/before)
	}
	return worst
}

func TestTeamThatFloodsLeavesShortPromptsOfOthers(t *testing.T) {
	worst := floodWorst(t, trace.Bands()[0].Name)
	assert.Assert(t, worst <= floodBound, "%.2f times", worst)
}

func TestTeamThatFloodsLeavesMiddlePromptsOfOthers(t *testing.T) {
	worst := floodWorst(t, trace.Bands()[1].Name)
	assert.Assert(t, worst <= floodBound, "%.2f times", worst)
}
