// Package route picks the target for a request: filters leave out targets that can't take it, scorers rate the
// rest, the picker chooses among near-ties.
package route

import (
	"math/rand/v2"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// Filter leaves out targets.
type Filter interface {
	// Keep tells whether the target may take the request.
	Keep(now core.Time, rec *ledger.Record, t *target.Target) bool
}

// preparer is a filter that looks at all targets before it judges single ones.
type preparer interface {
	Prepare(now core.Time, rec *ledger.Record, targets []*target.Target)
}

// Scorer rates targets.
type Scorer interface {
	// Score returns the cost of placing the request there; lower is better.
	Score(now core.Time, rec *ledger.Record, t *target.Target) float64
}

// Router is a chain of filters and scorers.
type Router struct {
	filters []Filter
	scorers []Scorer
	rng     *rand.Rand
	// tie is the cost difference below which two targets count as equal.
	tie float64
	// blocks is among the filters of the router in force.
	blocks *wholeBlockFilter
	// passes is set where engines of published speed are rated by their passes.
	passes bool
	// crowd shares out the last slots of crowded engines.
	contention Contention
}

// NewPendingTokens returns a baseline: the target with the least prefill work that this host or the target knows of.
// The rng breaks ties and must be seeded by the caller.
func NewPendingTokens(rng *rand.Rand) *Router {
	return &Router{
		filters: []Filter{eligibleFilter{}, modelFilter{}, inFlightFilter{limit: maxInFlight}},
		scorers: []Scorer{pendingTokensScorer{}},
		rng:     rng,
		tie:     nearTie,
	}
}

// NewFewestInFlight returns a baseline: the target with the fewest dispatches of this host.
func NewFewestInFlight(rng *rand.Rand) *Router {
	r := NewPendingTokens(rng)
	r.scorers = []Scorer{inFlightScorer{}}
	r.tie = 0
	return r
}

// NewRoundRobin returns a baseline: the targets in turn.
func NewRoundRobin(rng *rand.Rand) *Router {
	r := NewPendingTokens(rng)
	r.scorers = []Scorer{&turnScorer{}}
	r.tie = 0
	return r
}

// maxInFlight is how many dispatches of this host one target may hold.
const maxInFlight = 64

// nearTie is the cost difference, in tokens, below which two targets count as equal.
const nearTie = 256

// GroupsWait tells the router whether some request waits for several engines.
func (r *Router) GroupsWait(waiting bool) {
	if r.blocks != nil {
		r.blocks.groupsWait = waiting
	}
}

// Pick returns the target for the request, or nil when none can take it now.
func (r *Router) Pick(now core.Time, rec *ledger.Record, targets []*target.Target) *target.Target {
	for _, f := range r.filters {
		if p, ok := f.(preparer); ok {
			p.Prepare(now, rec, targets)
		}
	}
	var best []*target.Target
	bestCost := 0.0
	for _, t := range targets {
		if !r.keep(now, rec, t) {
			continue
		}
		cost := r.cost(now, rec, t)
		switch {
		case len(best) == 0 || cost < bestCost-r.tie:
			best, bestCost = append(best[:0], t), cost
		case cost <= bestCost+r.tie:
			best = append(best, t)
			bestCost = min(bestCost, cost)
		}
	}
	if len(best) == 0 {
		return nil
	}
	picked := best[r.rng.IntN(len(best))]
	for _, s := range r.scorers {
		if observer, ok := s.(pickObserver); ok {
			observer.Picked(picked)
		}
	}
	return picked
}

func (r *Router) keep(now core.Time, rec *ledger.Record, t *target.Target) bool {
	for _, f := range r.filters {
		if !f.Keep(now, rec, t) {
			return false
		}
	}
	return true
}

func (r *Router) cost(now core.Time, rec *ledger.Record, t *target.Target) float64 {
	sum := 0.0
	for _, s := range r.scorers {
		sum += s.Score(now, rec, t)
	}
	return sum
}

type eligibleFilter struct{}

// Keep implements Filter.
func (eligibleFilter) Keep(now core.Time, _ *ledger.Record, t *target.Target) bool {
	return t.Eligible(now)
}

type modelFilter struct{}

// Keep implements Filter.
func (modelFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return t.Serves(rec.Request.Model)
}

type inFlightFilter struct{ limit int }

// Keep implements Filter.
func (f inFlightFilter) Keep(_ core.Time, _ *ledger.Record, t *target.Target) bool {
	return t.InFlight() < f.limit
}

// pendingTokensScorer counts the prefill work ahead of the request.
type pendingTokensScorer struct{}

// Score implements Scorer.
func (pendingTokensScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	return float64(max(t.PendingTokens(), t.Report.QueuedTokens)) + float64(t.InFlight())
}

// pickObserver is a scorer that follows what is picked.
type pickObserver interface{ Picked(t *target.Target) }

// inFlightScorer counts this host's dispatches at the target.
type inFlightScorer struct{}

// Score implements Scorer.
func (inFlightScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	return float64(t.InFlight())
}

// turnScorer prefers the target whose last turn is the longest ago.
type turnScorer struct {
	turn uint64
	last map[string]uint64
}

// Score implements Scorer.
func (s *turnScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	return float64(s.last[t.Address])
}

// Picked implements pickObserver.
func (s *turnScorer) Picked(t *target.Target) {
	if s.last == nil {
		s.last = make(map[string]uint64)
	}
	s.turn++
	s.last[t.Address] = s.turn
}
