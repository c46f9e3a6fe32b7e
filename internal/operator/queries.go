package operator

import (
	"net/http"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"github.com/labstack/echo/v4"
)

func (h *handlers) registerQueries(e *echo.Echo) {
	e.GET(api.PathStatus, h.status)
	e.GET(api.PathDocument, h.document)
	e.GET(api.PathRequests+"/:id", h.outcome)
	e.GET(PathMetrics, echo.WrapHandler(h.Metrics))
}

func (h *handlers) status(c echo.Context) error {
	return c.JSON(http.StatusOK, h.Control.Snapshot().Status)
}

func (h *handlers) document(c echo.Context) error {
	raw := h.Control.Snapshot().RawDocument
	if raw == nil {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSONBlob(http.StatusOK, raw)
}

// outcome answers with the state of a request that this host has a record of.
func (h *handlers) outcome(c echo.Context) error {
	req := requestFromPath(c)
	return h.answerRecord(c, req, node.Query{Request: req})
}
