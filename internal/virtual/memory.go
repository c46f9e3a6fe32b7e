package virtual

import (
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/sweep"
)

// MemoryTarget is a fake engine with reservable memory. A Target that doesn't implement it grants every reservation at
// once and doesn't answer requests for its holdings.
type MemoryTarget interface {
	Target
	// Reserve grants, renews, queues or refuses a reservation of reserve.Tokens tokens of memory. The reservation expires
	// reserve.Expiry after the latest request for it.
	Reserve(w *World, reserve node.Reserve) group.Answer
	// Release releases a reservation; an unknown one is ignored.
	Release(w *World, release node.Release)
	// Holdings lists the streams, reservations and exports that hold memory or are queued for it.
	Holdings(w *World) []sweep.Holding
	// CancelHolding frees a holding that the sweep found overdue, orphaned or forgotten; an unknown one is ignored.
	CancelHolding(w *World, cancel node.CancelHolding)
}

// executeMemory sends an action on an engine's memory to the engine, and posts the engine's answer.
func (h *Host) executeMemory(action node.Action) {
	post := h.Poster()
	switch a := action.(type) {
	case node.Reserve:
		h.reserve(a)
	case node.Release:
		h.callMemory(a.Target, func(t MemoryTarget) func() {
			t.Release(h.world, a)
			return nil
		})
	case node.ListMemory:
		h.callMemory(a.Target, func(t MemoryTarget) func() {
			list := t.Holdings(h.world)
			return func() { post(node.MemoryListed{Target: a.Target, Holdings: list}) }
		})
	case node.CancelHolding:
		h.callMemory(a.Target, func(t MemoryTarget) func() {
			t.CancelHolding(h.world, a)
			return nil
		})
	}
}

// reserve sends a reservation request to an engine and posts the answer, or Unreachable if either message is lost.
func (h *Host) reserve(a node.Reserve) {
	post := h.Poster()
	reply := func(answer group.Answer) {
		post(node.ReservationAnswered{
			Key: a.Key, Target: a.Target, Instance: a.Instance, Reservation: a.Reservation, SentAt: a.SentAt, Answer: answer,
		})
	}
	h.callTarget(a.Target, func(t Target) func() {
		answer := group.Held
		if memory, ok := t.(MemoryTarget); ok {
			answer = memory.Reserve(h.world, a)
		}
		return func() { reply(answer) }
	}, func() { reply(group.Unreachable) })
}

// callMemory calls a target if it is a MemoryTarget. A lost call has no effect.
func (h *Host) callMemory(address string, call func(MemoryTarget) func()) {
	h.callTarget(address, func(t Target) func() {
		if memory, ok := t.(MemoryTarget); ok {
			return call(memory)
		}
		return nil
	}, nil)
}

// callTimeout is the time from the loss of a call or of its answer to the call's failure.
const callTimeout = 2 * group.RenewInterval

// callTarget runs call at a target after the network delay, and the function that call returns after the delay of the
// answer. A nil function means that the target doesn't answer. The network sees the host's peer address and the
// target's address. If the target doesn't exist, or either message is lost, failed runs after callTimeout unless it is
// nil.
func (h *Host) callTarget(address string, call func(Target) func(), failed func()) {
	lost := func() {
		if failed != nil {
			h.world.After(callTimeout, failed)
		}
	}
	requestDelay, ok := h.world.Network.Delay(h.world.now, h.opts.Peer, address)
	if !ok || h.world.Targets[address] == nil {
		lost()
		return
	}
	h.world.After(requestDelay, func() {
		target := h.world.Targets[address]
		if target == nil {
			lost()
			return
		}
		answer := call(target)
		answerDelay, ok := h.world.Network.Delay(h.world.now, address, h.opts.Peer)
		switch {
		case answer == nil:
		case !ok:
			lost()
		default:
			h.world.After(answerDelay, answer)
		}
	})
}
