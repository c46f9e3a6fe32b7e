package dispatch_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/netdial"

	"gotest.tools/v3/assert"
)

// runAgainst runs a dispatch at a target that answers by a function, and returns how it ended.
func runAgainst(t *testing.T, idempotent bool, answer func(net.Conn)) node.Ending {
	t.Helper()
	address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer(conn)
	})
	r := &recorder{}
	dispatch.New(r, netdial.Dialer{}, discardObserver{}).Run(startDispatch(address, idempotent), newExchange([]byte(endingBody)))
	return r.ended[0].Ending
}

// TestHeadOfAnAnswerIsBounded guards against targets whose heads of megabytes, many at once, fill the host.
func TestHeadOfAnAnswerIsBounded(t *testing.T) {
	_, rest, _ := strings.Cut(answerBytes("well"), "\r\n")
	for _, idempotent := range []bool{false, true} {
		for size, want := range map[int]node.Ending{16 << 10: node.EndedDone, 1 << 20: node.EndedLost} {
			ending := runAgainst(t, idempotent, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", size)+"\r\n"+rest)
			})
			assert.Equal(t, ending, want, "%d bytes", size)
		}
	}
}
