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

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 8 << 20

// TestEarlyAnswerCountsOnlyWithItsEnd guards against a target that answers without a length while the request is still being written and
// then resets the connection: the kernel may tell only the write of it, so that the read finds an ordinary end. A whole answer that ends
// in order counts, although the target has not read the request.
func TestEarlyAnswerCountsOnlyWithItsEnd(t *testing.T) {
	_, frames, _ := strings.Cut(answerBytes("well"), "\r\n\r\n")
	first, _, _ := strings.Cut(frames, "\n")
	for _, idempotent := range []bool{true, false} {
		for name, c := range map[string]struct {
			frames string
			end    func(*net.TCPConn, io.Reader)
			want   node.Ending
		}{
			"part, reset": {first + "\n", func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }, node.EndedLost},
			"whole, in order": {frames, func(conn *net.TCPConn, upload io.Reader) {
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, upload)
			}, node.EndedDone},
		} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+c.frames)
					c.end(conn.(*net.TCPConn), reader)
				})
				r, ex := &recorder{}, newExchange(make([]byte, uploadBytes))
				dispatch.New(r, netdial.Dialer{}, discardObserver{}).Run(startDispatch(address, idempotent), ex)
				assert.Equal(t, r.ended[0].Ending, c.want, r.ended[0].Message)
			})
		}
	}
}
