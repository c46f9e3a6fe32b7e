package engines

import (
	"context"
	"net/http"

	"carobshunt/internal/core/node"
	"carobshunt/internal/core/order"
)

// ReadOrders carries out the action and posts the state, or nothing when the engine does not answer.
func (c *Client) ReadOrders(ctx context.Context, a node.ReadOrders) {
	var state order.State
	status, err := call(ctx, c.http, http.MethodGet, "http://"+a.Target+PathOrders, nil, &state)
	if err == nil && status == http.StatusOK {
		c.control.Post(node.OrdersRead{Target: a.Target, State: state})
	}
}

// SendOrder carries out the action, unless its deadline has passed, and posts the ending.
func (c *Client) SendOrder(ctx context.Context, a node.SendOrder) {
	status, err := call(ctx, c.gated(a.Deadline), http.MethodPut, "http://"+a.Target+PathOrders, a.Order, nil)
	ending := node.OrderLost
	switch {
	case err != nil:
	case status == http.StatusOK:
		ending = node.OrderTaken
	case status == http.StatusConflict:
		ending = node.OrderRefused
	}
	c.control.Post(node.OrderEnded{Target: a.Target, Ending: ending})
}
