package route

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
