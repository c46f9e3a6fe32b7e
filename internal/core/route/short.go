package route

import (
	"carobshunt/internal/core"
	"carobshunt/internal/core/ledger"
)

// packedPart is the part of an engine's slots up to which short streams are packed, packBonus what each stream that is
// there makes up for.
const (
	packedPart = 0.75
	packBonus  = 0.004
)

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
		return Placement{Obstacle: core.ObstacleSlots}
	}
	return Placement{Target: states[best].target}
}

// crowdedDivisor is the part of an engine's slots, as a divisor, that hosts share out at the most when only so many are
// left. Seldom do more hosts than that send to one engine before they hear of each other.
const crowdedDivisor = 4

// beyondShare tells whether an engine is so full that all hosts together would overfill it, and this host has its share
// of it. What others leave of theirs a host may take when it has its turn.
func (r *Router) beyondShare(now core.Time, s *passState) bool {
	slots := s.target.Slots
	margin := min(int64(len(r.contention.Live)), slots/crowdedDivisor)
	if s.load.Streams+margin <= slots || r.contention.turn(now) {
		return false
	}
	return int64(s.target.InFlight()) >= r.contention.Share(s.target.Address, slots)
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
