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

// orderBook is what an engine knows of its orders. The engine's lock guards it.
type orderBook struct {
	state order.State
	// outdated counts orders that took effect after one of a higher fencing number.
	outdated int
	taken    int
}

// Times of loading.
const (
	loadTime = 2 * time.Second
	// loadRetry is the time between two tries to get a model from a weight store that refuses.
	loadRetry = time.Second
)

func queryNumber(c echo.Context, name string) int64 {
	n, _ := strconv.ParseInt(c.QueryParam(name), 10, 64)
	return n
}

func (g *Engine) orderState(c echo.Context) error { return c.JSON(http.StatusOK, g.Orders()) }

// Orders is the engine's state towards orders.
func (g *Engine) Orders() order.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.orders.state
	state.Models = append([]order.Model{}, state.Models...)
	state.Loading = append([]order.Model{}, state.Loading...)
	return state
}

// SetModels makes the engine hold models, as if it had loaded them.
func (g *Engine) SetModels(models ...order.Model) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders.state.Models = models
}

// OutdatedOrders counts the orders that took effect after one of a higher fencing number.
func (g *Engine) OutdatedOrders() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.orders.outdated
}

// order takes an absolute order: 409 for an old fencing number on an engine that checks them.
func (g *Engine) order(c echo.Context) error {
	var o order.Order
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil || o.Fence.Revision == 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	book := &g.orders
	if o.Fence.Compare(book.state.Highest) <= 0 {
		if g.opts.ChecksFencing {
			return c.NoContent(http.StatusConflict)
		}
		book.outdated++
	} else {
		book.state.Highest = o.Fence
	}
	book.taken++
	if o.Role != "" {
		book.state.Role = o.Role
	}
	unwanted := func(m order.Model) bool { return !slices.Contains(o.Models, m) }
	book.state.Models = slices.DeleteFunc(slices.Clone(book.state.Models), unwanted)
	book.state.Loading = slices.DeleteFunc(slices.Clone(book.state.Loading), unwanted)
	for _, m := range o.Models {
		if !slices.Contains(book.state.Models, m) && !slices.Contains(book.state.Loading, m) {
			book.state.Loading = append(book.state.Loading, m)
			go g.loadModel(m)
		}
	}
	return c.NoContent(http.StatusOK)
}

// loadModel gets a model from the weight store, unless it is no longer wanted.
func (g *Engine) loadModel(m order.Model) {
	for g.opts.Weights != nil && !g.opts.Weights.Load(m) {
		time.Sleep(loadRetry)
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
