package peer_test

import (
	"net"
	"os"
	"syscall"
	"testing"

	"carobshunt/internal/peer"

	"gotest.tools/v3/assert"
)

// fullListener fails to accept its first connection for want of descriptors, and closes when it is asked again.
type fullListener struct{ asked int }

func (l *fullListener) Accept() (net.Conn, error) {
	if l.asked++; l.asked > 1 {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept", syscall.EMFILE)}
}

func (*fullListener) Close() error   { return nil }
func (*fullListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServerAcceptsAgainAfterItHadNoDescriptor guards against a host whose servers all end as its peers' interface could not accept one
// connection.
func TestServerAcceptsAgainAfterItHadNoDescriptor(t *testing.T) {
	listener := &fullListener{}
	err := peer.NewServer(nil, 1).Serve(t.Context(), listener)
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, listener.asked, 2)
}
