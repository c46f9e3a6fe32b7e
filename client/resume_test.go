package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"carobshunt/api"

	"gotest.tools/v3/assert"
)

// line returns a frame as a line of an answer.
func line(f api.Frame) string {
	var out strings.Builder
	_, _ = io.Copy(&out, frames(f))
	return out.String()
}

// serveText returns a step that writes a response and closes the connection in order.
func serveText(response string) connStep {
	return func(conn net.Conn, _ *bufio.Reader, req *http.Request) {
		if req.Method == http.MethodPost {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(conn, response)
	}
}

// serveRest serves the rest of the answer "well" from the offset that the caller asks for.
func serveRest(conn net.Conn, _ *bufio.Reader, req *http.Request) {
	offset, _ := strconv.Atoi(req.URL.Query().Get("offset"))
	rest := line(api.Frame{Dispatch: 1, Offset: int64(offset), Text: "well"[offset:], Last: last("well")})
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCarob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\n\r\n%s", rest)
}

// TestAnswerThatEndsInOrderWithoutItsLastFrameIsResumed guards against an answer that is taken for complete since its body or
// connection ends in order, and against an error that the host or a proxy answers next.
func TestAnswerThatEndsInOrderWithoutItsLastFrameIsResumed(t *testing.T) {
	const head = " 200 OK\r\nCarob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\n"
	part := line(api.Frame{Dispatch: 1, Text: "we"})
	length := fmt.Sprintf("Content-Length: %d\r\n", len(part))
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(part), part)
	for name, c := range map[string]struct{ broken, next string }{
		"no length, then 4xx":             {"HTTP/1.1" + head + "\r\n" + part, "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\noops"},
		"HTTP/1.0, then 5xx":              {"HTTP/1.0" + head + "\r\n" + part, "HTTP/1.0 502 Bad Gateway\r\n\r\noops"},
		"a length, then a page":           {"HTTP/1.1" + head + length + "\r\n" + part, "HTTP/1.1 200 OK\r\n\r\noops"},
		"chunks, then an earlier frame":   {"HTTP/1.1" + head + chunks, "HTTP/1.1" + head + "\r\n" + line(api.Frame{Text: "oops"})},
		"a head after it, then nothing":   {"HTTP/1.1" + head + "\r\n" + part + "HTTP/1.1 500 Oops\r\n\r\noops", ""},
		"an error after it, then no HTTP": {"HTTP/1.1" + head + "\r\n" + part + `{"outcome":"failed","message":"oops"}` + "\n", "oops"},
	} {
		t.Run(name, func(t *testing.T) {
			host := scriptedHost(t, serveText(c.broken), serveText(c.next), serveRest)
			got := outcomeAt(t, host, make([]byte, 1000), false)
			assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
			assert.Equal(t, got.Text, "well")
			assert.Equal(t, got.Attempts, 1)
		})
	}
}
