package route

import (
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// Cost model for engines with a published speed. Such an engine works in iterations: each runs a number of decode steps
// for every stream and prefills waiting prompts in between. Prefill lengthens the iteration and thus the inter-token
// gap of every stream there. The cost of a placement is the expected number of late answers, counted in answers to
// short prompts: the request's own, and those of the other streams at the engine. The prefill of a long prompt is split
// among as many engines as minimize that cost.

// utilityTokens is the number of prompt tokens that add as much utility to an answer as one short prompt has.
const utilityTokens = 13_000

// answerUtility returns the utility of an answer in time, in answers to short prompts.
func answerUtility(promptTokens int64) float64 { return 1 + float64(promptTokens)/utilityTokens }

// Bounds of the predicted time as a fraction of its objective. Below the lower one the objective is certainly met, above
// the upper one certainly missed; the width in between is the error of predictions. The bounds gapMet and gapMissed also
// serve for the time to first token of pending long-context prompts: see delayCost.
const (
	gapMet           = 0.70
	gapMissed        = 1.10
	firstTokenMet    = 0.60
	firstTokenMissed = 1.10
)

// A late answer loses the fraction lateLoss of its utility, and the rest as callers abandon the request: between
// abandonFrom and abandonUntil times the objective.
const (
	lateLoss     = 0.75
	abandonFrom  = 3
	abandonUntil = 7
	// urgency is the cost of a time to first token equal to its objective. It applies also where the objective is
	// certainly met or missed, so that an earlier first token is always better.
	urgency = 0.03
	// tooLateFactor is the multiple of the objective beyond which the request had better wait for another engine.
	tooLateFactor = 2
)

// firstTokenCost returns the cost of a time to first token, given as a fraction of its objective, relative to the
// utility of the answer.
func firstTokenCost(fraction float64) float64 {
	return lateLoss*missProbability(fraction, firstTokenMet, firstTokenMissed) +
		(1-lateLoss)*missProbability(fraction, abandonFrom, abandonUntil) + urgency*fraction
}

// missProbability returns the probability that a time misses its objective when it is predicted at that fraction of it.
func missProbability(fraction, met, missed float64) float64 {
	return min(max((fraction-met)/(missed-met), 0), 1)
}

// engineState is the known state of one engine for a placement.
type engineState struct {
	target *target.Target
	load   target.Load
	// iteration is the time of an iteration without prefill, prefill the time of the pending prefill work, both in
	// milliseconds.
	iteration float64
	prefill   float64
	// otherZone is set for an engine outside the request's preferred availability zone, see Router.preferredZone.
	otherZone bool
}

func engineStateOf(t *target.Target) engineState {
	load := t.Total()
	e := t.Engine
	step := e.StepMs + e.StepPerStreamMs*float64(load.Streams) + e.StepPerContextMs*float64(load.Held)/1000
	return engineState{
		target:    t,
		load:      load,
		iteration: step * float64(e.StepsPerIteration) * slowdown(t),
		prefill:   float64(load.Ahead(0)) / e.PrefillTokensPerMs * stepOverhead(t) * slowdown(t),
	}
}

// coldSlowdown is how much longer a cold engine is expected to take. How slow it is isn't published; a factor of 2 suffices to
// prefer engines that are warm and have a few requests.
const coldSlowdown = 2

// slowdown returns how much longer than at its published speed an engine takes.
func slowdown(t *target.Target) float64 {
	if t.Cold() {
		return coldSlowdown
	}
	return 1
}

// stepOverhead returns the factor by which prefill takes longer than at the published rate, since each step prefills
// one chunk of limited size and has a time of its own.
func stepOverhead(t *target.Target) float64 {
	e := t.Engine
	return 1 + e.StepMs*e.PrefillTokensPerMs/float64(max(e.ChunkTokens, 1))
}

// delayCost returns the expected number of answers that adding prefill milliseconds of work at the engine makes late, in
// answers to short prompts: those of its streams and of its pending long-context prompts. It is 0 without a gap
// objective. The added prefill counts in full for every pending prompt, as if it ran before all of them, whereas
// firstToken assumes for the added prompt that it runs after them: each takes the worse order.
func (s *engineState) delayCost(prefill float64) float64 {
	objective := milliseconds(s.target.GapObjective)
	cost := float64(s.load.LongContext) * longContextUtility *
		addedMissProbability(s.prefill+prefill, prefill, longContextObjectiveFactor*objective)
	if s.load.Streams == 0 {
		return cost
	}
	total := s.iteration + s.prefill + prefill
	gapSensitive := float64(s.load.GapSensitive)
	others := float64(s.load.Streams - s.load.GapSensitive)
	return cost + gapSensitive*addedMissProbability(total, prefill, objective) +
		others*otherUtility*addedMissProbability(total, prefill, otherObjectiveFactor*objective)
}

// Utility and objective of work other than gap-sensitive streams. Utilities are in answers to short prompts, objectives
// in multiples of the gap objective of gap-sensitive streams.
const (
	// Other streams: the objective is an inter-token gap.
	otherUtility         = 5
	otherObjectiveFactor = 2.4
	// Pending prompts that count as long-context, see target.Load: the objective is a time to first token.
	longContextUtility         = 7
	longContextObjectiveFactor = 8
)

// addedMissProbability returns by how much the prefill raises the probability that a time misses its objective. The
// total includes the prefill; all are in milliseconds.
func addedMissProbability(total, prefill, objective float64) float64 {
	if objective <= 0 {
		return 0
	}
	return missProbability(total/objective, gapMet, gapMissed) - missProbability((total-prefill)/objective, gapMet, gapMissed)
}

// firstToken returns the time to first token of a prompt that adds that much prefill at the engine; both are in
// milliseconds. All pending prefill, of any priority, counts as done before.
func (s *engineState) firstToken(prefill float64) float64 {
	if s.load.Streams == 0 {
		return s.prefill + prefill + s.iteration
	}
	return s.prefill + prefill + s.iteration*3/2
}

// prefillMs returns how long the engine takes for the uncached prefill of a request, in milliseconds.
func prefillMs(rec *ledger.Record, t *target.Target) float64 {
	return float64(UncachedWork(rec, t)) / t.Engine.PrefillTokensPerMs * stepOverhead(t) * slowdown(t)
}
