package netdial

import (
	"net"

	"github.com/juju/errors"
)

// halfCloser is a connection whose write side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the write side of a connection, so that written data arrives before the connection closes. It does
// nothing if the connection has no CloseWrite method. Wrappers of connections call it from a CloseWrite method of their
// own, which net/http looks for.
func CloseWrite(conn net.Conn) error {
	if half, ok := conn.(halfCloser); ok {
		return errors.Trace(half.CloseWrite())
	}
	return nil
}
