package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"carobshunt/internal/core/sweep"
	"carobshunt/internal/engines"

	"github.com/labstack/echo/v4"
)

// StreamInfo is an entry of an engine's lists of streams and reservations, and the answer for an export.
type StreamInfo struct {
	Name string `json:"name"`
	// Tokens is the KV memory held, in tokens.
	Tokens int64 `json:"tokens"`
}

// reserve creates or renews a reservation. It answers 200 if the memory is held, 202 while it is queued, 404 to the renewal
// of an unknown reservation, and 429 if it is larger than the engine's memory.
func (g *Engine) reserve(c echo.Context, name string) error {
	var body engines.Reservation
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil || body.Tokens <= 0 || body.ExpiryMs <= 0 {
		return c.NoContent(http.StatusBadRequest)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.expire()
	h := g.memory.holds[holdID{sweep.KindReservation, name}]
	switch {
	case h == nil && body.Renewal:
		return c.NoContent(http.StatusNotFound)
	case body.Tokens > g.opts.MemoryTokens:
		return c.NoContent(http.StatusTooManyRequests)
	case h == nil:
		h = g.memory.enqueue(sweep.KindReservation, name, body.Tokens)
	}
	expiry := time.Duration(body.ExpiryMs) * time.Millisecond
	h.expires = time.Now().Add(expiry)
	time.AfterFunc(expiry, g.expire)
	if h.isGranted() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusAccepted)
}

// expire frees the expired reservations; a timer calls it.
func (g *Engine) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory.expire()
}

func (g *Engine) release(c echo.Context, name string) error {
	return g.free(c, sweep.KindReservation, name)
}

func (g *Engine) dropExport(c echo.Context, name string) error {
	return g.free(c, sweep.KindExport, name)
}

func (g *Engine) free(c echo.Context, kind sweep.Kind, name string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.memory.free(kind, name) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusNoContent)
}

// export holds memory under the export's name: for a copy of the stream that the query parameter "stream" names, or
// without it for an import of "tokens" tokens from elsewhere. It refuses instead of queueing, also while others queue.
func (g *Engine) export(c echo.Context, name string) error {
	tokens, source := queryInt(c, "tokens"), c.QueryParam("stream")
	g.mu.Lock()
	defer g.mu.Unlock()
	if source != "" {
		s := g.streams[source]
		if s == nil {
			return c.NoContent(http.StatusNotFound)
		}
		tokens = s.prompt + s.answer
	}
	g.memory.expire()
	_, known := g.memory.holds[holdID{sweep.KindExport, name}]
	switch {
	case known:
		return c.NoContent(http.StatusConflict)
	case tokens <= 0:
		return c.NoContent(http.StatusBadRequest)
	case len(g.memory.queue) > 0 || g.memory.used+tokens > g.memory.total:
		return c.NoContent(http.StatusTooManyRequests)
	}
	g.memory.enqueue(sweep.KindExport, name, tokens)
	return c.JSON(http.StatusOK, StreamInfo{Name: name, Tokens: tokens})
}

func (g *Engine) readExport(c echo.Context, name string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.memory.holds[holdID{sweep.KindExport, name}]
	if h == nil {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, StreamInfo{Name: name, Tokens: h.tokens})
}

// listHoldings reports everything that holds memory or is queued for it.
func (g *Engine) listHoldings(c echo.Context) error { return c.JSON(http.StatusOK, g.Holdings()) }

func (g *Engine) listStreams(c echo.Context) error { return g.listKind(c, sweep.KindStream) }

func (g *Engine) listReservations(c echo.Context) error { return g.listKind(c, sweep.KindReservation) }

func (g *Engine) listKind(c echo.Context, kind sweep.Kind) error {
	out := []StreamInfo{}
	for _, h := range g.Holdings() {
		if h.Kind == kind {
			out = append(out, StreamInfo{Name: h.Name, Tokens: h.Tokens})
		}
	}
	return c.JSON(http.StatusOK, out)
}
