package route

import (
	"math/rand/v2"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// NewPacked returns the router of a host in an availability zone, for engines with a published speed: see Place. Of other
// targets it picks the one with the lowest fraction of its slots in use.
func NewPacked(zone string, rng *rand.Rand) *Router {
	return &Router{
		zone:           zone,
		filters:        []Filter{zoneFilter{}, eligibleFilter{}, modelFilter{}, untriedFilter{}},
		scorers:        []Scorer{slotsScorer{}},
		rng:            rng,
		tie:            slotTie,
		iterationModel: true,
	}
}

// slotTie is the difference in the fraction of used slots up to which two targets count as equal.
const slotTie = 0.01

// untriedFilter excludes targets that failed or refused the request before. Another process at the address of one has not.
type untriedFilter struct{}

// Keep implements Filter.
func (untriedFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return !slices.Contains(rec.Tried, t.Process())
}

// slotsScorer rates targets by the fraction of their slots in use.
type slotsScorer struct{}

// Score implements Scorer.
func (slotsScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	load := t.Total()
	return float64(load.Streams) / float64(max(t.Slots, 1))
}
