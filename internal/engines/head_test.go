package engines

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"carobshunt/internal/core"
	"carobshunt/internal/core/group"
	"carobshunt/internal/core/node"
	"carobshunt/internal/netdial"
	"carobshunt/internal/testhead"

	"gotest.tools/v3/assert"
)

// recorder is a Control that keeps what is posted.
type recorder struct{ posted []node.Input }

func (r *recorder) Post(in node.Input) { r.posted = append(r.posted, in) }
func (*recorder) Now() core.Time       { return 0 }

// serveText runs an engine that answers the first request on each connection with a text.
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
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestMalformedHeadOfAnEngineShowsNothing guards against memory, lists and orders that are judged by a broken answer.
func TestMalformedHeadOfAnEngineShowsNothing(t *testing.T) {
	for name, head := range testhead.Malformed("Content-Type: application/json\r\nContent-Length: 2\r\n") {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			c := New(r, netdial.Dialer{})
			engine := serveText(t, head+"{}")
			c.Reserve(t.Context(), node.Reserve{Target: engine})
			assert.Equal(t, r.posted[0].(node.ReservationAnswered).Answer, group.Unreachable)
			c.SendOrder(t.Context(), node.SendOrder{Target: engine, Deadline: 1})
			assert.Equal(t, r.posted[1].(node.OrderEnded).Ending, node.OrderLost)
			c.ListMemory(t.Context(), node.ListMemory{Target: serveText(t, head+"[]")})
			c.ReadOrders(t.Context(), node.ReadOrders{Target: engine})
			assert.Equal(t, len(r.posted), 2)
		})
	}
}
