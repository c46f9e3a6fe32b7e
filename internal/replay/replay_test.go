package replay_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/replay"
	"carobshunt/internal/trace"

	"gotest.tools/v3/assert"
)

// optionsFor returns the options for a trace with the configuration and host list of its deployment in deploy/.
func optionsFor(t *testing.T, tr *trace.Trace, seed uint64) replay.Options {
	t.Helper()
	dir := filepath.Join("..", "..", "deploy", tr.Header.Deployment)
	document, err := os.ReadFile(filepath.Join(dir, "config.json"))
	assert.NilError(t, err)
	raw, err := os.ReadFile(filepath.Join(dir, "hosts.json"))
	assert.NilError(t, err)
	hosts, err := hostlist.Parse(raw)
	assert.NilError(t, err)
	return replay.Options{Trace: tr, Hosts: hosts, Document: document, Seed: seed}
}

func generate(t *testing.T, opts trace.GenerateOptions) *trace.Trace {
	t.Helper()
	tr, err := trace.Generate(opts)
	assert.NilError(t, err)
	return tr
}

func run(t *testing.T, opts replay.Options) *replay.Report {
	t.Helper()
	report, err := replay.Run(opts)
	assert.NilError(t, err)
	return report
}

// ordinaryLoad returns the generator options of a short trace at the load of an ordinary day.
func ordinaryLoad(s trace.Scenario) trace.GenerateOptions {
	return trace.GenerateOptions{
		Scenario: s, Deployment: "sk-west", Seed: 1, Percent: 85, CapacityKind: trace.AttainableCapacity, Length: 2 * time.Minute,
	}
}

func TestSameSeedGivesTheSameReportForEveryPolicy(t *testing.T) {
	t.Parallel()
	genOpts := ordinaryLoad(trace.HostDies)
	genOpts.Length = time.Minute
	tr := generate(t, genOpts)
	for _, policy := range node.Policies() {
		opts := optionsFor(t, tr, 3)
		opts.Policy = policy
		assert.DeepEqual(t, run(t, opts), run(t, opts))
	}
}

func TestEveryRequestOfEveryScenarioHasAnOutcomeAndNoOrderArrivesTwice(t *testing.T) {
	t.Parallel()
	for _, s := range trace.Scenarios() {
		r := ordinaryLoad(s)
		r.Length = time.Minute
		report := run(t, optionsFor(t, generate(t, r), 1))
		all := report.Group(replay.KindAll, "all")
		assert.Equal(t, all.Done+all.Failed+all.NotRun+all.Unknown, all.Requests, "%s", s)
		assert.Equal(t, len(report.Violations), 0, "%s: %v", s, report.Violations)
	}
}
