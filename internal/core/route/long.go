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

// placeLong splits the prefill of a long prompt evenly among the set of engines with the lowest cost.
func placeLong(rec *ledger.Record, states []engineState) Placement {
	var best Placement
	bestCost, bestDelayCost := 0.0, 0.0
	for parts := 1; parts <= min(len(states), maxListed+1); parts++ {
		chosen, cost, delayCost := chooseParts(rec, nil, states, parts)
		if best.Target == nil || cost < bestCost-minSplitGain {
			if p := placementOf(rec, chosen); p.Target != nil {
				best, bestCost, bestDelayCost = p, cost, delayCost
			}
		}
	}
	if best.Target == nil {
		return Placement{Obstacle: core.ObstacleMemory}
	}
	if bestDelayCost > answerUtility(rec.Request.PromptTokens) {
		return Placement{Obstacle: core.ObstacleDelaysOthers}
	}
	return best
}

// minSplitGain is the cost reduction that justifies more parts, in answers to short prompts.
const minSplitGain = 0.02

// ratedEngine is an engine with the costs of prefilling one part of a prompt there: delayCost to other requests, as
// engineState.delayCost returned it for that part, and lateCost to the prompt itself. firstToken is the predicted time to
// first token in milliseconds.
type ratedEngine struct {
	engineState
	delayCost, lateCost, zoneCost, firstToken float64
}

// total returns the cost by which engines are preferred.
func (e *ratedEngine) total() float64 { return e.delayCost + e.lateCost + e.zoneCost }

// rate computes the costs of one part of a prompt at each engine, if it is split into that number of equal parts.
func rate(rec *ledger.Record, states []engineState, parts int) []ratedEngine {
	out := make([]ratedEngine, len(states))
	for i, s := range states {
		prefill := prefillMs(rec, s.target) / float64(parts)
		firstToken := s.firstToken(prefill)
		lateCost := firstTokenCost(firstToken/milliseconds(rec.FirstTokenTarget)) * answerUtility(rec.Request.PromptTokens)
		out[i] = ratedEngine{
			engineState: s, delayCost: s.delayCost(prefill), lateCost: lateCost, zoneCost: s.zoneCost(partZoneCost), firstToken: firstToken,
		}
	}
	return out
}

// chooseParts returns one engine for each part of a prompt: the fixed ones, then those with the lowest cost. The cost
// is the delay cost to other requests plus the cost of the lateness of the prompt's last part.
func chooseParts(rec *ledger.Record, fixed, others []engineState, parts int) (chosen []engineState, cost, delayCost float64) {
	list := rate(rec, others, parts)
	slices.SortStableFunc(list, func(a, b ratedEngine) int {
		return cmp.Or(cmp.Compare(a.total(), b.total()), cmp.Compare(a.firstToken, b.firstToken))
	})
	list = append(rate(rec, fixed, parts), list[:parts-len(fixed)]...)
	lateCost, zoneCost := 0.0, 0.0
	for _, s := range list {
		chosen = append(chosen, s.engineState)
		delayCost += s.delayCost
		zoneCost += s.zoneCost
		lateCost = max(lateCost, s.lateCost)
	}
	return chosen, delayCost + lateCost + zoneCost, delayCost
}

// placementOf assigns the answer to the engine with the fewest streams that has memory and a free slot for it; the
// others are helpers. Without such an engine the placement is empty.
func placementOf(rec *ledger.Record, chosen []engineState) Placement {
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
	states := slices.DeleteFunc(r.engineStates(now, rec, targets), func(s engineState) bool {
		return slices.Contains(fixed, s.target)
	})
	states = withoutReserved(rec, withoutLimited(states))
	r.shuffle(states)
	return chooseHelpers(rec, fixedStates, states)
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
func chooseHelpers(rec *ledger.Record, fixed, others []engineState) ([]*target.Target, bool) {
	var best []*target.Target
	bestCost, bestDelayCost := 0.0, 0.0
	for extra := 0; extra <= min(len(others), maxListed-len(fixed)); extra++ {
		chosen, cost, delayCost := chooseParts(rec, fixed, others, len(fixed)+extra)
		if extra > 0 && cost >= bestCost-minSplitGain {
			continue
		}
		best, bestCost, bestDelayCost = best[:0:0], cost, delayCost
		for _, s := range chosen[len(fixed):] {
			best = append(best, s.target)
		}
	}
	return best, bestDelayCost <= answerUtility(rec.Request.PromptTokens)
}
