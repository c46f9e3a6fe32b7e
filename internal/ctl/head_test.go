package ctl

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// TestMalformedHeadIsNoSuccess guards against a command that reports success by a broken answer of an operators' interface.
func TestMalformedHeadIsNoSuccess(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Length: 0\r\n") {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head)
				}
				_ = conn.Close()
			}()
			status, text := run("drain", listener.Addr().String())
			assert.Assert(t, status != ExitOK, text)
		})
	}
}
