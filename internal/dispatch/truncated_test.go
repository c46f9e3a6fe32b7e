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
	"carobshunt/internal/stream"

	"gotest.tools/v3/assert"
)

// TestAnswerCutAtAnyByteIsLost guards against a target that stops within the head or the frames of its answer and closes, and
// whose answer counts as complete. What is missing at the end of the last frame may be the end of its line.
func TestAnswerCutAtAnyByteIsLost(t *testing.T) {
	_, frames, _ := strings.Cut(answerBytes("well"), "\r\n\r\n")
	for name, text := range map[string]string{
		"length":     answerBytes("well"),
		"connection": "HTTP/1.0 200 OK\r\n\r\n" + frames,
	} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, text[:cut])
			})
			for ; cut < len(text)-1; cut++ {
				r := &recorder{}
				dispatch.New(r, netdial.Dialer{}, discardObserver{}).Run(startDispatch(address, cut%2 == 0), newExchange([]byte(endingBody)))
				assert.Equal(t, r.ended[0].Ending, node.EndedLost, "after %d of %d bytes", cut, len(text))
			}
			r, ex := &recorder{}, newExchange([]byte(endingBody))
			dispatch.New(r, netdial.Dialer{}, discardObserver{}).Run(startDispatch(address, true), ex)
			assert.Equal(t, r.ended[0].Ending, node.EndedDone)
			got, err := ex.Answer.Next(t.Context(), stream.Position{})
			assert.NilError(t, err)
			assert.Equal(t, got.Text, "well")
		})
	}
}
