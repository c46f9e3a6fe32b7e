package route_test

import (
	"math/rand/v2"
	"testing"

	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

// TestLargestPromptsLeaveEnginesToShortOnes has the load "some prompts of 600,000 tokens, then many short ones". It guards against
// short prompts that find no engine which answers in time, since every engine prefills parts of the largest prompts for seconds.
func TestLargestPromptsLeaveEnginesToShortOnes(t *testing.T) {
	const engines = 21
	list := publishedEngines(engines)
	for _, e := range list {
		e.MemoryTokens, e.Engine.MemoryTokens = 1_000_000, 1_000_000
	}
	r := route.NewPacked("", rand.New(rand.NewPCG(1, 1)))
	rec := routedPrompt(600_000)
	used := make(map[string]bool)
	for n := range 4 {
		p := r.Place(0, rec, list)
		if p.Target == nil {
			break
		}
		parts := append(p.Helpers, p.Target)
		for _, e := range parts {
			used[e.Address] = true
			e.Begin(0, target.Dispatch{Number: uint32(n + 1)}, target.Job{
				Work: route.UncachedWork(rec, e) / int64(len(parts)), LongContext: true, PrefillOnly: e != p.Target,
			})
		}
	}
	assert.Assert(t, len(used) > 0)
	assert.Assert(t, len(used) <= engines*2/3, "%d of %d engines are busy", len(used), engines)
	assert.Assert(t, r.Place(0, routedPrompt(3_000), list).Target != nil, "a short prompt finds an engine")
}

// TestPromptsAreSpreadByUnseenPlacements has the load "34 hosts in a zone place short prompts before they hear of each other". It
// guards against one engine that gets them all, since it looks best to each host.
func TestPromptsAreSpreadByUnseenPlacements(t *testing.T) {
	busiest := func(unseen float64) int {
		list := publishedEngines(12)
		addStreams(list[3], 4)
		picked := make(map[string]int)
		for host := range 34 {
			r := route.NewPacked("", rand.New(rand.NewPCG(uint64(host), 1)))
			r.SetContention(route.Contention{UnseenShort: unseen})
			picked[r.Place(0, routedPrompt(3_000), list).Target.Address]++
		}
		most := 0
		for _, n := range picked {
			most = max(most, n)
		}
		return most
	}
	assert.Equal(t, busiest(0), 34, "hosts that hear of each other in time fill one engine after the other")
	// Packing leaves room for 8 more streams there: three quarters of 16 slots, of which 4 are taken.
	assert.Assert(t, busiest(34) <= 8, "%d of 34 on one engine", busiest(34))
}
