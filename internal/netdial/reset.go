package netdial

import "net"

// Reset closes a connection and discards what was not sent. If it is a TCP connection, or wraps one that its NetConn method returns,
// the other side sees a reset instead of the end of the stream.
func Reset(conn net.Conn) {
	inner := conn
	for {
		wrapper, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = wrapper.NetConn()
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = inner.Close() // first, since TLS says good-bye in order
	_ = conn.Close()
}
