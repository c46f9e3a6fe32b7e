package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/hostlist"
)

// NewPacked returns the router for engines of published speed that write in passes: an engine that reads a long prompt
// makes everybody who is written there wait, so short streams are packed on few engines, and long prompts are read
// where nobody writes.
func NewPacked(rng *rand.Rand) *Router {
	return &Router{
		filters: []Filter{eligibleFilter{}, modelFilter{}, untriedFilter{}, slotsFilter{}, memoryFilter{}},
		scorers: []Scorer{packedScorer{}},
		rng:     rng,
		tie:     packedTieMs,
	}
}

// packedTieMs is the cost difference, in milliseconds, below which two targets count as equal.
const packedTieMs = 0.5

// untriedFilter leaves out targets that failed or refused the request before.
type untriedFilter struct{}

// Keep implements Filter.
func (untriedFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return !slices.Contains(rec.Tried, t.Address)
}

// slotsFilter leaves out targets that work on as many requests as they have slots, and half as many that wait.
type slotsFilter struct{}

// Keep implements Filter.
func (slotsFilter) Keep(_ core.Time, _ *ledger.Record, t *target.Target) bool {
	load := t.Total()
	return t.Slots == 0 || load.Streams < t.Slots+t.Slots/2
}

// packedScorer rates engines in milliseconds.
type packedScorer struct{}

// Weights of the packed score.
const (
	// packedStreams is the number of streams up to which short prompts prefer the engine with the most of them.
	packedStreams = 15
	// overPackedMs is the cost of an engine that has as many.
	overPackedMs = 1_000
	// longPromptTokens is the prompt length from which an engine with few streams is preferred.
	longPromptTokens = 20_000
	// besideStreamMs is the cost of each stream beside a long prompt.
	besideStreamMs = 50
)

// Score implements Scorer.
func (packedScorer) Score(_ core.Time, rec *ledger.Record, t *target.Target) float64 {
	load := t.Total()
	if t.Role != hostlist.RoleEngine || t.Engine == nil {
		return float64(load.Streams) * milliseconds(time.Second) / float64(max(t.Slots, 1))
	}
	pending := float64(load.Ahead(0)) / t.Engine.ReadTokensPerMs
	switch {
	case rec.Request.PromptTokens >= longPromptTokens:
		return pending + besideStreamMs*float64(load.Streams)
	case load.Streams >= packedStreams:
		return overPackedMs + pending + float64(load.Streams)
	}
	return pending - float64(load.Streams)
}

// maxHelpers is how many engines read a prompt beside the one that answers.
const maxHelpers = 3

// Helpers picks engines without any work that read a part of a long prompt each.
func Helpers(now core.Time, rec *ledger.Record, lead *target.Target, targets []*target.Target) []*target.Target {
	if rec.Request.PromptTokens < longPromptTokens || len(rec.Tried) > 0 {
		return nil
	}
	var idle []*target.Target
	for _, t := range targets {
		if t != lead && t.Engine != nil && t.Eligible(now) && t.Serves(rec.Request.Model) && t.Total() == (target.Load{}) {
			idle = append(idle, t)
		}
	}
	slices.SortFunc(idle, func(a, b *target.Target) int { return cmp.Compare(a.Address, b.Address) })
	return idle[:min(len(idle), maxHelpers)]
}
