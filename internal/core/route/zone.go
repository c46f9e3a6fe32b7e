package route

import "carobshunt/internal/core/ledger"

// Engines of the host's own availability zone are preferred where they are about as good. The bytes of a request then stay
// in the zone. More important in a large fleet, hosts learn of placements in their own zone soonest, and the hosts of
// different zones do not all pick the engine that seems best to everybody.
const (
	// shortZoneCost is the cost of an engine in another zone for a short prompt: more than all that packing gains, so that
	// each zone fills its own engines.
	shortZoneCost = 0.04
	// partZoneCost is the cost of an engine in another zone for one part of a long prompt.
	partZoneCost = 0.01
)

// zoneCost returns the cost of the engine's zone: inOther, in answers to short prompts, if it is not the host's own.
func (s *engineState) zoneCost(inOther float64) float64 {
	if s.otherZone {
		return inOther
	}
	return 0
}

// Spillover decides which short prompts are sent to another zone.
type Spillover interface {
	// Zone returns the zone to which a request for a service goes whose draw, between 0 and 1, is given; empty if it stays.
	Zone(service string, draw float64) string
}

// SetSpillover sets what decides which short prompts leave the zone.
func (r *Router) SetSpillover(s Spillover) { r.spillover = s }

// preferredZone returns the zone whose engines cost a request nothing for their zone: the host's own one, or that to which
// its draw sends it. It draws once for each request, so that one that waits does not leave in the end only because it drew
// often.
func (r *Router) preferredZone(rec *ledger.Record) string {
	rec.LeftFor = ""
	if r.spillover == nil || r.zone == "" || IsLong(rec) {
		return r.zone
	}
	if rec.ZoneDraw == 0 {
		rec.ZoneDraw = 1 - r.rng.Float64()
	}
	if zone := r.spillover.Zone(rec.Request.Model, rec.ZoneDraw); zone != "" {
		rec.LeftFor = zone
		return zone
	}
	return r.zone
}
