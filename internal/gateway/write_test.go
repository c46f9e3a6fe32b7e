package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
)

// singleConnListener is a listener that hands out one connection.
type singleConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error   { close(l.closed); return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestWriteToACallerThatStoppedReadingTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := &singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conns <- far
		failed := make(chan error, 1)
		e := echo.New()
		e.GET("/", func(c echo.Context) error {
			w := newFrameWriter(c.Response(), core.Request{})
			failed <- w.write(stream.Chunk{Text: "some text"})
			return nil
		})
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		_, err := fmt.Fprint(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		headers := make([]byte, len("HTTP/1.1 200 OK"))
		_, err = near.Read(headers)
		assert.NilError(t, err)

		start := time.Now()
		err = <-failed
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		assert.Equal(t, time.Since(start), writeTimeout)
		_ = near.Close()
		_ = server.Close()
	})
}

// endless is a body of a home that never ends.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestForwardingToACallerThatStoppedReadingTimesOut guards against a forwarded answer that holds its connections for ever.
func TestForwardingToACallerThatStoppedReadingTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := &singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conns <- far
		ended := make(chan any, 1)
		e := echo.New()
		e.GET("/", func(c echo.Context) error {
			defer func() { ended <- recover() }()
			return copyFlushing(c.Response(), endless{})
		})
		server := &http.Server{Handler: e}
		go func() { _ = server.Serve(l) }()
		_, err := fmt.Fprint(near, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		start := time.Now()
		select {
		case got := <-ended:
			assert.Equal(t, got, http.ErrAbortHandler)
			assert.Equal(t, time.Since(start), writeTimeout)
		case <-time.After(time.Hour):
			t.Error("still writing after an hour")
		}
		_ = near.Close()
		_ = server.Close()
	})
}

// serveOnPipe serves the requests of one connection in memory, and returns the caller's end of it.
func serveOnPipe(t *testing.T, handler echo.HandlerFunc) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	l := &singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	l.conns <- far
	e := echo.New()
	e.Any("/", handler)
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = near.Close()
		_ = server.Close()
	})
	return near
}

// pausingBody is a body that ends a while after its only byte.
type pausingBody struct{ begun bool }

// Read implements io.Reader.
func (b *pausingBody) Read(p []byte) (int, error) {
	if b.begun {
		time.Sleep(writeTimeout + time.Second)
		return 0, io.EOF
	}
	b.begun = true
	p[0] = 'x'
	return 1, nil
}

// TestForwardedAnswerThatEndsAfterAPauseIsWhole guards against a last chunk that is written under the deadline of a write long before.
func TestForwardedAnswerThatEndsAfterAPauseIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := serveOnPipe(t, func(c echo.Context) error { return copyFlushing(c.Response(), &pausingBody{}) })
		go func() { _, _ = fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }()
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "x")
	})
}

// idleControl is a Control that does nothing.
type idleControl struct{ Control }

func (idleControl) Now() core.Time  { return 0 }
func (idleControl) Post(node.Input) {}

// TestLastAnswerOfAStopDoesNotWaitForTheRestOfTheBody guards against a request whose body has not arrived when the host stops: if its
// answer waits for the rest, the process is killed before.
func TestLastAnswerOfAStopDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{control: idleControl{}}
		req := core.Request{Key: core.Key{ID: "request-1"}, BodyBytes: 9}
		ex := stream.NewStore().Open(req.Key)
		caller := serveOnPipe(t, func(c echo.Context) error {
			return g.answerBodyFault(c, req, ex, g.receiveBody(c, req, ex, time.Hour), time.Hour)
		})
		_, err := fmt.Fprint(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\npart")
		assert.NilError(t, err)
		synctest.Wait()
		start := time.Now()
		ex.Answer.Finish(api.Last{Outcome: api.OutcomeNotRun, Code: api.CodeDraining})
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}
