package operator

import (
	"net/http"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"github.com/labstack/echo/v4"
)

func (h *handlers) registerCommands(e *echo.Echo) {
	e.POST(api.PathDrain, h.drain)
	e.DELETE(api.PathRequests+"/:id", h.cancel)
}

// drain starts a planned stop of this host.
func (h *handlers) drain(c echo.Context) error {
	h.Control.Post(node.Drain{})
	return c.NoContent(http.StatusAccepted)
}

// cancel ends a request that this host has a record of.
func (h *handlers) cancel(c echo.Context) error {
	req := requestFromPath(c)
	return h.answerRecord(c, req, node.Cancel{Request: req})
}
