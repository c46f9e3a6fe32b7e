package outcomes

import (
	"time"

	"carobshunt/internal/core/node"
	"carobshunt/internal/virtual"
)

// planFaults schedules random faults of the kinds that the schedule has.
func (s *schedule) planFaults() {
	for _, h := range s.hosts {
		if s.kind.kills && s.chance(0.7) {
			s.world.At(s.upTo(faultsWithin), func() { s.kill(h) })
		}
		if s.kind.pauses && s.chance(0.7) {
			s.world.At(s.upTo(faultsWithin), func() { s.pause(h) })
		}
		if s.kind.drains && s.chance(0.5) {
			s.world.At(s.upTo(faultsWithin), func() { s.drain(h) })
		}
		for _, other := range s.hosts {
			if s.kind.cuts && other != h && s.chance(0.4) {
				s.world.At(s.upTo(faultsWithin), func() { s.cutLink(h, other) })
			}
		}
	}
}

func (s *schedule) kill(h *virtual.Host) {
	if !h.Alive() {
		return
	}
	h.Kill()
	s.world.After(s.upTo(2*time.Second), func() { s.restart(h) })
}

func (s *schedule) restart(h *virtual.Host) {
	if h.Alive() {
		return
	}
	h.Start()
	s.resumedAt[h] = 0
	s.world.After(s.upTo(500*time.Millisecond), func() { s.inform(h) })
}

// pause suspends a process for up to longestPause, which is longer than any budget.
func (s *schedule) pause(h *virtual.Host) {
	if !h.Alive() || h.Paused() {
		return
	}
	h.Pause()
	process := h.Self()
	s.forgetLeaving(process)
	s.world.After(s.upTo(longestPause), func() {
		if h.Alive() && h.Self() == process {
			s.resumedAt[h] = h.Clock()
			h.Resume()
		}
	})
}

func (s *schedule) drain(h *virtual.Host) {
	if !h.Alive() {
		return
	}
	h.Post(node.Drain{})
	s.world.After(2*time.Second+s.upTo(2*time.Second), func() {
		if h.Stopped() {
			s.restart(h)
		}
	})
}

func (s *schedule) cutLink(a, b *virtual.Host) {
	name := a.Peer() + " " + b.Peer()
	s.cut[name] = true
	s.world.After(200*time.Millisecond+s.upTo(2*time.Second), func() { delete(s.cut, name) })
}
