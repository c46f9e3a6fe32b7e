// Package httplog logs the requests that net/http rejects before any handler is called: for example headers that are too
// large, bytes that are not HTTP, or conflicting lengths.
package httplog

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"carobshunt/internal/netdial"

	"github.com/hashicorp/go-hclog"
)

// Listener wraps a listener so that rejections by net/http on its connections are logged. The server that accepts from it
// must have been set up by Prepare.
func Listener(listener net.Listener, log hclog.Logger) net.Listener {
	return &observedListener{Listener: listener, log: log}
}

// Prepare makes a server mark its connections while a handler serves a request, so that the handler's responses are
// distinguished from rejections. The server's handler must be set before.
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

// Conn returns the connection of the request whose context is given; nil for a server that Prepare has not set up.
func Conn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// connKey is the context key of a request's connection.
type connKey struct{}

type observedListener struct {
	net.Listener
	log hclog.Logger
}

// Accept implements net.Listener.
func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http tries again only if it sees a temporary error itself
	}
	return &observedConn{Conn: conn, log: l.log}, nil
}

// observedConn is one connection of a client.
type observedConn struct {
	net.Conn
	log hclog.Logger
	// handled is set if the current request has reached a handler.
	handled atomic.Bool
}

// Write implements net.Conn. It logs a response to a request that reached no handler: net/http has rejected the request.
func (c *observedConn) Write(p []byte) (int, error) {
	if !c.handled.Load() {
		status, _, _ := bytes.Cut(p, []byte("\r\n"))
		c.log.Warn("request refused before it was read", "caller", c.RemoteAddr().String(), "why", string(status))
	}
	n, err := c.Conn.Write(p) // not wrapped, since net/http inspects the error
	if err != nil {
		c.log.Info("connection to a caller failed", "caller", c.RemoteAddr().String(), "unwritten", len(p)-n, "why", err.Error())
	}
	return n, err
}

// NetConn returns the connection that this one observes.
func (c *observedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side. net/http calls it so that a client receives a rejection before the connection closes.
func (c *observedConn) CloseWrite() error { return netdial.CloseWrite(c.Conn) }
