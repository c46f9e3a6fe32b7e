package replay

import (
	"slices"

	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/sweep"
	"carobshunt/internal/virtual"
)

// Reserve implements virtual.MemoryTarget.
func (t *engineTarget) Reserve(_ *virtual.World, reserve node.Reserve) group.Answer {
	if t.engine.Dead() {
		return group.Unreachable
	}
	known, held := t.engine.Reserve(reserve.Reservation.Name(), reserve.Tokens, reserve.Expiry, reserve.Renewal)
	switch {
	case held:
		return group.Held
	case known:
		return group.Waiting
	}
	return group.Refused
}

// Release implements virtual.MemoryTarget.
func (t *engineTarget) Release(_ *virtual.World, release node.Release) {
	t.engine.Release(release.Reservation.Name())
}

// Holdings implements virtual.MemoryTarget.
func (t *engineTarget) Holdings(*virtual.World) []sweep.Holding {
	var out []sweep.Holding
	for _, name := range t.engine.StreamNames() {
		out = append(out, sweep.Holding{Kind: sweep.KindStream, Name: name, Attached: t.hasReader(name)})
	}
	for _, name := range t.engine.Reservations() {
		out = append(out, sweep.Holding{Kind: sweep.KindReservation, Name: name, Attached: true})
	}
	return out
}

// hasReader reports whether a host reads the stream from this engine. In a group only the first member has a reader.
func (t *engineTarget) hasReader(name string) bool {
	return slices.ContainsFunc(t.streams, func(s *engineStream) bool { return s.name == name })
}

// CancelHolding implements virtual.MemoryTarget.
func (t *engineTarget) CancelHolding(_ *virtual.World, cancel node.CancelHolding) {
	if cancel.Kind == sweep.KindReservation {
		t.engine.Release(cancel.Name)
		return
	}
	t.engine.Cancel(cancel.Name)
}
