package route

import (
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// Placement is where a request goes.
type Placement struct {
	Target *target.Target
	// Helpers read a part of the prompt each.
	Helpers []*target.Target
	// Obstacle is why there is no Target.
	Obstacle core.Obstacle
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
	return Placement{Target: r.Pick(now, rec, targets), Obstacle: core.ObstacleTargets}
}

// longPromptTokens is the prompt length from which several engines may read a prompt.
const longPromptTokens = 20_000

// IsLong tells whether several engines may read a request's prompt.
func IsLong(rec *ledger.Record) bool { return rec.Request.PromptTokens >= longPromptTokens }
