package netdial

import (
	"net"

	"github.com/juju/errors"
)

// halfCloser is a connection that can end its outgoing half alone.
type halfCloser interface{ CloseWrite() error }

// CloseWrite ends the outgoing half of a connection, so that what was written arrives before the connection closes. A
// connection that has no halves stays as it is. Wrappers of connections pass it on: net/http asks for it.
func CloseWrite(conn net.Conn) error {
	if half, ok := conn.(halfCloser); ok {
		return errors.Trace(half.CloseWrite())
	}
	return nil
}
