package group_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"carobshunt/internal/core/group"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

func engines(free ...int64) []group.Engine {
	var out []group.Engine
	for i, f := range free {
		out = append(out, group.Engine{Process: target.Process{Address: fmt.Sprintf("e%02d", i)}, MemoryTokens: 232_000, FreeTokens: f})
	}
	return out
}

// TestSpreadHoldsALittleOnEach guards against a group that fills the memory of some engines, which short prompts need,
// while other engines have room.
func TestSpreadHoldsALittleOnEach(t *testing.T) {
	plan, ok := group.Spread(300_000, engines(200_000, 200_000, 200_000, 200_000, 200_000, 200_000, 200_000, 200_000, 200_000, 200_000))
	assert.Assert(t, ok)
	assert.Equal(t, len(plan.Engines), 8)
	assert.Assert(t, plan.Tokens <= 40_000)
	assert.Assert(t, plan.Tokens*8 >= 300_000)
}

func TestSpreadTakesWhatIsFree(t *testing.T) {
	plan, ok := group.Spread(300_000, engines(10_000, 170_000, 0, 170_000))
	assert.Assert(t, ok)
	assert.DeepEqual(t, plan.Engines, []target.Process{{Address: "e01"}, {Address: "e03"}})
	_, ok = group.Spread(300_000, engines(100_000, 100_000, 10_000))
	assert.Assert(t, !ok, "the memory is not there")
	_, ok = group.Spread(10, nil)
	assert.Assert(t, !ok)
}

// Members must be those with the most free memory, in order of address where they have the same, as sorting all engines has them.
func TestMostFreeIsThatOfSorting(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 500 {
		var engines []group.Engine
		for i := range rng.IntN(40) {
			process := target.Process{Address: fmt.Sprint("e", i)}
			engines = append(engines, group.Engine{Process: process, MemoryTokens: 100_000, FreeTokens: rng.Int64N(8) * 10_000})
		}
		sorted := slices.Clone(engines)
		slices.SortFunc(sorted, func(a, b group.Engine) int {
			return cmp.Or(cmp.Compare(b.FreeTokens, a.FreeTokens), strings.Compare(a.Process.Address, b.Process.Address))
		})
		need := int64(1 + rng.IntN(400_000))
		plan, ok := group.Spread(need, engines)
		same, sameOK := group.Spread(need, sorted)
		assert.Equal(t, ok, sameOK)
		assert.DeepEqual(t, plan, same)
		if !ok {
			continue
		}
		var best []target.Process
		for _, e := range sorted[:len(plan.Engines)] {
			best = append(best, e.Process)
		}
		slices.SortFunc(best, func(a, b target.Process) int { return strings.Compare(a.Address, b.Address) })
		assert.DeepEqual(t, plan.Engines, best)
	}
}
