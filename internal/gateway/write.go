package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
)

// frameMediaType is the media type of streamed answers.
const frameMediaType = "application/x-ndjson"

// statusOf returns the HTTP status for an error code.
func statusOf(code api.Code) int {
	switch code {
	case api.CodeMalformed, api.CodeTruncated, api.CodeChecksum, api.CodeHomeRequired:
		return http.StatusBadRequest
	case api.CodeUnauthorized:
		return http.StatusUnauthorized
	case api.CodeNoAllowedTarget:
		return http.StatusForbidden
	case api.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case api.CodeConflict, api.CodeClosed, api.CodeRecordExpired, api.CodeHomeGone:
		return http.StatusConflict
	case api.CodeNotFound, api.CodeUnknownModel, api.CodeUnknownTeam:
		return http.StatusNotFound
	case api.CodeOffsetOutOfRange:
		return http.StatusRequestedRangeNotSatisfiable
	case api.CodeDeadline:
		return http.StatusGatewayTimeout
	case api.CodeOverloaded, api.CodeTeamLimit, api.CodeBodyMemory, api.CodeRecordsFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// handleRouteError responds to requests that match no route, and counts them: countRefusals has run by then.
func (g *Gateway) handleRouteError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := malformed(c.Request().Method + " " + c.Request().URL.Path + ": " + err.Error())
	g.observer.Refused(e.Code)
	_ = writeError(c, e)
}

// unreadBodyTimeout bounds how long a connection waits, after an error response, for the rest of a body that is not read.
const unreadBodyTimeout = time.Second

// writeError responds with a typed error without reading the body.
func writeError(c echo.Context, e *api.Error) error {
	return writeErrorWithin(c, e, unreadBodyTimeout)
}

// writeErrorWithin responds with a typed error, and leaves its code for countRefusals. It waits for the rest of the body for a time,
// since net/http reads it first. The retry delay is given in the body, in milliseconds, and in the Retry-After header, in whole seconds
// rounded up.
func writeErrorWithin(c echo.Context, e *api.Error, bodyTime time.Duration) error {
	if e.RetryAfterMs > 0 {
		seconds := (e.RetryAfterMs + 999) / 1000
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.Set(refusalKey, e.Code)
	control := http.NewResponseController(c.Response().Writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime))
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.JSON(statusOf(e.Code), e)
}

// writeTimeout bounds one write to a caller, so that a caller that stops reading does not hold resources forever.
const writeTimeout = 30 * time.Second

// frameWriter writes the frames of a streamed answer to a caller.
type frameWriter struct {
	control *http.ResponseController
	encoder *json.Encoder
	req     core.Request
	// lastSource is the source last sent to the caller; a frame names its source only when that changes.
	lastSource stream.Source
}

func newFrameWriter(response *echo.Response, req core.Request) *frameWriter {
	control := http.NewResponseController(response.Writer)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	response.Header().Set(echo.HeaderContentType, frameMediaType)
	response.WriteHeader(http.StatusOK)
	_ = control.Flush() // if the caller is gone, the first frame's write fails
	return &frameWriter{control: control, encoder: json.NewEncoder(response), req: req}
}

func (w *frameWriter) write(chunk stream.Chunk) error {
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	frame := api.Frame{
		Request:  w.req.ID,
		Attempt:  w.req.Attempt,
		Dispatch: chunk.At.Dispatch,
		Offset:   chunk.At.Offset,
		Text:     chunk.Text,
		Last:     chunk.Last,
	}
	if chunk.Source != w.lastSource {
		w.lastSource = chunk.Source
		frame.Target, frame.Stream = chunk.Source.Target, chunk.Source.Stream
	}
	if err := w.encoder.Encode(frame); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(w.control.Flush())
}
