package published

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"carobshunt/internal/core/node"
	"carobshunt/internal/netdial"
	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// recorder is a Poster that keeps what is posted.
type recorder struct{ posted []node.Input }

func (r *recorder) Post(in node.Input)       { r.posted = append(r.posted, in) }
func (*recorder) Snapshot() *node.Snapshot   { return &node.Snapshot{} }
func (r *recorder) reader(at string) *Reader { return NewReader(at, r, netdial.Dialer{}) }

// serveText runs a server that answers the first request on each connection with a text.
func serveText(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestMalformedHeadPublishesNothing guards against documents and load reports that are read from a broken answer.
func TestMalformedHeadPublishesNothing(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Type: application/json\r\nContent-Length: 2\r\n") {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			address := serveText(t, head+"{}")
			raw, err := r.reader(address).get(t.Context(), PathConfig, 1)
			assert.Assert(t, err != nil, "%q", raw)
			readLoad(t.Context(), newClient(netdial.Dialer{}, loadTimeout), r, address)
			assert.Equal(t, len(r.posted), 0)
		})
	}
}
