// Package httplog logs the requests that net/http rejects before any handler is called: for example headers that are too
// large, bytes that are not HTTP, or conflicting lengths.
package httplog

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"carobshunt/internal/netdial"

	"github.com/hashicorp/go-hclog"
)

// Listener wraps a listener so that rejections by net/http on its connections are logged. The server that accepts from it
// must have been set up by httpconn.Prepare.
func Listener(listener net.Listener, log hclog.Logger) net.Listener {
	return &observedListener{Listener: listener, log: log, lines: &lineLimit{}}
}

type observedListener struct {
	net.Listener
	log   hclog.Logger
	lines *lineLimit
}

// Accept implements net.Listener.
func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http tries again only if it sees a temporary error itself
	}
	return &observedConn{Conn: conn, listener: l}, nil
}

// observedConn is one connection of a client.
type observedConn struct {
	net.Conn
	listener *observedListener
	// handled is set if the current request has reached a handler.
	handled atomic.Bool
}

// Write implements net.Conn. It logs a response to a request that reached no handler: net/http has rejected the request.
func (c *observedConn) Write(p []byte) (int, error) {
	if !c.handled.Load() {
		status, _, _ := bytes.Cut(p, []byte("\r\n"))
		c.logLine(hclog.Warn, "request refused before it was read", "why", string(status))
	}
	n, err := c.Conn.Write(p) // not wrapped, since net/http inspects the error
	if err != nil {
		c.logLine(hclog.Info, "connection to a caller failed", "unwritten", len(p)-n, "why", err.Error())
	}
	return n, err
}

// logLine logs a line with the caller's address, unless there were too many. The next line then has their number.
func (c *observedConn) logLine(level hclog.Level, message string, fields ...any) {
	allowed, leftOut := c.listener.lines.take(time.Now())
	if !allowed {
		return
	}
	fields = append(fields, "caller", c.RemoteAddr().String())
	if leftOut > 0 {
		fields = append(fields, "left_out", leftOut)
	}
	c.listener.log.Log(level, message, fields...)
}

// HeadRead implements httpconn.Observer.
func (c *observedConn) HeadRead() {}

// RequestBegan implements httpconn.Observer: what is written from now on is the handler's.
func (c *observedConn) RequestBegan() error {
	c.handled.Store(true)
	return nil
}

// RequestEnded implements httpconn.Observer.
func (c *observedConn) RequestEnded() { c.handled.Store(false) }

// NetConn returns the connection that this one observes.
func (c *observedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side. net/http calls it so that a client receives a rejection before the connection closes.
func (c *observedConn) CloseWrite() error { return netdial.CloseWrite(c.Conn) }
