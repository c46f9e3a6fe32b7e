package replay_test

import (
	"testing"
	"time"

	"carobshunt/internal/model"
	"carobshunt/internal/replay"
	"carobshunt/internal/trace"

	"gotest.tools/v3/assert"
)

// Bounds that the policy in force must keep. Each test is a short version of a longer measurement: one seed and two
// minutes, or ordinaryLength for a steady load. The first quarter only fills queues and caches and is not measured.
const (
	// firstTokenBoundMs and gapBoundMs bound 95th percentiles in milliseconds.
	firstTokenBoundMs = 750
	gapBoundMs        = 59
	// slowedByLongBound bounds the latency of short prompts with long prompts over that without.
	slowedByLongBound = 1.5
	// goodputPart is the least goodput under overload, or across a switch of presets, over that without.
	goodputPart = 0.9
	// attemptsBound bounds the mean number of dispatches per request.
	attemptsBound = 1.1
	// refusedBoundMs bounds the time to a refusal in milliseconds.
	refusedBoundMs = 50
	// outsideBound bounds Report.SecondsOutsideObjective, in seconds.
	outsideBound = 10
	// staleBound bounds the time to first token with late load reports and lost cache events over that without.
	staleBound     = 1.15
	ordinaryLength = 4 * time.Minute
)

// measure runs a scenario on sk-west without team limits.
func measure(t *testing.T, s trace.Scenario, percent float64, modify func(*replay.Options)) *replay.Report {
	t.Helper()
	genOpts := ordinaryLoad(s)
	genOpts.Percent = percent
	if s == trace.Ordinary {
		genOpts.Length = ordinaryLength
	}
	opts := optionsFor(t, generate(t, genOpts), genOpts.Seed)
	opts.NoTeamLimits = true
	if modify != nil {
		modify(&opts)
	}
	return run(t, opts)
}

func shorts(r *replay.Report) replay.Figures { return r.Group(replay.KindBand, "1k-4k") }
func longs(r *replay.Report) replay.Figures  { return r.Group(replay.KindBand, "100k-1M") }
func all(r *replay.Report) replay.Figures    { return r.Group(replay.KindAll, "all") }

func TestOrdinaryDayHoldsTheBounds(t *testing.T) {
	t.Parallel()
	r := measure(t, trace.Ordinary, 85, nil)
	assert.Assert(t, shorts(r).FirstTokenMs.P95 <= firstTokenBoundMs, "%v", shorts(r).FirstTokenMs)
	assert.Assert(t, all(r).GapMs.P95 <= gapBoundMs, "%v", all(r).GapMs)
	assert.Equal(t, longs(r).Late, 0)
	assert.Assert(t, longs(r).Done > 0)
	assert.Assert(t, all(r).Attempts <= attemptsBound)
}

func TestPromptsOverOneEnginesMemoryAreServed(t *testing.T) {
	t.Parallel()
	genOpts := ordinaryLoad(trace.Ordinary)
	tr := generate(t, genOpts)
	large := 0
	for i := range tr.Requests {
		if tr.Requests[i].PromptTokens > model.Reference().MemoryTokens {
			tr.Requests[i].Expect = append(tr.Requests[i].Expect, "done")
			large++
		}
	}
	assert.Assert(t, large > 3)
	opts := optionsFor(t, tr, genOpts.Seed)
	opts.NoTeamLimits = true
	assert.DeepEqual(t, run(t, opts).Violations, []replay.Violation{})
}

func TestShortWorkIsSlowedByLongWorkWithinTheBound(t *testing.T) {
	t.Parallel()
	with := shorts(measure(t, trace.Ordinary, 85, nil))
	without := shorts(measure(t, trace.Ordinary, 85, func(o *replay.Options) { o.WithoutBands = []string{"100k-1M"} }))
	assert.Assert(t, with.Slowdown.P95 <= slowedByLongBound*without.Slowdown.P95, "%v %v", with.Slowdown, without.Slowdown)
	assert.Assert(t, with.FirstTokenMs.P95 <= slowedByLongBound*without.FirstTokenMs.P95, "%v %v", with.FirstTokenMs, without.FirstTokenMs)
}

func TestOverloadKeepsTheGoodputAndRefusesAtOnce(t *testing.T) {
	t.Parallel()
	capacity, over := measure(t, trace.Ordinary, 100, nil), measure(t, trace.Ordinary, 150, nil)
	assert.Assert(t, all(over).Goodput >= goodputPart*all(capacity).Goodput, "%v %v", all(over).Goodput, all(capacity).Goodput)
	assert.Assert(t, all(over).Refused > 0)
	assert.Assert(t, all(over).RefusedMaxMs <= refusedBoundMs, "%v", all(over).RefusedMaxMs)
	assert.Assert(t, all(over).Attempts <= attemptsBound)
	assert.Equal(t, longs(over).Late, 0)
}

func TestBurstAndFaultsLeaveTheBoundsForTenSecondsAtMost(t *testing.T) {
	for _, s := range []trace.Scenario{trace.Burst, trace.EngineDies, trace.HostDies, trace.ZoneCut} {
		t.Run(string(s), func(t *testing.T) {
			t.Parallel()
			r := measure(t, s, 85, nil)
			assert.Assert(t, r.SecondsOutsideObjective() <= outsideBound, "%+v", r.Windows)
			assert.Assert(t, all(r).Attempts <= attemptsBound)
		})
	}
}

func TestStaleReportsAndLostEventsCostLittle(t *testing.T) {
	t.Parallel()
	fresh := shorts(measure(t, trace.Ordinary, 85, nil))
	stale := shorts(measure(t, trace.Ordinary, 85, func(o *replay.Options) {
		o.Engine = model.Reference()
		o.Engine.ReportLag = 2 * time.Second
		o.Engine.EventLossPercent = 50
	}))
	assert.Assert(t, stale.FirstTokenMs.P95 <= staleBound*fresh.FirstTokenMs.P95, "%v %v", stale.FirstTokenMs, fresh.FirstTokenMs)
}

// TestPresetSwitchUnderLoadHoldsTheBounds switches the preset under load: no request may be lost and the bounds must hold.
func TestPresetSwitchUnderLoadHoldsTheBounds(t *testing.T) {
	t.Parallel()
	genOpts := ordinaryLoad(trace.Rush)
	tr := generate(t, genOpts)
	for i, preset := range []string{"peak", "ordinary"} {
		at := genOpts.Length.Milliseconds() * int64(i+1) / 3
		tr.Faults = append(tr.Faults, trace.Fault{AtMs: at, Kind: trace.SetPreset, Subject: preset})
	}
	opts := optionsFor(t, tr, genOpts.Seed)
	opts.NoTeamLimits = true
	r := run(t, opts)
	assert.Assert(t, shorts(r).FirstTokenMs.P95 <= firstTokenBoundMs, "%v", shorts(r).FirstTokenMs)
	assert.Equal(t, longs(r).Late, 0)
	a := all(r)
	assert.Equal(t, a.Done+a.Failed+a.NotRun+a.Unknown, a.Requests)
	steady := all(measure(t, trace.Rush, genOpts.Percent, nil))
	assert.Assert(t, a.Goodput >= goodputPart*steady.Goodput, "%v %v", a.Goodput, steady.Goodput)
}
