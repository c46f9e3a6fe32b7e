package route

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// Short streams are packed onto few engines: each stream at an engine lowers the cost there by packBonus, in answers to
// short prompts, while fewer than packedFraction of the slots are used. From there on there is no such bonus, and each
// stream above that fraction raises the cost by packBonus.
const (
	packedFraction = 0.75
	packBonus      = 0.004
)

// minSpreadStreams breaks near-ties, with less than the effect of one stream.
const minSpreadStreams = 0.5

// shortSpread returns the upper bound of the random cost that is added for each engine: the effect of as many streams as other hosts
// have probably placed unseen, but at least that of minSpreadStreams. Without it, all hosts of a zone would choose the same engine.
func (r *Router) shortSpread() float64 {
	return packBonus * max(r.contention.UnseenShort, minSpreadStreams)
}

// placeShort returns the engine with the lowest cost for a short prompt, of which a random part below spread, from draw.
func placeShort(rec *ledger.Record, states []engineState, spread float64, draw func() float64) Placement {
	best, bestCost := -1, 0.0
	for i := range states {
		cost := shortCost(rec, &states[i]) + draw()*spread
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Placement{Obstacle: core.ObstacleSlots}
	}
	return Placement{Target: states[best].target}
}

// contentionDivisor limits the free slots below which an engine counts as contended to 1/contentionDivisor of its slots:
// more hosts than that rarely send to one engine before they learn of each other's dispatches.
const contentionDivisor = 4

// exceedsShare reports whether an engine has so few free slots that concurrent dispatches of all hosts could overfill
// it, and this host has used its share of all its slots. A host whose turn it is may use what others leave of theirs.
func (r *Router) exceedsShare(now core.Time, s *engineState) bool {
	slots := s.target.Slots
	margin := min(int64(len(r.contention.Live)), slots/contentionDivisor)
	if s.load.Streams+margin <= slots || r.hasTurn(now) {
		return false
	}
	return int64(s.target.InFlight()) >= r.share(s.target.Address, slots)
}

// overloaded reports whether a short request had better wait for another engine: the first token would be too late, or
// there is no free slot or memory.
func (s *engineState) overloaded(now core.Time, rec *ledger.Record) bool {
	late := s.firstToken(prefillMs(rec, s.target)) > tooLateFactor*milliseconds(rec.FirstTokenTarget)
	return late || s.load.Streams >= s.target.Slots || !(memoryFilter{}).Keep(now, rec, s.target)
}

// shortCost returns the cost of a short request at an engine, in answers to short prompts.
func shortCost(rec *ledger.Record, s *engineState) float64 {
	prefill := prefillMs(rec, s.target)
	cost := firstTokenCost(s.firstToken(prefill) / milliseconds(rec.FirstTokenTarget))
	if objective := milliseconds(rec.Request.Routed.GapTarget); objective > 0 {
		cost += missProbability((s.iteration+s.prefill)/objective, gapMet, gapMissed)
	}
	cost += s.delayCost(prefill) + s.zoneCost(shortZoneCost)
	slots := float64(s.target.Slots)
	streams := float64(s.load.Streams)
	if streams < slots*packedFraction {
		return cost - packBonus*streams
	}
	return cost + packBonus*(streams-slots*packedFraction)
}
