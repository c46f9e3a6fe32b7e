package netdial

import (
	"net"
	"sync/atomic"
)

// Traffic counts bytes on the wire. A nil Traffic counts nothing. It is safe for concurrent use.
type Traffic struct {
	in, out atomic.Uint64
}

// AddIn counts received bytes.
func (t *Traffic) AddIn(n int) {
	if t != nil {
		t.in.Add(uint64(n))
	}
}

// AddOut counts sent bytes.
func (t *Traffic) AddOut(n int) {
	if t != nil {
		t.out.Add(uint64(n))
	}
}

// In returns the number of bytes received. It may not be called on a nil Traffic.
func (t *Traffic) In() uint64 { return t.in.Load() }

// Out returns the number of bytes sent. It may not be called on a nil Traffic.
func (t *Traffic) Out() uint64 { return t.out.Load() }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.AddIn(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.AddOut(n)
	return n, err
}
