package gateway

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"carobshunt/internal/core"
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
