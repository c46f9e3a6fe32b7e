package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"carobshunt/internal/core/order"

	"github.com/labstack/echo/v4"
)

// orderState is the state of an engine's orders. The engine's lock guards it.
type orderState struct {
	state order.State
	// outdated counts the orders that took effect although their fencing number was not above the highest one received.
	outdated int
	accepted int
}

const (
	// loadTime is how long loading a model takes at speed 1.
	loadTime = 2 * time.Second
	// loadRetryInterval is the time between two requests to a weight store that refuses a model, at any speed.
	loadRetryInterval = time.Second
)

// queryInt returns a query parameter as a number, or 0 if it is missing or invalid.
func queryInt(c echo.Context, name string) int64 {
	n, _ := strconv.ParseInt(c.QueryParam(name), 10, 64)
	return n
}

func (g *Engine) getOrders(c echo.Context) error { return c.JSON(http.StatusOK, g.Orders()) }

// Orders returns a copy of the state that the engine reports: the highest fencing number, its role and its models.
func (g *Engine) Orders() order.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.orders.state
	state.Models = append([]order.Model{}, state.Models...)
	state.Loading = append([]order.Model{}, state.Loading...)
	return state
}

// SetModels sets the loaded models, without an order and without loading time.
func (g *Engine) SetModels(models ...order.Model) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders.state.Models = models
}

// OutdatedOrders returns the number of orders that took effect although their fencing number was not above the highest one
// received.
func (g *Engine) OutdatedOrders() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders.outdated
}

// order executes an order, which names all models that the engine should hold. An engine that checks fencing numbers
// answers 409 if the number is not above the highest one received.
func (g *Engine) order(c echo.Context) error {
	var o order.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil || o.Fence.Revision == 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	orders := &g.orders
	if o.Fence.Compare(orders.state.Highest) <= 0 {
		if g.opts.ChecksFencing {
			return c.NoContent(http.StatusConflict)
		}
		orders.outdated++
	} else {
		orders.state.Highest = o.Fence
	}
	orders.accepted++
	if o.Role != "" {
		orders.state.Role = o.Role
	}
	unwanted := func(m order.Model) bool { return !slices.Contains(o.Models, m) }
	orders.state.Models = slices.DeleteFunc(slices.Clone(orders.state.Models), unwanted)
	orders.state.Loading = slices.DeleteFunc(slices.Clone(orders.state.Loading), unwanted)
	for _, m := range o.Models {
		if !slices.Contains(orders.state.Models, m) && !slices.Contains(orders.state.Loading, m) {
			orders.state.Loading = append(orders.state.Loading, m)
			go g.loadModel(m)
		}
	}
	return c.NoContent(http.StatusOK)
}

// loadModel loads a model from the weight store. It gives up if a later order no longer names the model.
func (g *Engine) loadModel(m order.Model) {
	for g.opts.Weights != nil && !g.opts.Weights.Load(m) {
		time.Sleep(loadRetryInterval)
		if !g.wantsLoad(m) {
			return
		}
	}
	time.Sleep(g.scaled(loadTime))
	g.mu.Lock()
	defer g.mu.Unlock()
	state := &g.orders.state
	if i := slices.Index(state.Loading, m); i >= 0 {
		state.Loading = slices.Delete(slices.Clone(state.Loading), i, i+1)
		state.Models = append(slices.Clone(state.Models), m)
	}
}

func (g *Engine) wantsLoad(m order.Model) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.orders.state.Loading, m)
}
