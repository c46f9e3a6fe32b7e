package virtual

import (
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/order"
)

// OrderTarget is a fake engine that accepts orders. With a Target that doesn't implement it, reads of its state stay
// unanswered and orders end as lost.
type OrderTarget interface {
	Target
	// OrderState returns the state that the engine reports.
	OrderState(w *World) order.State
	// Order executes an order. It reports whether the engine accepted it; one that checks fencing numbers refuses old ones.
	Order(w *World, o order.Order) bool
}

// executeOrder sends an action on orders to an engine, and posts the engine's answer.
func (h *Host) executeOrder(action node.Action) {
	post := h.Poster()
	switch a := action.(type) {
	case node.ReadOrders:
		h.callTarget(a.Target, func(t Target) func() {
			engine, ok := t.(OrderTarget)
			if !ok {
				return nil
			}
			state := engine.OrderState(h.world)
			return func() { post(node.OrdersRead{Target: a.Target, State: state}) }
		}, nil)
	case node.SendOrder:
		h.callTarget(a.Target, func(t Target) func() {
			ending := node.OrderLost
			if engine, ok := t.(OrderTarget); ok {
				ending = node.OrderRefused
				if engine.Order(h.world, a.Order) {
					ending = node.OrderTaken
				}
			}
			return func() { post(node.OrderEnded{Target: a.Target, Ending: ending}) }
		}, func() { post(node.OrderEnded{Target: a.Target, Ending: node.OrderLost}) })
	}
}
