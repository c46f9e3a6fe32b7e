package route

import (
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// An engine of published speed works in passes: it writes a number of tokens to every stream, and reads what prompts
// wait in between. A prompt that it reads lengthens the pass, and with it the pause of every stream there. What a
// placement costs is therefore counted in answers that are expected to come late: the request's own, and those of the
// streams beside it. A long prompt is read by as many engines as make that cost least.

// valueTokens is the length of prompt that adds the value of one request to its answer.
const valueTokens = 13_000

// valueOf is what an answer in time is worth, in answers to short prompts.
func valueOf(promptTokens int64) float64 { return 1 + float64(promptTokens)/valueTokens }

// Lateness rises from none to certain between two parts of an aim: predictions are wrong by that much.
const (
	pauseSafe = 0.70
	pauseLost = 1.10
	firstSafe = 0.60
	firstLost = 1.10
)

// A late answer is worth a part of one in time; much later its caller has left.
const (
	latePart     = 0.75
	leavingFrom  = 3
	leavingUntil = 7
	// haste is the cost of the first token's time in parts of its aim, also where that is met or missed for certain.
	haste = 0.03
	// hopeless is the part of the aim from which waiting for another engine is better.
	hopeless = 2
)

// missed is the cost of a first token that is predicted at this part of its aim, in parts of the answer's value.
func missed(part float64) float64 {
	return latePart*lateness(part, firstSafe, firstLost) + (1-latePart)*lateness(part, leavingFrom, leavingUntil) + haste*part
}

// lateness is how likely a time that is predicted as this part of its aim is missed.
func lateness(part, safe, lost float64) float64 {
	return min(max((part-safe)/(lost-safe), 0), 1)
}

// passState is what is known of one engine for a placement, in milliseconds where not said otherwise.
type passState struct {
	target *target.Target
	load   target.Load
	// pass is the time of a pass without reading, reading what is still to be read there.
	pass    float64
	reading float64
}

func passOf(t *target.Target) passState {
	load := t.Total()
	e := t.Engine
	step := e.StepMs + e.StepPerStreamMs*float64(load.Streams) + e.StepPerContextMs*float64(load.Held)/1000
	return passState{
		target:  t,
		load:    load,
		pass:    step * float64(e.StepsPerPass),
		reading: float64(load.Ahead(0)) / e.ReadTokensPerMs * stepOverhead(t),
	}
}

// stepOverhead is how much longer reading takes than at the published rate: each step reads a bounded chunk.
func stepOverhead(t *target.Target) float64 {
	e := t.Engine
	return 1 + e.StepMs*e.ReadTokensPerMs/float64(max(e.ChunkTokens, 1))
}

// harm is what more reading costs the streams that are there and the long prompts that are still read there, in answers
// to short prompts. A part of a prompt goes before other reading.
func (s *passState) harm(reading float64) float64 {
	aim := milliseconds(s.target.StrictPause)
	cost := float64(s.load.Deep) * deepValue * added(s.reading+reading, reading, deepFirsts*aim)
	if s.load.Streams == 0 {
		return cost
	}
	total := s.pass + s.reading + reading
	strict := float64(s.load.Strict)
	others := float64(s.load.Streams - s.load.Strict)
	return cost + strict*added(total, reading, aim) + others*otherValue*added(total, reading, otherPauses*aim)
}

// What is not a strict stream, by its value and by its aim in those of the pauses of strict ones.
const (
	// otherValue and otherPauses are those of other streams.
	otherValue  = 5
	otherPauses = 2.4
	// deepValue and deepFirsts are those of the first token of a long prompt.
	deepValue  = 7
	deepFirsts = 8
)

// added is how much likelier a pass misses an aim with the reading than without it.
func added(total, reading, aim float64) float64 {
	if aim <= 0 {
		return 0
	}
	return lateness(total/aim, pauseSafe, pauseLost) - lateness((total-reading)/aim, pauseSafe, pauseLost)
}

// first is the time to the first token of a prompt of which the engine reads a part.
func (s *passState) first(reading float64) float64 {
	if s.load.Streams == 0 {
		return s.reading + reading + s.pass
	}
	return s.reading + reading + s.pass*3/2
}

func readingMs(rec *ledger.Record, t *target.Target) float64 {
	return float64(UncachedWork(rec, t)) / t.Engine.ReadTokensPerMs * stepOverhead(t)
}
