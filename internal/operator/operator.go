// Package operator is the operators' interface of an entry host: status, drain, the document in force, metrics.
package operator

import (
	"net/http"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core/node"

	"github.com/labstack/echo/v4"
)

// Control is the part of the control loop that operators need.
type Control interface {
	Post(node.Input)
	Snapshot() *node.Snapshot
}

const headerTimeout = 5 * time.Second

// NewServer returns the server of the operators' interface.
func NewServer(control Control) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.GET(api.PathStatus, func(c echo.Context) error {
		return c.JSON(http.StatusOK, control.Snapshot().Status)
	})
	e.POST(api.PathDrain, func(c echo.Context) error {
		control.Post(node.Drain{})
		return c.NoContent(http.StatusAccepted)
	})
	e.GET(api.PathDocument, func(c echo.Context) error {
		raw := control.Snapshot().RawDocument
		if raw == nil {
			return c.NoContent(http.StatusNotFound)
		}
		return c.JSONBlob(http.StatusOK, raw)
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
}
