package netdial

import "net"

// Reset closes a connection and discards what was not sent. If it is a TCP connection, or wraps one that its NetConn method returns,
// the other side sees a reset instead of the end of the stream.
func Reset(conn net.Conn) {
	ResetOnClose(conn, true)
	_ = innermost(conn).Close() // first, since TLS says good-bye in order
	_ = conn.Close()
}

// ResetOnClose sets whether the end of a connection, however it comes, is a reset for the other side, if it is a TCP connection or
// wraps one.
func ResetOnClose(conn net.Conn, reset bool) {
	tcp, ok := innermost(conn).(*net.TCPConn)
	if !ok {
		return
	}
	linger := -1 // what was written is sent
	if reset {
		linger = 0
	}
	_ = tcp.SetLinger(linger) // it fails only for a connection that is closed
}

// innermost returns the connection that a connection wraps.
func innermost(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}
