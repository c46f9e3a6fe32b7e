package secure

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"carobshunt/internal/netdial"

	"github.com/juju/errors"
)

// Limits are the limits on the connections of a listener.
type Limits struct {
	// MaxConnections is the maximum number of open connections. For a further one, the connection is closed that waits longest for
	// its client. If none waits, the further one is closed as soon as it is accepted, so that clients do not wait in the accept queue.
	MaxConnections int
	// IdleTimeout is how long a read waits for data before it fails; 0 means no limit.
	IdleTimeout time.Duration
	// WriteTimeout is how long a write may block on the other side before it fails; 0 means no limit.
	WriteTimeout time.Duration
	// Traffic counts the bytes that the connections carry; nil disables it.
	Traffic *netdial.Traffic
	// WaitsSinceRead is set if connections wait for their clients since they were last read. It is for a listener whose connections
	// are not told of requests.
	WaitsSinceRead bool
}

// Listener limits the connections of another listener.
type Listener struct {
	net.Listener
	limits    Limits
	open      atomic.Int64
	refused   atomic.Uint64
	displaced atomic.Uint64

	mu sync.Mutex
	// waiting holds the connections that wait for their clients, from the one that waits longest.
	waiting list.List
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
		if l.open.Add(1) <= int64(l.limits.MaxConnections) || l.displace() {
			limited := &limitedConn{Conn: conn, listener: l}
			_ = limited.setWaiting(true)
			return limited, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

// displace closes the connection that waits longest for its client, and reports whether there was one.
func (l *Listener) displace() bool {
	oldest := l.takeOldest()
	if oldest == nil {
		return false
	}
	l.displaced.Add(1)
	_ = oldest.Close()
	return true
}

// takeOldest returns the connection that waits longest, which can serve no request from then on; nil for none.
func (l *Listener) takeOldest() *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	front := l.waiting.Front()
	if front == nil {
		return nil
	}
	oldest := front.Value.(*limitedConn)
	oldest.moveLocked(false)
	oldest.displaced = true
	return oldest
}

// Open returns the number of open connections.
func (l *Listener) Open() int64 { return l.open.Load() }

// Refused returns the number of connections that were closed because too many were open.
func (l *Listener) Refused() uint64 { return l.refused.Load() }

// Displaced returns the number of connections that waited for their clients and were closed for new ones.
func (l *Listener) Displaced() uint64 { return l.displaced.Load() }

// ErrDisplaced is returned for a request on a connection that was closed for a new one before the request was whole.
const ErrDisplaced = errors.ConstError("the connection was closed for another one")

// limitedConn is one connection. It waits for its client until it is told that a request is served, and again when that has ended.
type limitedConn struct {
	net.Conn
	listener *Listener

	// The fields below are guarded by the listener's mutex.

	// place is its place among the waiting connections; nil if it does not wait.
	place *list.Element
	// closed is set by Close, displaced before the connection is closed for a new one.
	closed, displaced bool
}

// setWaiting notes that the connection waits for its client from now on, or that it does not. The error is ErrDisplaced if it was
// closed for a new one before.
func (c *limitedConn) setWaiting(waits bool) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.moveLocked(waits)
	if c.displaced {
		return ErrDisplaced
	}
	return nil
}

func (c *limitedConn) moveLocked(waits bool) {
	if c.place != nil {
		c.listener.waiting.Remove(c.place)
		c.place = nil
	}
	if waits && !c.closed && !c.displaced {
		c.place = c.listener.waiting.PushBack(c)
	}
}

// HeadRead implements httpconn.Observer.
func (c *limitedConn) HeadRead() {}

// RequestBegan implements httpconn.Observer.
func (c *limitedConn) RequestBegan() error { return c.setWaiting(false) }

// RequestEnded implements httpconn.Observer.
func (c *limitedConn) RequestEnded() { _ = c.setWaiting(true) }

// SetBodyAwaited implements httpconn.BodyObserver.
func (c *limitedConn) SetBodyAwaited(awaited bool) error { return c.setWaiting(awaited) }

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if timeout := c.listener.limits.IdleTimeout; timeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.listener.limits.Traffic.AddIn(n)
	if c.listener.limits.WaitsSinceRead {
		_ = c.setWaiting(true)
	}
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

// CloseWrite closes the write side only; net/http looks for this method before it closes a connection. The answer is written, so the
// connection only waits for its client to take it.
func (c *limitedConn) CloseWrite() error {
	err := netdial.CloseWrite(c.Conn)
	_ = c.setWaiting(true)
	return err
}

// Close implements net.Conn. Only the first call has an effect.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	first := !c.closed
	c.closed = true
	c.moveLocked(false)
	c.listener.mu.Unlock()
	if first {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
