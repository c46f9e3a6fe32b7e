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

// replayFlood replays ten minutes without and with the flood.
func replayFlood(t *testing.T) (calm, flooded *replay.Report) {
	t.Helper()
	runScenario := func(s trace.Scenario) *replay.Report {
		r := ordinaryLoad(s)
		r.Length = 10 * time.Minute
		opts := optionsFor(t, generate(t, r), 1)
		opts.NoTeamLimits = true
		return run(t, opts)
	}
	return runScenario(trace.Ordinary), runScenario(trace.TeamFlood)
}

// largeTeams returns the large teams that don't flood.
func largeTeams() []string { return []string{"bratislava", "zilina"} }

// worstFloodSlowdown returns the 95th percentile of the time to first token with the flood over that without, for the
// large team that the flood slows most in a band.
func worstFloodSlowdown(t *testing.T, band string) float64 {
	t.Helper()
	calm, flooded := replayFlood(t)
	worst := 0.0
	for _, team := range largeTeams() {
		before := calm.Group(replay.KindTeamBand, replay.TeamBand(team, band)).FirstTokenMs.P95
		after := flooded.Group(replay.KindTeamBand, replay.TeamBand(team, band)).FirstTokenMs.P95
		assert.Assert(t, before > 0)
		worst = max(worst, after/before)
	}
	return worst
}

// The flood fills the queue of middle prompts. Fair queueing serves the other teams first, so the flood must not make
// their prompts seem infeasible.
func TestTeamThatFloodsDoesNotGetMiddlePromptsOfOthersRefused(t *testing.T) {
	calm, flooded := replayFlood(t)
	for _, team := range largeTeams() {
		group := replay.TeamBand(team, trace.Bands()[1].Name)
		before := calm.Group(replay.KindTeamBand, group).Done
		after := flooded.Group(replay.KindTeamBand, group).Done
		assert.Assert(t, float64(before) <= floodBound*float64(after), "%s: %d done, %d without the flood", team, after, before)
	}
}

func TestTeamThatFloodsLeavesShortPromptsOfOthers(t *testing.T) {
	worst := worstFloodSlowdown(t, trace.Bands()[0].Name)
	assert.Assert(t, worst <= floodBound, "%.2f times", worst)
}

func TestTeamThatFloodsLeavesMiddlePromptsOfOthers(t *testing.T) {
	worst := worstFloodSlowdown(t, trace.Bands()[1].Name)
	assert.Assert(t, worst <= floodBound, "%.2f times", worst)
}
