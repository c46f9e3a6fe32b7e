package route

import (
	"cmp"
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// maxListed is how many engines a request may name that read or hold a part of its prompt. The one that answers is
// named only where it holds memory for the prompt.
const maxListed = 16

// placeLong returns the engines that read a long prompt at the least cost. All that it is read by read the same part.
func placeLong(rec *ledger.Record, states []passState) Placement {
	var best Placement
	bestCost, bestHarm := 0.0, 0.0
	for parts := 1; parts <= min(len(states), maxListed+1); parts++ {
		chosen, cost, harm := chooseParts(rec, nil, states, parts)
		if best.Target == nil || cost < bestCost-partCost {
			if p := placementOf(rec, chosen); p.Target != nil {
				best, bestCost, bestHarm = p, cost, harm
			}
		}
	}
	if best.Target == nil {
		return Placement{Obstacle: core.ObstacleMemory}
	}
	if bestHarm > valueOf(rec.Request.PromptTokens) {
		return Placement{Obstacle: core.ObstacleOthers}
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
	for extra := 0; extra <= min(len(others), maxListed-len(fixed)); extra++ {
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
