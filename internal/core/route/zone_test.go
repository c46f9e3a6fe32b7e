package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"

	"gotest.tools/v3/assert"
)

// zonedEngines returns equal idle engines, perZone of them in each of the zones a, b and c.
func zonedEngines(perZone int) []*target.Target {
	engines := publishedEngines(3 * perZone)
	for i, e := range engines {
		e.Zone = string("abc"[i/perZone])
	}
	return engines
}

func placeFrom(zone string, rec *ledger.Record, engines []*target.Target) route.Placement {
	return route.NewPacked(zone, rand.New(rand.NewPCG(1, 1))).Place(0, rec, engines)
}

// Many hosts with the same view, each of which has just seen one engine with the most streams below the limit of packing:
// without a preference for their own zones, all of them would send their next short prompt there.
func TestHostsOfDifferentZonesPackDifferentEngines(t *testing.T) {
	engines := zonedEngines(4)
	addStreams(engines[1], 5)
	picked := make(map[string]bool)
	for _, zone := range []string{"a", "b", "c"} {
		p := placeFrom(zone, routedPrompt(5_000), engines)
		assert.Equal(t, p.Target.Zone, zone)
		picked[p.Target.Address] = true
	}
	assert.Equal(t, len(picked), 3)
	assert.Equal(t, placeFrom("a", routedPrompt(5_000), engines).Target, engines[1], "packing goes on in the own zone")
}

func TestShortPromptLeavesItsZoneRatherThanBeLate(t *testing.T) {
	engines := zonedEngines(2)
	for _, e := range engines[:2] {
		e.Begin(0, target.Dispatch{Number: 1}, target.Job{Work: 80_000, LongContext: true})
	}
	p := placeFrom("a", routedPrompt(5_000), engines)
	assert.Assert(t, p.Target != nil && p.Target.Zone != "a", "%+v", p)
}

func TestLongPromptIsSplitInItsOwnZoneFirst(t *testing.T) {
	engines := zonedEngines(6)
	p := placeFrom("b", routedPrompt(60_000), engines)
	assert.Assert(t, p.Target != nil && len(p.Helpers) > 0)
	for _, e := range append(p.Helpers, p.Target) {
		assert.Equal(t, e.Zone, "b", fmt.Sprintf("%d helpers", len(p.Helpers)))
	}
}

func TestVeryLongPromptIsSplitOverOtherZonesToo(t *testing.T) {
	engines := zonedEngines(3)
	p := placeFrom("c", routedPrompt(200_000), engines)
	zones := make(map[string]int)
	for _, e := range append(p.Helpers, p.Target) {
		zones[e.Zone]++
	}
	assert.Equal(t, zones["c"], 3, "all engines of its own zone")
	assert.Assert(t, zones["a"]+zones["b"] > 0, "and some of the others: it would be late otherwise")
}
