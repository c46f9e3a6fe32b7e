package virtual

import (
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/sweep"
)

// MemoryTarget is a fake engine whose memory is shared out. A Target that is none holds reservations at once and
// lists nothing.
type MemoryTarget interface {
	Target
	// Reserve holds, renews or queues memory and returns the answer. An engine keeps a reservation under its name
	// for order.Expiry from now; order.Tokens is the memory.
	Reserve(w *World, order node.Reserve) group.Answer
	// Release drops a reservation; one that is not known is no fault.
	Release(w *World, order node.Release)
	// Holdings lists everything that holds memory.
	Holdings(w *World) []sweep.Holding
	// CancelHolding frees what the sweep condemned; what is not known is no fault.
	CancelHolding(w *World, order node.CancelHolding)
}

// executeMemory carries an action to an engine, and its answer back, over the network.
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

func (h *Host) reserve(a node.Reserve) {
	post := h.Poster()
	reply := func(answer group.Answer) {
		post(node.ReservationAnswered{Key: a.Key, Target: a.Target, Reservation: a.Reservation, SentAt: a.SentAt, Answer: answer})
	}
	h.callTarget(a.Target, func(t Target) func() {
		answer := group.Held
		if memory, ok := t.(MemoryTarget); ok {
			answer = memory.Reserve(h.world, a)
		}
		return func() { reply(answer) }
	}, func() { reply(group.Unreachable) })
}

// callMemory calls an engine that has memory; a call that is lost has no consequence.
func (h *Host) callMemory(address string, call func(MemoryTarget) func()) {
	h.callTarget(address, func(t Target) func() {
		if memory, ok := t.(MemoryTarget); ok {
			return call(memory)
		}
		return nil
	}, nil)
}

// unreachableAfter is when a call that was lost, or whose answer was, is given up.
const unreachableAfter = 2 * group.RenewInterval

// callTarget runs call at a target after one way over the network, and what it returns after the way back. The
// network is asked with the host's peer address and the target's address. Failed runs when the target does not exist
// or either way loses the message.
func (h *Host) callTarget(address string, call func(Target) func(), failed func()) {
	lost := func() {
		if failed != nil {
			h.world.After(unreachableAfter, failed)
		}
	}
	there, ok := h.world.Network.Delay(h.world.now, h.opts.Peer, address)
	if !ok || h.world.Targets[address] == nil {
		lost()
		return
	}
	h.world.After(there, func() {
		target := h.world.Targets[address]
		if target == nil {
			lost()
			return
		}
		back := call(target)
		delay, ok := h.world.Network.Delay(h.world.now, address, h.opts.Peer)
		switch {
		case back == nil:
		case !ok:
			lost()
		default:
			h.world.After(delay, back)
		}
	})
}
