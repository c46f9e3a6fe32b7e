package gateway

import (
	"io"
	"net/http"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/httpstrict"
	"carobshunt/internal/netdial"

	"github.com/labstack/echo/v4"
)

// Timeouts of a forwarded request. The continue timeout is longer than any budget: the body is sent only after the
// home's "100 Continue", so that a home that refuses or is suspended receives no byte of it.
const (
	forwardDialTimeout     = time.Second
	forwardContinueTimeout = 24 * time.Hour
)

func newForwarder(dialer netdial.Dialer) *http.Client {
	transport := &http.Transport{
		DialContext:           dialer.WithTimeout(forwardDialTimeout),
		ExpectContinueTimeout: forwardContinueTimeout,
		DisableKeepAlives:     true,
	}
	return &http.Client{Transport: httpstrict.NewTransport(transport), CheckRedirect: netdial.ReturnRedirect}
}

// forward proxies a request to its home. If that fails, or another server has the home's address, the home may have run
// the request on this or an earlier attempt, so the outcome is unknown.
func (g *Gateway) forward(c echo.Context, home core.Home) error {
	in := c.Request()
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+home.Address+in.URL.RequestURI(), in.Body)
	if err != nil {
		return writeError(c, homeUnreachable(in))
	}
	out.Header = in.Header.Clone()
	out.Header.Set(api.HeaderForwarded, g.self.String())
	out.ContentLength = in.ContentLength
	out.GetBody = nil
	if in.ContentLength > 0 {
		out.Header.Set("Expect", "100-continue")
	}
	resp, err := g.forwarder.Do(out)
	if err != nil {
		return writeError(c, homeUnreachable(in))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(api.HeaderHost) == "" {
		return writeError(c, homeUnreachable(in)) // every answer of a host names it
	}
	for name, values := range resp.Header {
		c.Response().Header()[name] = values
	}
	c.Response().WriteHeader(resp.StatusCode)
	return copyFlushing(c.Response(), resp.Body)
}

func homeUnreachable(r *http.Request) *api.Error {
	return &api.Error{
		Request:      r.Header.Get(api.HeaderRequest),
		Outcome:      api.OutcomeUnknown,
		Code:         api.CodeHomeUnreachable,
		Message:      "the home does not answer; it alone knows the outcome",
		RetryAfterMs: notReadyRetryAfter.Milliseconds(),
	}
}

// copyBufferBytes is the size of the buffer for reads from the home.
const copyBufferBytes = 32 << 10

// copyFlushing copies a stream and flushes after every read. If the stream breaks off or a write fails, it aborts the caller's
// connection, so that the caller does not take the answer for complete.
func copyFlushing(w *echo.Response, body io.Reader) error {
	control := http.NewResponseController(w.Writer)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) // also for the last chunk, which follows this function
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			if werr := control.Flush(); werr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
