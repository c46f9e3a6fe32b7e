package dispatch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"carobshunt/internal/core"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"gotest.tools/v3/assert"
)

// serveConnections runs a target that serves each connection by serve.
func serveConnections(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// answerBytes returns an HTTP response with a complete answer.
func answerBytes(text string) string {
	frames := fmt.Sprintf(`{"offset":0,"text":%q}`+"\n", text)
	frames += fmt.Sprintf(`{"offset":%d,"end":true,"checksum":%q}`+"\n", len(text), stream.Checksum([]byte(text)))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(frames), frames)
}

// TestSecondAnswerToARequestIsNotThatOfTheNextOne guards against a target that answers a request twice: a frame does not name
// its request, so on a connection that is used again the second answer, valid in itself, became that of another request.
func TestSecondAnswerToARequestIsNotThatOfTheNextOne(t *testing.T) {
	address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		late := ""
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			answer := answerBytes(req.Header.Get(dispatch.HeaderStream))
			_, _ = io.WriteString(conn, late+answer)
			late = answer
		}
	})
	d := dispatch.New(&recorder{}, netdial.Dialer{}, discardObserver{})
	for i := range 50 {
		start := startDispatch(address, true)
		start.Stream = core.Stream{Key: core.Key{Team: "desk", ID: "request-" + strconv.Itoa(i)}, Dispatch: 1}
		ex := newExchange([]byte(endingBody))
		d.Run(start, ex)
		got, err := ex.Answer.Next(t.Context(), stream.Position{})
		assert.NilError(t, err)
		assert.Equal(t, got.Text, start.Stream.Name())
	}
}
