package secure

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"carobshunt/internal/netdial"
)

// Limits are the limits on the connections of a listener.
type Limits struct {
	// MaxConnections is the maximum number of open connections. Further ones are closed as soon as they are accepted, so
	// that clients do not wait in the accept queue.
	MaxConnections int
	// IdleTimeout is how long a read waits for data before it fails; 0 means no limit.
	IdleTimeout time.Duration
	// WriteTimeout is how long a write may block on the other side before it fails; 0 means no limit.
	WriteTimeout time.Duration
	// Traffic counts the bytes that the connections carry; nil disables it.
	Traffic *netdial.Traffic
}

// Listener limits the connections of another listener.
type Listener struct {
	net.Listener
	limits  Limits
	open    atomic.Int64
	refused atomic.Uint64
}

// LimitListener returns a listener that enforces limits on the connections of inner.
func LimitListener(inner net.Listener, limits Limits) *Listener {
	return &Listener{Listener: inner, limits: limits}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.limits.MaxConnections) {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int64 { return l.open.Load() }

// Refused returns the number of connections that were closed because too many were open.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

type limitedConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if timeout := c.listener.limits.IdleTimeout; timeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.listener.limits.Traffic.AddIn(n)
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	if timeout := c.listener.limits.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.listener.limits.Traffic.AddOut(n)
	return n, err
}

// NetConn returns the connection that this one limits.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side only; net/http looks for this method before it closes a connection.
func (c *limitedConn) CloseWrite() error { return netdial.CloseWrite(c.Conn) }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
