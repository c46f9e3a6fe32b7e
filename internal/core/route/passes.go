package route

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// An engine of published speed works in passes: it writes a number of tokens to every stream, and reads what prompts
// wait in between. A prompt that it reads lengthens the pass, and with it the pause of every stream there. What a
// placement costs is therefore counted in answers that are expected to come late: the request's own, and those of the
// streams beside it. A long prompt is read by as many engines as make that cost least.

// Placement is where a request goes.
type Placement struct {
	Target *target.Target
	// Helpers read a part of the prompt each.
	Helpers []*target.Target
}

// maxHelpers is how many engines may read a prompt beside the one that answers.
const maxHelpers = 16

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

// packedPart is the part of an engine's slots up to which short streams are packed, packBonus what each stream that is
// there makes up for.
const (
	packedPart = 0.75
	packBonus  = 0.004
)

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

// placeShort returns the engine at which a short prompt costs least. The cost of a draw decides between equals.
func placeShort(rec *ledger.Record, states []passState, draw func() float64) Placement {
	best, bestCost := -1, 0.0
	for i := range states {
		cost := shortCost(rec, &states[i]) + draw()*packBonus/2
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Placement{}
	}
	return Placement{Target: states[best].target}
}

// beyondShare tells whether an engine is so full that all hosts together would overfill it, and this host has its share
// of it. What others leave of theirs a host may take when it has its turn.
func (r *Router) beyondShare(now core.Time, s *passState) bool {
	slots := s.target.Slots
	if s.load.Streams+int64(len(r.crowd.Live)) <= slots || r.crowd.turn(now) {
		return false
	}
	return int64(s.target.InFlight()) >= r.crowd.Share(s.target.Address, slots)
}

// full tells whether a short request does better to wait for another engine.
func (s *passState) full(now core.Time, rec *ledger.Record) bool {
	late := s.first(readingMs(rec, s.target)) > hopeless*milliseconds(rec.FirstTokenTarget)
	return late || s.load.Streams >= s.target.Slots || !(memoryFilter{}).Keep(now, rec, s.target)
}

func shortCost(rec *ledger.Record, s *passState) float64 {
	reading := readingMs(rec, s.target)
	cost := missed(s.first(reading) / milliseconds(rec.FirstTokenTarget))
	if aim := milliseconds(rec.Request.Routed.GapTarget); aim > 0 {
		cost += lateness((s.pass+s.reading)/aim, pauseSafe, pauseLost)
	}
	cost += s.harm(reading)
	slots := float64(s.target.Slots)
	streams := float64(s.load.Streams)
	if streams < slots*packedPart {
		return cost - packBonus*streams
	}
	return cost + packBonus*(streams-slots*packedPart)
}

func readingMs(rec *ledger.Record, t *target.Target) float64 {
	return float64(UncachedWork(rec, t)) / t.Engine.ReadTokensPerMs * stepOverhead(t)
}

// placeLong returns the engines that read a long prompt at the least cost. All that it is read by read the same part.
func placeLong(rec *ledger.Record, states []passState) Placement {
	var best Placement
	bestCost, bestHarm := 0.0, 0.0
	for parts := 1; parts <= min(len(states), maxHelpers+1); parts++ {
		chosen, cost, harm := chooseParts(rec, nil, states, parts)
		if best.Target == nil || cost < bestCost-partCost {
			if p := placementOf(rec, chosen); p.Target != nil {
				best, bestCost, bestHarm = p, cost, harm
			}
		}
	}
	if bestHarm > valueOf(rec.Request.PromptTokens) {
		return Placement{}
	}
	return best
}

// partCost is by how much more parts must be better, in answers to short prompts.
const partCost = 0.02

// ratedState is an engine with what a part of a prompt costs there: harm to others, and the prompt's own lateness.
type ratedState struct {
	passState
	harm, late, first float64
}

func rate(rec *ledger.Record, states []passState, parts int) []ratedState {
	out := make([]ratedState, len(states))
	for i, s := range states {
		reading := readingMs(rec, s.target) / float64(parts)
		first := s.first(reading)
		late := missed(first/milliseconds(rec.FirstTokenTarget)) * valueOf(rec.Request.PromptTokens)
		out[i] = ratedState{passState: s, harm: s.harm(reading), late: late, first: first}
	}
	return out
}

// chooseParts returns the engines that a prompt in so many parts harms least, the fixed ones before the others, and the
// cost: their harm to others and the prompt's own lateness.
func chooseParts(rec *ledger.Record, fixed, others []passState, parts int) (chosen []passState, cost, harm float64) {
	list := rate(rec, others, parts)
	slices.SortStableFunc(list, func(a, b ratedState) int {
		return cmp.Or(cmp.Compare(a.harm+a.late, b.harm+b.late), cmp.Compare(a.first, b.first))
	})
	list = append(rate(rec, fixed, parts), list[:parts-len(fixed)]...)
	late := 0.0
	for _, s := range list {
		chosen = append(chosen, s.passState)
		harm += s.harm
		late = max(late, s.late)
	}
	return chosen, harm + late, harm
}

// placementOf puts the answer on the engine with the fewest streams that has the memory for it.
func placementOf(rec *ledger.Record, chosen []passState) Placement {
	lead := -1
	for i := range chosen {
		if !(memoryFilter{}).Keep(0, rec, chosen[i].target) || chosen[i].load.Streams >= chosen[i].target.Slots {
			continue
		}
		if lead < 0 || chosen[i].load.Streams < chosen[lead].load.Streams {
			lead = i
		}
	}
	if lead < 0 {
		return Placement{}
	}
	p := Placement{Target: chosen[lead].target}
	for i := range chosen {
		if i != lead {
			p.Helpers = append(p.Helpers, chosen[i].target)
		}
	}
	return p
}

// passStates returns the engines that may take a part of the request, or nothing where some target is no engine of
// published speed.
func (r *Router) passStates(now core.Time, rec *ledger.Record, targets []*target.Target) []passState {
	var out []passState
	for _, t := range targets {
		if t.Engine == nil || !r.keep(now, rec, t) {
			continue
		}
		out = append(out, passOf(t))
	}
	return out
}

// HelpersFor returns engines that read a part of a prompt beside the fixed ones. It reports false when the prompt does
// better to wait: it would harm others more than it is worth.
func (r *Router) HelpersFor(now core.Time, rec *ledger.Record, fixed, targets []*target.Target) ([]*target.Target, bool) {
	if !r.passes || rec.Request.Routed == nil {
		return nil, true
	}
	var held []passState
	for _, t := range fixed {
		if t.Engine == nil {
			return nil, true
		}
		held = append(held, passOf(t))
	}
	states := slices.DeleteFunc(r.passStates(now, rec, targets), func(s passState) bool {
		return slices.Contains(fixed, s.target)
	})
	return chooseHelpers(rec, held, states)
}

// chooseHelpers adds engines to those that are fixed as long as that makes the cost less.
func chooseHelpers(rec *ledger.Record, fixed, others []passState) ([]*target.Target, bool) {
	var best []*target.Target
	bestCost, bestHarm := 0.0, 0.0
	for extra := 0; extra <= min(len(others), maxHelpers+1-len(fixed)); extra++ {
		chosen, cost, harm := chooseParts(rec, fixed, others, len(fixed)+extra)
		if extra > 0 && cost >= bestCost-partCost {
			continue
		}
		best, bestCost, bestHarm = best[:0:0], cost, harm
		for _, s := range chosen[len(fixed):] {
			best = append(best, s.target)
		}
	}
	return best, bestHarm <= valueOf(rec.Request.PromptTokens)
}

// Place returns where the request goes; without a Target nothing can take it now.
func (r *Router) Place(now core.Time, rec *ledger.Record, targets []*target.Target) Placement {
	if r.passes && rec.Request.Routed != nil {
		if states := r.passStates(now, rec, targets); len(states) > 0 {
			if IsLong(rec) {
				return placeLong(rec, states)
			}
			return placeShort(rec, slices.DeleteFunc(states, func(s passState) bool {
				return s.full(now, rec) || r.beyondShare(now, &s)
			}), r.rng.Float64)
		}
	}
	return Placement{Target: r.Pick(now, rec, targets)}
}

// longPromptTokens is the prompt length from which several engines may read a prompt.
const longPromptTokens = 20_000

// IsLong tells whether several engines may read a request's prompt.
func IsLong(rec *ledger.Record) bool { return rec.Request.PromptTokens >= longPromptTokens }
