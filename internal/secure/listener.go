package secure

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"carobshunt/internal/netdial"
)

// Bounds limit the connections of a listener.
type Bounds struct {
	// Connections is the largest number of connections open at one time. One more is closed at once, so that it is
	// not left waiting.
	Connections int
	// Idle ends a connection on which nothing arrives for that long; 0 for no such end.
	Idle time.Duration
	// Stall ends a connection whose other side takes nothing for that long; 0 for no such end.
	Stall time.Duration
	// Traffic counts the bytes of the connections; nil counts nothing.
	Traffic *netdial.Traffic
}

// Listener bounds another listener.
type Listener struct {
	net.Listener
	bounds  Bounds
	open    atomic.Int64
	refused atomic.Uint64
}

// Bound returns a listener that keeps to the bounds.
func Bound(inner net.Listener, bounds Bounds) *Listener {
	return &Listener{Listener: inner, bounds: bounds}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.bounds.Connections) {
			return &boundConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// Open is the number of connections open now.
func (l *Listener) Open() int64 { return l.open.Load() }

// Refused counts the connections closed because there were too many.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

type boundConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
}

// Read implements net.Conn.
func (c *boundConn) Read(p []byte) (int, error) {
	if idle := c.listener.bounds.Idle; idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.listener.bounds.Traffic.AddIn(n)
	return n, err
}

// Write implements net.Conn.
func (c *boundConn) Write(p []byte) (int, error) {
	if stall := c.listener.bounds.Stall; stall > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(stall)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.listener.bounds.Traffic.AddOut(n)
	return n, err
}

// CloseWrite implements the half-close of net/http.
func (c *boundConn) CloseWrite() error { return netdial.CloseWrite(c.Conn) }

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
