package virtual

import (
	"carobshunt/internal/core/node"
	"carobshunt/internal/core/order"
)

// OrderTarget is a fake engine that takes orders. A Target that is none does not answer them.
type OrderTarget interface {
	Target
	// OrderState is what the engine tells of itself.
	OrderState(w *World) order.State
	// Order takes an order; it reports false when the engine refuses its fencing number.
	Order(w *World, o order.Order) bool
}

// executeOrder carries an action to an engine, and its answer back, over the network.
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
