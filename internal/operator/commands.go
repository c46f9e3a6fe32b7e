package operator

import (
	"net/http"
	"slices"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"github.com/labstack/echo/v4"
)

func (h *handlers) registerCommands(e *echo.Echo) {
	e.POST(api.PathDrain, h.drain)
	e.DELETE(api.PathRequests+"/:id", h.cancel)
	e.DELETE(api.PathWithheld+"/:name", h.release)
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

// release lets all hosts send on again what they withhold.
func (h *handlers) release(c echo.Context) error {
	name := c.Param("name")
	withheld := h.Control.Snapshot().Status.Withheld
	if !slices.ContainsFunc(withheld, func(w api.WithheldWork) bool { return w.Name() == name }) {
		return c.JSON(http.StatusNotFound, &api.Error{
			Outcome: api.OutcomeFailed, Code: api.CodeNotFound, Message: "nothing is withheld by this name",
		})
	}
	h.Control.Post(node.ReleaseWithheld{Name: name})
	return c.NoContent(http.StatusAccepted)
}
