// Package operator serves the operators' HTTP interface of an entry host: queries for the status, the document in force,
// request records and metrics, and the commands drain and cancel.
package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/headlimit"
	"carobshunt/internal/secure"

	"github.com/labstack/echo/v4"
)

// Control is the part of the control loop that this interface uses.
type Control interface {
	Ask(context.Context, node.Input) (node.Decision, error)
	Post(node.Input)
	Snapshot() *node.Snapshot
}

// Options configure the interface.
type Options struct {
	Control Control
	// Self names this host in answers.
	Self core.Home
	// Keys are the operators' keys; nil if no key is required.
	Keys *secure.KeyList
	// Metrics serves PathMetrics.
	Metrics http.Handler
}

// PathMetrics is the path at which metrics are scraped.
const PathMetrics = "/metrics"

// Timeouts and sizes of the operators' interface.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 20 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10 // bytes
)

// NewServer returns the server of the operators' interface.
func NewServer(o Options) *http.Server {
	e := echo.New()
	e.HideBanner = true
	h := &handlers{Options: o}
	e.HTTPErrorHandler = unknownPath
	e.Use(h.authorize)
	h.registerQueries(e)
	h.registerCommands(e)
	server := headlimit.NewServer(e)
	server.ReadTimeout = readTimeout
	server.WriteTimeout = writeTimeout
	return server
}

// HeadLimits returns the limits on the heads of operators' requests.
func HeadLimits() headlimit.Limits {
	return headlimit.Limits{Bytes: maxHeaderBytes, Timeout: headerTimeout, Idle: idleTimeout}
}

type handlers struct{ Options }

func (h *handlers) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if h.Keys == nil || h.Keys.Allows(secure.BearerKey(c.Request().Header)) {
			return next(c)
		}
		return c.JSON(http.StatusUnauthorized, &api.Error{
			Outcome: api.OutcomeNotRun, Code: api.CodeUnauthorized, Message: "not an operator's key",
		})
	}
}

// unknownPath answers requests that match no route, or whose handler returned an error, with status 404. Answers that have
// begun are left alone.
func unknownPath(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	_ = c.JSON(http.StatusNotFound, &api.Error{
		Outcome: api.OutcomeNotRun, Code: api.CodeMalformed, Message: c.Request().Method + " " + c.Request().URL.Path + ": " + err.Error(),
	})
}

// requestFromPath returns the request that the path and the team parameter name. It is marked idempotent because a query
// or a cancel of an unknown request that is not idempotent would close its identifier.
func requestFromPath(c echo.Context) core.Request {
	key := core.Key{Team: c.QueryParam("team"), ID: strings.TrimSpace(c.Param("id"))}
	return core.Request{Key: key, Idempotent: true}
}

// answerRecord passes in to the control loop and answers with the resulting state of the request's record.
func (h *handlers) answerRecord(c echo.Context, req core.Request, in node.Input) error {
	if req.Team == "" {
		return c.JSON(http.StatusBadRequest, &api.Error{
			Request: req.ID, Outcome: api.OutcomeNotRun, Code: api.CodeMalformed, Message: "team: missing",
		})
	}
	d, err := h.Control.Ask(c.Request().Context(), in)
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, &api.Error{
			Request: req.ID, Outcome: api.OutcomeUnknown, Code: api.CodeDraining, Message: "this host is stopping",
		})
	}
	if d.Result.Code == api.CodeNotFound {
		return c.JSON(http.StatusNotFound, &api.Error{
			Request: req.ID, Outcome: d.Result.Outcome, Code: d.Result.Code, Message: d.Result.Message,
		})
	}
	return c.JSON(http.StatusOK, api.RecordState{
		State: api.State{
			Request:      req.ID,
			Outcome:      d.Result.Outcome,
			Code:         d.Result.Code,
			Target:       d.Target,
			RetryAfterMs: d.Result.RetryAfter.Milliseconds(),
		},
		Team: req.Team,
		Host: h.Self.String(),
	})
}
