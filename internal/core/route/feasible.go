package route

import (
	"math/rand/v2"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
)

// NewPredicted returns the router that picks, among engines with capacity for the request, the one with the lowest
// predicted time, preferring engines of the request's own lane, and among plain services the one with the fewest
// dispatches of this host in flight. Near-ties are broken at random, so that hosts with the same view don't all pick
// the same engine.
func NewPredicted(rng *rand.Rand) *Router {
	blocks := &wholeBlockFilter{}
	return &Router{
		filters: []Filter{
			zoneFilter{}, eligibleFilter{}, &reportingFilter{nonReporting: make(map[*target.Target]bool)}, modelFilter{},
			longLaneFilter{}, memoryFilter{}, boundedWorkFilter{},
			spilloverFilter{}, blocks,
		},
		blocks:  blocks,
		scorers: []Scorer{predictedTimeScorer{}, lanePenaltyScorer{}},
		rng:     rng,
		tie:     nearTieMs,
	}
}

// nearTieMs is the cost difference up to which two targets count as equal, in milliseconds.
const nearTieMs = 20

func isEngine(t *target.Target) bool { return t.Role == hostlist.RoleEngine }

// longLaneFilter restricts requests of the long class to engines of the long lane.
type longLaneFilter struct{}

// Keep implements Filter.
func (longLaneFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return rec.Work.Class != document.ClassLong || t.Lane == target.LaneLong
}

// memoryFilter excludes engines without enough free KV memory, as far as is known. Requests of other classes than short
// leave shortHeadroomTokens free, unless they are too large for that.
type memoryFilter struct{}

// shortHeadroomTokens is the KV memory of each engine that is reserved for short requests, in tokens.
const shortHeadroomTokens = 30_000

// Keep implements Filter.
func (memoryFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	if !isEngine(t) || t.MemoryTokens == 0 {
		return true
	}
	need := rec.Request.PromptTokens + rec.Request.AnswerTokens
	free := t.FreeTokens()
	if rec.Work.Class != document.ClassShort && t.MemoryTokens-need >= shortHeadroomTokens {
		free -= shortHeadroomTokens
	}
	return need <= free
}

// spilloverFilter keeps middle requests in their own lane until they have waited for a fraction of their budget, which
// is larger for the short lane than for the long one.
type spilloverFilter struct{}

// Divisors of the budget: a middle request that has waited for budget/divisor may use the lane.
const (
	longLaneSpillover  = 10
	shortLaneSpillover = 2
)

// Keep implements Filter.
func (spilloverFilter) Keep(now core.Time, rec *ledger.Record, t *target.Target) bool {
	if rec.Work.Class != document.ClassMiddle || t.Lane == target.LaneMiddle || !isEngine(t) {
		return true
	}
	divisor := core.Time(longLaneSpillover)
	if t.Lane == target.LaneShort {
		divisor = shortLaneSpillover
	}
	budget := rec.Request.Deadline - rec.Timing.Admitted
	return now-rec.Timing.Admitted >= budget/divisor
}

// boundedWorkFilter limits an engine's pending work to what keeps its batch full. The rest stays queued at the entry
// hosts, where it can still go to another engine. Long requests only go to engines without a long-context prefill, and
// a plain service gets up to maxInFlight dispatches.
type boundedWorkFilter struct{}

// Limits of the pending work at one engine that is served before a new request of the class, in weighted tokens.
const (
	shortAheadTokens  = 6_000
	middleAheadTokens = 20_000
	// otherLaneAheadTokens limits all pending work at an engine of the short lane that takes a middle request.
	otherLaneAheadTokens = 4_000
)

// Keep implements Filter.
func (boundedWorkFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	if !isEngine(t) {
		return t.InFlight() < maxInFlight
	}
	load := t.Total()
	switch rec.Work.Class {
	case document.ClassShort:
		return load.Ahead(Priority(document.ClassShort)) < shortAheadTokens
	case document.ClassMiddle:
		if t.Lane == target.LaneShort {
			return load.Ahead(0) < otherLaneAheadTokens
		}
		return load.Ahead(RecordPriority(rec)) < middleAheadTokens
	}
	return load.LongContext == 0
}

// predictedTimeScorer rates engines in milliseconds. For short requests the cost is the predicted time to first token
// plus the predicted decode time times the preset's weight of their slowdown; time to first token beyond
// 1/objectiveDivisor of the objective counts lateFactor times more. For other requests it is the predicted total time.
// A plain service costs nearTieMs for each dispatch of this host in flight.
type predictedTimeScorer struct{}

// Score implements Scorer.
func (predictedTimeScorer) Score(_ core.Time, rec *ledger.Record, t *target.Target) float64 {
	if !isEngine(t) {
		return float64(t.InFlight()) * nearTieMs
	}
	e := Predict(rec, t)
	if rec.Work.Class != document.ClassShort {
		return milliseconds(e.Total)
	}
	late := max(e.FirstToken-rec.FirstTokenTarget/objectiveDivisor, 0)
	return milliseconds(e.FirstToken) + lateFactor*milliseconds(late) + rec.SlowdownWeight*milliseconds(e.Total-e.FirstToken)
}

// The penalty of lateFactor begins at 1/objectiveDivisor of the time to first token objective, because predictions lag
// behind what other hosts dispatch in the meantime.
const (
	objectiveDivisor = 2
	lateFactor       = 10
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// lanePenaltyScorer adds a fixed cost to engines of other lanes.
type lanePenaltyScorer struct{}

// lanePenalty returns the time by which an engine of another lane must be faster to be preferred, in milliseconds.
func lanePenalty(class document.Class, lane target.Lane) float64 {
	switch class {
	case document.ClassShort:
		return [target.Lanes]float64{0, 300, 1_500}[lane]
	case document.ClassMiddle:
		return [target.Lanes]float64{3_000, 0, 6_000}[lane]
	}
	return 0
}

// Score implements Scorer.
func (lanePenaltyScorer) Score(_ core.Time, rec *ledger.Record, t *target.Target) float64 {
	return lanePenalty(rec.Work.Class, t.Lane)
}
