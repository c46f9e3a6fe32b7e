package dispatch_test

import (
	"bufio"
	"fmt"
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

// TestAnswerWithoutEndIsLost guards against a target whose frames have no end, each of which is valid: the host kept them all.
func TestAnswerWithoutEndIsLost(t *testing.T) {
	const frames = 64 // of a megabyte; then the answer ends as a whole one would not
	text := strings.Repeat("x", 1<<20-100)
	sent := 0
	ending := runAgainst(t, true, func(conn net.Conn) {
		_, err := io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n")
		for ; err == nil && sent < frames; sent++ {
			_, err = fmt.Fprintf(conn, `{"offset":%d,"text":%q}`+"\n", sent*len(text), text)
		}
		_, _ = io.WriteString(conn, `{"error":"the target has sent all"}`+"\n")
	})
	assert.Equal(t, ending, node.EndedLost) // EndedFailed if all was read
}
