package route

import (
	"math/rand/v2"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// NewPacked returns the router for engines of published speed that work in passes: see Place. Other targets get the
// request when they have the fewest for their slots.
func NewPacked(rng *rand.Rand) *Router {
	return &Router{
		filters: []Filter{eligibleFilter{}, modelFilter{}, untriedFilter{}},
		scorers: []Scorer{slotsScorer{}},
		rng:     rng,
		tie:     slotTie,
		passes:  true,
	}
}

// slotTie is the difference in taken parts of slots below which two targets count as equal.
const slotTie = 0.01

// untriedFilter leaves out targets that failed or refused the request before.
type untriedFilter struct{}

// Keep implements Filter.
func (untriedFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return !slices.Contains(rec.Tried, t.Address)
}

// slotsScorer rates targets by the part of their slots that is taken.
type slotsScorer struct{}

// Score implements Scorer.
func (slotsScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	load := t.Total()
	return float64(load.Streams) / float64(max(t.Slots, 1))
}
