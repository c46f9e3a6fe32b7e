// Package route selects the target of a request: filters exclude targets that can't take it, scorers assign a cost to
// the others, and the router picks at random among those with nearly the lowest cost. NewPacked places routed requests
// at engines of published speed by a cost model of the engines' iterations instead: see Router.Place.
package route

import (
	"math/rand/v2"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// Filter excludes targets.
type Filter interface {
	// Keep reports whether the target may take the request.
	Keep(now core.Time, rec *ledger.Record, t *target.Target) bool
}

// preparer is a filter that inspects all targets before Pick calls Keep for each of them. Place does not call Prepare
// where it uses the cost model of iterations: NewPacked has no such filter.
type preparer interface {
	Prepare(now core.Time, rec *ledger.Record, targets []*target.Target)
}

// Scorer assigns costs to targets.
type Scorer interface {
	// Score returns the cost of sending the request to the target; lower is better.
	Score(now core.Time, rec *ledger.Record, t *target.Target) float64
}

// Router selects targets by a chain of filters and the sum of its scorers' costs.
type Router struct {
	filters []Filter
	scorers []Scorer
	rng     *rand.Rand
	// tie is the cost difference up to which two targets count as equal, in the unit of the scorers.
	tie float64
	// blocks is one of the filters of NewPredicted; nil in other routers.
	blocks *wholeBlockFilter
	// iterationModel is set when engines with a published speed are rated by the cost model of their iterations.
	iterationModel bool
	// zone is the host's availability zone; empty if all zones are alike.
	zone string
	// spillover decides which short prompts leave the zone; nil if the fixed cost alone does.
	spillover Spillover
	// contention divides the last free slots of an engine among the hosts.
	contention Contention
	shares     contentionShares
	// ratings is the number of times that a request was rated at an engine.
	ratings uint64
	pass    pass
	buffers buffers
}

// Ratings returns the number of times that a request was rated at an engine, for tests of the cost of placements.
func (r *Router) Ratings() uint64 { return r.ratings }

// NewPendingTokens returns a baseline that picks the target with the least pending prefill work, by this host's own
// dispatches or the target's load report, whichever is more. The rng breaks ties and must be seeded by the caller.
func NewPendingTokens(rng *rand.Rand) *Router {
	return &Router{
		filters: []Filter{zoneFilter{}, eligibleFilter{}, modelFilter{}, inFlightFilter{limit: maxInFlight}},
		scorers: []Scorer{pendingTokensScorer{}},
		rng:     rng,
		tie:     nearTie,
	}
}

// NewFewestInFlight returns a baseline that picks the target with the fewest dispatches of this host in flight.
func NewFewestInFlight(rng *rand.Rand) *Router {
	r := NewPendingTokens(rng)
	r.scorers = []Scorer{inFlightScorer{}}
	r.tie = 0
	return r
}

// NewRoundRobin returns a baseline that picks targets in turn.
func NewRoundRobin(rng *rand.Rand) *Router {
	r := NewPendingTokens(rng)
	r.scorers = []Scorer{&roundRobinScorer{}}
	r.tie = 0
	return r
}

// maxInFlight is the limit of dispatches of this host in flight at one target of a baseline or at one plain service.
const maxInFlight = 64

// nearTie is the cost difference up to which two targets count as equal, in weighted tokens.
const nearTie = 256

// SetGroupsWaiting sets whether any queued request of this host or a reachable peer needs several engines.
func (r *Router) SetGroupsWaiting(waiting bool) {
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

// zoneFilter excludes targets in zones where the request may not run. All routers have it.
type zoneFilter struct{}

// Keep implements Filter.
func (zoneFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return rec.Request.AllowsZone(t.Zone)
}

type eligibleFilter struct{}

// Keep implements Filter.
func (eligibleFilter) Keep(now core.Time, _ *ledger.Record, t *target.Target) bool {
	return t.Eligible(now) && t.MaySend(now)
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

// pendingTokensScorer rates targets by their pending prefill work.
type pendingTokensScorer struct{}

// Score implements Scorer.
func (pendingTokensScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	return float64(max(t.PendingTokens(), t.Report.QueuedTokens)) + float64(t.InFlight())
}

// pickObserver is a scorer that is notified of each pick.
type pickObserver interface{ Picked(t *target.Target) }

// inFlightScorer rates targets by this host's dispatches in flight.
type inFlightScorer struct{}

// Score implements Scorer.
func (inFlightScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	return float64(t.InFlight())
}

// roundRobinScorer prefers the target that was picked least recently.
type roundRobinScorer struct {
	turn uint64
	last map[string]uint64
}

// Score implements Scorer.
func (s *roundRobinScorer) Score(_ core.Time, _ *ledger.Record, t *target.Target) float64 {
	return float64(s.last[t.Address])
}

// Picked implements pickObserver.
func (s *roundRobinScorer) Picked(t *target.Target) {
	if s.last == nil {
		s.last = make(map[string]uint64)
	}
	s.turn++
	s.last[t.Address] = s.turn
}
