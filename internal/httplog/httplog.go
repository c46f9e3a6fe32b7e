// Package httplog logs the requests that net/http refuses by itself, before any handler sees them: headers that are too
// large, bytes that are no HTTP, two lengths.
package httplog

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"carobshunt/internal/netdial"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

// Listener wraps a listener so that refusals on its connections are logged. The server that accepts from it must have
// been prepared by Prepare.
func Listener(listener net.Listener, log hclog.Logger) net.Listener {
	return &observedListener{Listener: listener, log: log}
}

// Prepare makes a server tell its connections which bytes are a handler's. Its handler must be set before.
func Prepare(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*observedConn); ok {
			conn.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if observed, ok := conn.(*observedConn); ok && state == http.StateIdle {
			observed.handled.Store(false)
		}
	}
}

type connKey struct{}

type observedListener struct {
	net.Listener
	log hclog.Logger
}

// Accept implements net.Listener.
func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &observedConn{Conn: conn, log: l.log}, nil
}

// observedConn is one connection of a caller.
type observedConn struct {
	net.Conn
	log hclog.Logger
	// handled: the request that is being answered reached a handler.
	handled atomic.Bool
}

// Write implements net.Conn. An answer to a request that reached no handler is a refusal by net/http.
func (c *observedConn) Write(p []byte) (int, error) {
	if !c.handled.Load() {
		status, _, _ := bytes.Cut(p, []byte("\r\n"))
		c.log.Warn("request refused before it was read", "caller", c.RemoteAddr().String(), "why", string(status))
	}
	return c.Conn.Write(p) // net/http looks at the error itself
}

// CloseWrite implements the half-close of net/http.
func (c *observedConn) CloseWrite() error { return netdial.CloseWrite(c.Conn) }
