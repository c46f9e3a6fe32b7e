package group_test

import (
	"fmt"
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
