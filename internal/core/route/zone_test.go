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

// drawnZone sends the requests with a draw below the share to a zone.
type drawnZone struct {
	zone  string
	share float64
	draws []float64
}

// Zone implements route.Spillover.
func (d *drawnZone) Zone(_ string, draw float64) string {
	d.draws = append(d.draws, draw)
	if draw < d.share {
		return d.zone
	}
	return ""
}

// TestShareSendsShortPromptsAway checks that the zone that is drawn takes the place of the own one, also where the own one has
// better engines, and that the share leaves long prompts alone.
func TestShareSendsShortPromptsAway(t *testing.T) {
	engines := zonedEngines(2)
	addStreams(engines[0], 5)
	spill := &drawnZone{zone: "b", share: 0.5}
	r := route.NewPacked("a", rand.New(rand.NewPCG(1, 1)))
	r.SetSpillover(spill)
	const requests = 400
	left := 0
	for range requests {
		rec := routedPrompt(5_000)
		p := r.Place(0, rec, engines)
		assert.Equal(t, p.Target.Zone == "b", rec.ZoneDraw < spill.share)
		assert.Equal(t, rec.LeftFor == "b", p.Target.Zone == "b")
		if p.Target.Zone == "b" {
			left++
		}
	}
	assert.Assert(t, left > requests*4/10 && left < requests*6/10, "%d", left)
	spill.share = 1.1
	long := routedPrompt(60_000)
	assert.Equal(t, r.Place(0, long, engines).Target.Zone, "a")
	assert.Equal(t, long.ZoneDraw, 0.0)
}

// TestRequestDrawsOnce guards against a request that waits and draws until it may leave.
func TestRequestDrawsOnce(t *testing.T) {
	engines := zonedEngines(1)
	for _, e := range engines {
		addStreams(e, 16)
	}
	spill := &drawnZone{zone: "b", share: 0.1}
	r := route.NewPacked("a", rand.New(rand.NewPCG(1, 1)))
	r.SetSpillover(spill)
	rec := routedPrompt(5_000)
	for range 50 {
		assert.Assert(t, r.Place(0, rec, engines).Target == nil)
	}
	for _, draw := range spill.draws {
		assert.Equal(t, draw, spill.draws[0])
	}
	assert.Equal(t, len(spill.draws), 50)
}

// TestRequestWhoseZoneIsFullGoesElsewhere guards against a request that waits for the zone that it drew.
func TestRequestWhoseZoneIsFullGoesElsewhere(t *testing.T) {
	engines := zonedEngines(1)
	addStreams(engines[1], 16)
	r := route.NewPacked("a", rand.New(rand.NewPCG(1, 1)))
	r.SetSpillover(&drawnZone{zone: "b", share: 1.1})
	p := r.Place(0, routedPrompt(5_000), engines)
	assert.Assert(t, p.Target != nil && p.Target.Zone != "b")
}
