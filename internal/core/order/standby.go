package order

import (
	"time"

	"carobshunt/internal/core"
)

// TakeoverDelay is how long an engine must need an order and get none before the standby orders it: longer than it
// takes until the leader may use a spent load of its share again. A leader with several loads to order may need longer.
const TakeoverDelay = paceWindow + 20*time.Second

// Standby is one host's role as the standby of an engine's leader, which may be cut off from the engine without knowing
// it. If both give orders at the same time, these are the same, since orders are absolute and follow from the document.
// It is not safe for concurrent use.
type Standby struct {
	term Term
	// needsOrder is set while the engine needs an order, idleSince is the time since which it has needed one and
	// received none of another host.
	needsOrder bool
	idleSince  core.Time
	// highest is the highest fencing number that the engine had seen at the last Observe.
	highest Fence
	// sent is this host's own last order.
	sent Fence
}

// Update sets whether this host is the engine's standby.
func (s *Standby) Update(now core.Time, standby bool) { s.term.Update(now, standby) }

// Active reports whether this host is the standby and so has to read the engine's state.
func (s *Standby) Active() bool { return s.term.held }

// Observe records a reading of the engine: the highest fencing number that it has seen, and whether it needs an order. It
// reports whether this host has to order it in place of the leader.
func (s *Standby) Observe(now core.Time, highest Fence, needsOrder bool) bool {
	advanced := highest != s.highest && highest != s.sent
	s.highest = highest
	if !needsOrder {
		s.needsOrder = false
		return false
	}
	if !s.needsOrder || advanced {
		s.needsOrder = true
		s.idleSince = now
	}
	return s.term.held && now-s.term.updated <= suspensionGap && now-max(s.idleSince, s.term.since) >= TakeoverDelay
}

// Sent records an order of this host, which is no evidence that the leader reaches the engine.
func (s *Standby) Sent(f Fence) { s.sent = f }
