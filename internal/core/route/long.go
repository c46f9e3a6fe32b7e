package route

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// maxListed is the maximum number of engines that a request may list as prefilling or holding a part of its prompt. The
// engine that answers is listed only as a member of a group.
const maxListed = 16

// buffers are reused by the placements of a Router, which would otherwise allocate for each request and number of parts.
type buffers struct {
	states, unlimited []engineState
	fixed, others     []candidate
	chosen            []ratedEngine
	best              []*target.Target
}

// candidate is an engine that may prefill a part of a prompt, with the time of the whole prefill there in milliseconds.
type candidate struct {
	engineState
	prefillMs float64
}

// candidatesOf appends the candidates of states to a buffer.
func candidatesOf(buffer []candidate, rec *ledger.Record, states []engineState) []candidate {
	for _, s := range states {
		buffer = append(buffer, candidate{engineState: s, prefillMs: prefillMs(rec, s.target)})
	}
	return buffer
}

// placeLong splits the prefill of a long prompt evenly among the set of engines with the lowest cost.
func (r *Router) placeLong(rec *ledger.Record, states []engineState) Placement {
	b := &r.buffers
	b.fixed = b.fixed[:0]
	b.others = candidatesOf(b.others[:0], rec, states)
	b.best = b.best[:0]
	bestLead, bestCost, bestDelayCost := -1, 0.0, 0.0
	for parts := 1; parts <= min(len(states), maxListed+1); parts++ {
		cost, delayCost := r.chooseParts(rec, parts)
		if bestLead >= 0 && cost >= bestCost-minSplitGain {
			continue
		}
		if lead := leadOf(rec, b.chosen); lead >= 0 {
			bestLead, bestCost, bestDelayCost = lead, cost, delayCost
			b.best = appendTargets(b.best[:0], b.chosen)
		}
	}
	if bestLead < 0 {
		return Placement{Obstacle: core.ObstacleMemory}
	}
	if bestDelayCost > answerUtility(rec.Request.PromptTokens) {
		return Placement{Obstacle: core.ObstacleDelaysOthers}
	}
	return Placement{Target: b.best[bestLead], Helpers: slices.Concat(b.best[:bestLead], b.best[bestLead+1:])}
}

// minSplitGain is the cost reduction that justifies more parts, in answers to short prompts.
const minSplitGain = 0.02

// ratedEngine is an engine with the costs of prefilling one part of a prompt there: delayCost to other requests, as
// engineState.delayCost returned it for that part, and lateCost to the prompt itself. firstToken is the predicted time to
// first token in milliseconds.
type ratedEngine struct {
	*engineState
	delayCost, lateCost, zoneCost, firstToken float64
}

// total returns the cost by which engines are preferred.
func (e *ratedEngine) total() float64 { return e.delayCost + e.lateCost + e.zoneCost }

// compare orders engines by cost, those of equal cost by the time to first token.
func (e *ratedEngine) compare(o *ratedEngine) int {
	return cmp.Or(cmp.Compare(e.total(), o.total()), cmp.Compare(e.firstToken, o.firstToken))
}

// rate computes the costs of one part of a prompt at an engine, if it is split into that number of equal parts.
func (r *Router) rate(rec *ledger.Record, c *candidate, parts int) ratedEngine {
	r.ratings++
	prefill := c.prefillMs / float64(parts)
	firstToken := c.firstToken(prefill)
	lateCost := firstTokenCost(firstToken/milliseconds(rec.FirstTokenTarget)) * answerUtility(rec.Request.PromptTokens)
	return ratedEngine{
		engineState: &c.engineState, delayCost: c.delayCost(prefill), lateCost: lateCost, zoneCost: c.zoneCost(partZoneCost),
		firstToken: firstToken,
	}
}

// chooseParts chooses one engine for each part of a prompt, into the buffer chosen: the fixed ones, then those of the others with
// the lowest cost. The cost is the delay cost to other requests plus the cost of the lateness of the prompt's last part.
func (r *Router) chooseParts(rec *ledger.Record, parts int) (cost, delayCost float64) {
	b := &r.buffers
	b.chosen = b.chosen[:0]
	for i := range b.fixed {
		b.chosen = append(b.chosen, r.rate(rec, &b.fixed[i], parts))
	}
	for i := range b.others {
		b.chosen = insertBest(b.chosen, len(b.fixed), parts, r.rate(rec, &b.others[i], parts))
	}
	lateCost, zoneCost := 0.0, 0.0
	for i := range b.chosen {
		delayCost += b.chosen[i].delayCost
		zoneCost += b.chosen[i].zoneCost
		lateCost = max(lateCost, b.chosen[i].lateCost)
	}
	return delayCost + lateCost + zoneCost, delayCost
}

// insertBest inserts an engine into a list of at most n that is sorted from position from on, and drops the last one if there are
// more. Engines of equal cost stay in the order in which they are inserted.
func insertBest(list []ratedEngine, from, n int, e ratedEngine) []ratedEngine {
	if len(list) >= n {
		if len(list) == from || e.compare(&list[n-1]) >= 0 {
			return list
		}
		list = list[:n-1]
	}
	list = append(list, e)
	for i := len(list) - 1; i > from && list[i].compare(&list[i-1]) < 0; i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

// leadOf returns the index of the engine that answers: the one with the fewest streams that has memory and a free slot for the
// request; -1 if there is none.
func leadOf(rec *ledger.Record, chosen []ratedEngine) int {
	lead := -1
	for i := range chosen {
		if !(memoryFilter{}).Keep(0, rec, chosen[i].target) || chosen[i].load.Streams >= chosen[i].target.Slots {
			continue
		}
		if lead < 0 || chosen[i].load.Streams < chosen[lead].load.Streams {
			lead = i
		}
	}
	return lead
}

func appendTargets(out []*target.Target, engines []ratedEngine) []*target.Target {
	for i := range engines {
		out = append(out, engines[i].target)
	}
	return out
}

// HelpersFor returns engines that share the prefill of a prompt with the fixed ones. It returns false if the prompt
// should wait because the delay cost to other requests would exceed the utility of its answer. It returns none and true
// for a request that is not routed, for fixed engines without a published speed, and by routers other than NewPacked.
func (r *Router) HelpersFor(now core.Time, rec *ledger.Record, fixed, targets []*target.Target) ([]*target.Target, bool) {
	if !r.iterationModel || rec.Request.Routed == nil {
		return nil, true
	}
	var fixedStates []engineState
	for _, t := range fixed {
		if t.Engine == nil {
			return nil, true
		}
		fixedStates = append(fixedStates, engineStateOf(t))
	}
	states := slices.DeleteFunc(r.engineStates(now, rec, r.preferredZone(rec), targets), func(s engineState) bool {
		return slices.Contains(fixed, s.target)
	})
	states = withoutReserved(rec, r.withoutLimited(states))
	r.shuffle(states)
	return r.chooseHelpers(rec, fixedStates, states)
}

// minUnseen is the number of prompts that other hosts have probably placed unseen from which engines of equal cost are taken in
// random order. With fewer, the same order at all hosts keeps long prompts together and the other engines free.
const minUnseen = 0.5

// shuffle brings engines in a random order, which decides between those of equal cost: hosts that place long prompts before they
// hear of each other's would otherwise all begin with the same idle engines.
func (r *Router) shuffle(states []engineState) {
	if r.contention.UnseenShort < minUnseen {
		return
	}
	r.rng.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
}

// chooseHelpers chooses the number of engines to add to the fixed ones by cost: a larger number must cost less than the
// chosen one by more than minSplitGain.
func (r *Router) chooseHelpers(rec *ledger.Record, fixed, others []engineState) ([]*target.Target, bool) {
	b := &r.buffers
	b.fixed = candidatesOf(b.fixed[:0], rec, fixed)
	b.others = candidatesOf(b.others[:0], rec, others)
	b.best = b.best[:0]
	bestCost, bestDelayCost := 0.0, 0.0
	for extra := 0; extra <= min(len(others), maxListed-len(fixed)); extra++ {
		cost, delayCost := r.chooseParts(rec, len(fixed)+extra)
		if extra > 0 && cost >= bestCost-minSplitGain {
			continue
		}
		bestCost, bestDelayCost = cost, delayCost
		b.best = appendTargets(b.best[:0], b.chosen[len(fixed):])
	}
	return slices.Clone(b.best), bestDelayCost <= answerUtility(rec.Request.PromptTokens)
}
