package order

import (
	"time"

	"carobshunt/internal/core"
)

// StepInAfter is how long an engine must want an order, and get none, before the second in line orders it: longer than
// the first may wait for its share of the weight store's rate.
const StepInAfter = paceWindow + 20*time.Second

// Standby watches an engine for its commander, who may be cut off from it without knowing. Both order the same if
// they order at once, since orders are absolute and follow from the document. It is not safe for concurrent use.
type Standby struct {
	tenure Tenure
	// wanting is set while the engine wants an order, idle is since when it has had none.
	wanting bool
	idle    core.Time
	highest Fence
	// sent is this host's own last order.
	sent Fence
}

// Step notes whether this host is the engine's second now.
func (s *Standby) Step(now core.Time, second bool) { s.tenure.Step(now, second) }

// Watches tells whether the host is to read the engine.
func (s *Standby) Watches() bool { return s.tenure.held }

// See takes a reading: the highest fencing number that the engine has seen, and whether it wants an order. It reports
// whether this host is to order it.
func (s *Standby) See(now core.Time, highest Fence, wants bool) bool {
	moved := highest != s.highest && highest != s.sent
	s.highest = highest
	if !wants {
		s.wanting = false
		return false
	}
	if !s.wanting || moved {
		s.wanting = true
		s.idle = now
	}
	return s.tenure.held && now-s.tenure.stepped <= sleepGap && now-max(s.idle, s.tenure.since) >= StepInAfter
}

// Sent notes an order of this host's own, which is no sign that the commander reaches the engine.
func (s *Standby) Sent(f Fence) { s.sent = f }
