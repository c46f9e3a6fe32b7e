package httplog_test

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"carobshunt/internal/httpconn"
	"carobshunt/internal/httplog"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// abortedListener fails to accept its first connection, for want of descriptors.
type abortedListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *abortedListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServerGoesOnAfterAFailedAccept guards against a server that ends for good, with its open answers, as one connection could not be
// accepted: net/http tries again only if it sees the listener's own error.
func TestServerGoesOnAfterAFailedAccept(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	httpconn.Prepare(server)
	ended := make(chan error, 1)
	listener := httplog.Listener(&abortedListener{Listener: inner}, hclog.NewNullLogger())
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + inner.Addr().String())
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	select {
	case err := <-ended:
		t.Fatalf("the server has ended: %v", err)
	case err := <-answered:
		assert.NilError(t, err)
	}
}
