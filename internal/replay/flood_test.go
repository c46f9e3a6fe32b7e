package replay_test

import (
	"testing"
	"time"

	"carobshunt/internal/replay"
	"carobshunt/internal/trace"

	"gotest.tools/v3/assert"
)

// floodBound bounds the 95th percentile of a team's time to first token while another team sends ten times its share,
// over that without the flood.
const floodBound = 1.2

// worstFloodSlowdown returns the 95th percentile of the time to first token with the flood over that without, for the
// large team that the flood slows most in a band.
func worstFloodSlowdown(t *testing.T, band string) float64 {
	t.Helper()
	runScenario := func(s trace.Scenario) *replay.Report {
		r := ordinaryLoad(s)
		r.Length = 10 * time.Minute
		opts := optionsFor(t, generate(t, r), 1)
		opts.NoTeamLimits = true
		return run(t, opts)
	}
	calm, flooded := runScenario(trace.Ordinary), runScenario(trace.TeamFlood)
	worst := 0.0
	for _, team := range []string{"bratislava", "zilina"} {
		before := calm.Group(replay.KindTeamBand, replay.TeamBand(team, band)).FirstTokenMs.P95
		after := flooded.Group(replay.KindTeamBand, replay.TeamBand(team, band)).FirstTokenMs.P95
		assert.Assert(t, before > 0)
		worst = max(worst, after/before)
	}
	return worst
}

func TestTeamThatFloodsLeavesShortPromptsOfOthers(t *testing.T) {
	worst := worstFloodSlowdown(t, trace.Bands()[0].Name)
	assert.Assert(t, worst <= floodBound, "%.2f times", worst)
}

func TestTeamThatFloodsLeavesMiddlePromptsOfOthers(t *testing.T) {
	worst := worstFloodSlowdown(t, trace.Bands()[1].Name)
	assert.Assert(t, worst <= floodBound, "%.2f times", worst)
}
