package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"carobshunt/internal/core/node"
	"carobshunt/internal/replay"
	"carobshunt/internal/trace"

	"gotest.tools/v3/assert"
)

// eachIncident runs f as a parallel subtest for each trace of an incident in testdata.
func eachIncident(t *testing.T, f func(t *testing.T, name, path string, s trace.Scenario, user string)) {
	for _, user := range trace.Users() {
		for _, s := range trace.Incidents() {
			name := trace.IncidentFile(user.Name, s)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f(t, name, filepath.Join("testdata", name), s, user.Name)
			})
		}
	}
}

func TestIncidentsHaveTheirStatedOutcomes(t *testing.T) {
	eachIncident(t, func(t *testing.T, _, path string, _ trace.Scenario, _ string) {
		file, err := os.Open(path)
		assert.NilError(t, err)
		defer func() { _ = file.Close() }()
		tr, err := trace.Read(file)
		assert.NilError(t, err)
		assert.Assert(t, len(tr.Header.Expect) > 0)
		opts := deployed(t, tr, 1)
		opts.NoTeamLimits = true
		assert.DeepEqual(t, run(t, opts).Violations, []replay.Violation{})
	})
}

func TestIncidentFilesAreWhatTheGeneratorMakes(t *testing.T) {
	eachIncident(t, func(t *testing.T, _, path string, s trace.Scenario, user string) {
		raw, err := os.ReadFile(path)
		assert.NilError(t, err)
		var made bytes.Buffer
		tr := generate(t, trace.Recipe{Scenario: s, Deployment: user, Seed: 1})
		assert.NilError(t, tr.Write(&made))
		assert.Assert(t, bytes.Equal(raw, made.Bytes()), "make it again with carobctl trace")
	})
}

// Shows that the check of expected outcomes can fail: under round robin, drafts are late beside archive prompts.
func TestLateDraftsAreLateUnderRoundRobin(t *testing.T) {
	tr := generate(t, trace.Recipe{Scenario: trace.LateDrafts, Deployment: "sk-west", Seed: 1})
	opts := deployed(t, tr, 1)
	opts.NoTeamLimits = true
	opts.Policy = node.PolicyRoundRobin
	assert.Assert(t, len(run(t, opts).Violations) > 10)
}
