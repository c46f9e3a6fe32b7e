package route

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"

	"gotest.tools/v3/assert"
)

// The bounded selection must choose what sorting all engines chooses, in the same order: the order decides which engine answers.
func TestBestEnginesAreThoseOfSorting(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2_000 {
		all := make([]ratedEngine, 1+rng.IntN(12))
		for i := range all {
			all[i] = ratedEngine{
				engineState: &engineState{prefill: float64(i)}, delayCost: float64(rng.IntN(3)), firstToken: float64(rng.IntN(2)),
			}
		}
		fixed, n := rng.IntN(3), 0
		n = fixed + rng.IntN(len(all)+1)
		list := slices.Clone(all[:min(fixed, len(all))])
		fixed = len(list)
		n = max(n, fixed)
		sorted := slices.Clone(all)
		slices.SortStableFunc(sorted, func(a, b ratedEngine) int { return a.compare(&b) })
		want := append(slices.Clone(list), sorted[:min(n-fixed, len(sorted))]...)
		for _, e := range all {
			list = insertBest(list, fixed, n, e)
		}
		assert.Equal(t, len(list), len(want))
		for i := range list {
			assert.Assert(t, list[i].engineState == want[i].engineState)
		}
	}
}

// engineTable returns a table of engines with 16 slots, and the hosts' list of them.
func engineTable(addresses ...string) *target.Table {
	list := &hostlist.List{Version: 1}
	for _, a := range addresses {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Address: a, Role: hostlist.RoleEngine, State: hostlist.StateLive, Models: []string{"llm"}, Slots: 16,
		})
	}
	tb := target.NewTable()
	tb.Apply(list)
	for _, e := range tb.All() {
		e.Engine = &document.Engine{Slots: 16, StepsPerIteration: 1, ChunkTokens: 2048, StepMs: 1, PrefillTokensPerMs: 100}
	}
	return tb
}

// States that are kept during a pass must not outlive a change of the load: a request would be placed where the one before it has
// taken the last slot.
func TestPassSeesItsOwnPlacements(t *testing.T) {
	tb := engineTable("e1")
	r := NewPacked("", rand.New(rand.NewPCG(1, 2)))
	rec := &ledger.Record{
		Request:          core.Request{Model: "llm", PromptTokens: 100, Routed: &core.Routed{}},
		FirstTokenTarget: time.Minute,
	}
	r.BeginPass()
	placed := 0
	for i := range 20 {
		r.Refresh(tb.LoadChanges())
		p := r.Place(0, rec, tb.All())
		if p.Target == nil {
			assert.Equal(t, p.Obstacle, core.ObstacleSlots)
			break
		}
		p.Target.Begin(0, target.Dispatch{Number: uint32(i)}, target.Job{})
		placed++
	}
	r.EndPass()
	assert.Equal(t, placed, 16)
	tb.All()[0].End(target.Dispatch{})
	assert.Assert(t, r.Place(0, rec, tb.All()).Target != nil, "nothing is kept after a pass")
}
