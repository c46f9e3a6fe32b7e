package route_test

import (
	"math/rand/v2"
	"testing"

	"carobshunt/internal/core"
	"carobshunt/internal/core/route"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"

	"gotest.tools/v3/assert"
)

// TestNoRouterPicksOutsideTheZonesOfARequest guards against a router whose filters leave the zones out.
func TestNoRouterPicksOutsideTheZonesOfARequest(t *testing.T) {
	for name, router := range map[string]func(*rand.Rand) *route.Router{
		"packed":             func(rng *rand.Rand) *route.Router { return route.NewPacked("z", rng) },
		"predicted":          route.NewPredicted,
		"pending tokens":     route.NewPendingTokens,
		"fewest in flight":   route.NewFewestInFlight,
		"round-robin":        route.NewRoundRobin,
		"packed, no own one": func(rng *rand.Rand) *route.Router { return route.NewPacked("", rng) },
	} {
		_, engines := fleet(target.LaneShort, target.LaneShort, target.LaneShort, target.LaneShort)
		for _, e := range engines[2:] {
			e.Zone = "y"
		}
		r := router(rand.New(rand.NewPCG(1, 1)))
		pick := func(zones core.ZoneSet) *target.Target {
			rec := request(document.ClassShort, 1000, 100)
			rec.Request.Zones = zones
			return r.Pick(0, rec, engines)
		}
		for range 20 {
			assert.Equal(t, pick(core.OnlyZones([]string{"y"})).Zone, "y", name)
		}
		assert.Assert(t, pick(core.OnlyZones([]string{"x"})) == nil, name)
		assert.Assert(t, pick(core.OnlyZones(nil)) == nil, name)
		assert.Assert(t, pick(core.ZoneSet{}) != nil, name)
	}
}

// TestPlacementOfLongPromptsStaysInZones covers the cost model of iterations, with helpers and with given members.
func TestPlacementOfLongPromptsStaysInZones(t *testing.T) {
	engines := publishedEngines(6)
	for _, e := range engines[3:] {
		e.Zone = "y"
	}
	rec := routedPrompt(200_000)
	rec.Request.Zones = core.OnlyZones([]string{"y"})
	p := place(rec, engines)
	assert.Equal(t, p.Target.Zone, "y")
	assert.Assert(t, len(p.Helpers) > 0)
	helpers, ready := route.NewPacked("z", rand.New(rand.NewPCG(1, 1))).HelpersFor(0, rec, engines[3:4], engines)
	assert.Assert(t, ready)
	assert.Assert(t, len(helpers) > 0)
	for _, h := range append(helpers, p.Helpers...) {
		assert.Equal(t, h.Zone, "y")
	}
	brief := routedPrompt(1000)
	brief.Request.Zones = core.OnlyZones([]string{"y"})
	for range 20 {
		assert.Equal(t, place(brief, engines).Target.Zone, "y")
	}
}
