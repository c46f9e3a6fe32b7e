package route

import (
	"slices"

	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
	"carobshunt/internal/core/target"
)

// Placement is the decision where a request is sent.
type Placement struct {
	Target *target.Target
	// Helpers are the prefill helpers: engines that each prefill a part of the prompt for Target.
	Helpers []*target.Target
	// Obstacle is the reason why Target is nil; not valid otherwise.
	Obstacle core.Obstacle
}

// engineStates returns the state of the engines with a published speed that pass the filters. Other targets are left
// out.
func (r *Router) engineStates(now core.Time, rec *ledger.Record, targets []*target.Target) []engineState {
	zone := r.preferredZone(rec)
	var out []engineState
	for _, t := range targets {
		if t.Engine == nil || !r.keep(now, rec, t) {
			continue
		}
		r.ratings++
		s := engineStateOf(t)
		s.otherZone = zone != "" && t.Zone != zone
		out = append(out, s)
	}
	return out
}

// Place selects the target of a request and its helpers. Target is nil when the request has to wait.
func (r *Router) Place(now core.Time, rec *ledger.Record, targets []*target.Target) Placement {
	if r.iterationModel && rec.Request.Routed != nil {
		if states := r.engineStates(now, rec, targets); len(states) > 0 {
			if IsLong(rec) {
				states = withoutReserved(rec, withoutLimited(states))
				r.shuffle(states)
				return placeLong(rec, states)
			}
			return placeShort(rec, slices.DeleteFunc(states, func(s engineState) bool {
				return s.overloaded(now, rec) || r.exceedsShare(now, &s)
			}), r.shortSpread(), r.rng.Float64)
		}
	}
	return Placement{Target: r.Pick(now, rec, targets), Obstacle: core.ObstacleTargets}
}

// longPromptTokens is the prompt length from which several engines may share the prefill.
const longPromptTokens = 20_000

// IsLong reports whether the prompt is long enough for several engines to share its prefill.
func IsLong(rec *ledger.Record) bool { return rec.Request.PromptTokens >= longPromptTokens }

// withoutLimited leaves out engines that name a limit, unless all do: such an engine is in need, and the part of a long
// prompt is much work for one request.
func withoutLimited(states []engineState) []engineState {
	unlimited := slices.DeleteFunc(slices.Clone(states), func(s engineState) bool { return s.target.Limited() })
	if len(unlimited) == 0 {
		return states
	}
	return unlimited
}
