package engines

import (
	"context"
	"net/http"

	"carobshunt/internal/core/node"
	"carobshunt/internal/core/order"
	"carobshunt/internal/jsonhttp"
)

// ReadOrders posts the engine's order state as a node.OrdersRead; it posts nothing if the call fails.
func (c *Client) ReadOrders(ctx context.Context, a node.ReadOrders) {
	var state order.State
	status, err := c.call(ctx, http.MethodGet, "http://"+a.Target+PathOrders, nil, &state)
	if err == nil && status == http.StatusOK {
		c.control.Post(node.OrdersRead{Target: a.Target, State: state})
	}
}

// SendOrder sends an order, unless its deadline has passed, and posts a node.OrderEnded.
func (c *Client) SendOrder(ctx context.Context, a node.SendOrder) {
	caller := jsonhttp.Caller{Client: c.clientUntil(a.Deadline), MaxBytes: maxListBytes}
	status, err := caller.Call(ctx, http.MethodPut, "http://"+a.Target+PathOrders, a.Order, nil)
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
