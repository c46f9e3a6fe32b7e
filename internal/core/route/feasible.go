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

// NewPredicted returns the router in force: engines that have room for the request, the one with the least predicted
// time first, engines of the request's own lane before others, and a draw among near-ties so that hosts with the same
// view don't all choose the same engine.
func NewPredicted(rng *rand.Rand) *Router {
	blocks := &wholeBlockFilter{}
	return &Router{
		filters: []Filter{
			eligibleFilter{}, &reportingFilter{silent: make(map[*target.Target]bool)}, modelFilter{},
			longLaneFilter{}, memoryFilter{}, boundedWorkFilter{},
			patienceFilter{}, blocks,
		},
		blocks:  blocks,
		scorers: []Scorer{predictedTimeScorer{}, lanePenaltyScorer{}},
		rng:     rng,
		tie:     nearTieMs,
	}
}

// nearTieMs is the difference of predicted time, in milliseconds, below which two targets count as equal.
const nearTieMs = 20

func isEngine(t *target.Target) bool { return t.Role == hostlist.RoleEngine }

// longLaneFilter keeps long prefills to the long lane.
type longLaneFilter struct{}

// Keep implements Filter.
func (longLaneFilter) Keep(_ core.Time, rec *ledger.Record, t *target.Target) bool {
	return rec.Work.Class != document.ClassLong || t.Lane == target.LaneLong
}

// memoryFilter leaves out engines whose memory is taken, as far as is known. All but short requests leave some room
// for short ones.
type memoryFilter struct{}

// shortHeadroomTokens is the memory that is left to short requests on each engine.
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

// patienceFilter keeps middle requests in their own lane until they have waited for a part of their budget; longest
// out of the lane of short ones.
type patienceFilter struct{}

// Those parts of the budget, as divisors.
const (
	longLanePatience  = 10
	shortLanePatience = 2
)

// Keep implements Filter.
func (patienceFilter) Keep(now core.Time, rec *ledger.Record, t *target.Target) bool {
	if rec.Work.Class != document.ClassMiddle || t.Lane == target.LaneMiddle || !isEngine(t) {
		return true
	}
	part := core.Time(longLanePatience)
	if t.Lane == target.LaneShort {
		part = shortLanePatience
	}
	budget := rec.Request.Deadline - rec.Timing.Admitted
	return now-rec.Timing.Admitted >= budget/part
}

// boundedWorkFilter hands an engine only as much work as keeps its batch full; the rest waits at the entry hosts,
// where it can still go elsewhere.
type boundedWorkFilter struct{}

// Bounds of the pending work at one engine that may go before new work of a class, in tokens of weight 1.
const (
	shortAheadTokens  = 6_000
	middleAheadTokens = 20_000
	// strangerAheadTokens bounds all pending work at an engine of another lane.
	strangerAheadTokens = 4_000
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
			return load.Ahead(0) < strangerAheadTokens
		}
		return load.Ahead(Priority(document.ClassMiddle)) < middleAheadTokens
	}
	return load.Deep == 0
}

// predictedTimeScorer is the predicted time to the first token plus a part of the predicted time of the answer; the
// part is how much the preset weighs the slowdown of short requests. A first token that is predicted near the preset's
// target or past it weighs most. Longer requests weigh the whole time.
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
	late := max(e.First-rec.FirstTokenTarget/targetPart, 0)
	return milliseconds(e.First) + lateFactor*milliseconds(late) + rec.SlowdownWeight*milliseconds(e.Total-e.First)
}

// targetPart is the part of the target, as a divisor, from which a predicted first token is made worse by lateFactor:
// predictions lag behind what other hosts dispatch meanwhile.
const (
	targetPart = 2
	lateFactor = 10
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// lanePenaltyScorer makes engines of other lanes worse by a fixed time.
type lanePenaltyScorer struct{}

// lanePenalty returns the time, in milliseconds, by which an engine of another lane must be better.
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
