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

// engineStates returns the state of the engines with a published speed that pass the filters, for a request that prefers
// those of a zone. Other targets are left out. The result is valid until the next call.
func (r *Router) engineStates(now core.Time, rec *ledger.Record, zone string, targets []*target.Target) []engineState {
	out := r.buffers.states[:0]
	for _, s := range r.pass.engines(now, rec.Request.Model, targets).states {
		if !(zoneFilter{}).Keep(now, rec, s.target) || !(untriedFilter{}).Keep(now, rec, s.target) {
			continue
		}
		r.ratings++
		s.otherZone = zone != "" && s.target.Zone != zone
		out = append(out, s)
	}
	r.buffers.states = out
	return out
}

// Place selects the target of a request and its helpers. Target is nil when the request has to wait.
func (r *Router) Place(now core.Time, rec *ledger.Record, targets []*target.Target) Placement {
	if r.iterationModel && rec.Request.Routed != nil {
		zone := r.preferredZone(rec) // also of one that finds no room: it draws once, when it is first looked at
		if obstacle := r.full(now, rec, targets); obstacle != core.ObstacleNone {
			return Placement{Obstacle: obstacle}
		}
		if states := r.engineStates(now, rec, zone, targets); len(states) > 0 {
			if IsLong(rec) {
				states = withoutReserved(rec, r.withoutLimited(states))
				r.shuffle(states)
				return r.placeLong(rec, states)
			}
			return placeShort(rec, slices.DeleteFunc(states, func(s engineState) bool {
				return s.overloaded(now, rec) || r.exceedsShare(now, &s)
			}), r.shortSpread(), r.rng.Float64)
		}
	}
	return Placement{Target: r.Pick(now, rec, targets), Obstacle: core.ObstacleTargets}
}

// full returns why no engine of a request's service has room for it, if that is plain without rating any: none has a free slot.
// ObstacleNone means that it is not.
func (r *Router) full(now core.Time, rec *ledger.Record, targets []*target.Target) core.Obstacle {
	engines := r.pass.engines(now, rec.Request.Model, targets)
	if engines.freeSlot || len(engines.states) == 0 || rec.Request.Zones.Restricted() || len(rec.Tried) > 0 {
		return core.ObstacleNone
	}
	if IsLong(rec) {
		return core.ObstacleMemory
	}
	return core.ObstacleSlots
}

// longPromptTokens is the prompt length from which several engines may share the prefill.
const longPromptTokens = 20_000

// IsLong reports whether the prompt is long enough for several engines to share its prefill.
func IsLong(rec *ledger.Record) bool { return rec.Request.PromptTokens >= longPromptTokens }

// withoutLimited leaves out engines that name a limit, unless all do: such an engine is in need, and the part of a long
// prompt is much work for one request. The result is valid until the next call.
func (r *Router) withoutLimited(states []engineState) []engineState {
	unlimited := r.buffers.unlimited[:0]
	for i := range states {
		if !states[i].target.Limited() {
			unlimited = append(unlimited, states[i])
		}
	}
	r.buffers.unlimited = unlimited
	if len(unlimited) == 0 {
		return states
	}
	return unlimited
}
