package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// attach makes the control attach every submit to a request whose answer has begun with "we", and returns the answer.
func (f *fixture) attach() *stream.Buffer {
	answer := f.exchanges.Open(core.Key{Team: "desk", ID: "request-1"}).Answer
	answer.Start(1, stream.Source{})
	answer.Append(1, 0, "we")
	f.control.decide = func(node.Input) (node.Decision, error) { return node.Decision{Kind: node.Attach}, nil }
	return answer
}

// rawCaller sends a request on a connection of its own and returns both.
func (f *fixture) rawCaller(t *testing.T, req *http.Request) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, req.Write(conn))
	return conn.(*net.TCPConn), bufio.NewReader(conn)
}

// TestAnswerThatIsCutDoesNotEndInOrder guards against an answer whose connection ends like that of a complete one, with a
// last chunk, although its last frame was never written. The caller has closed its sending side, which net/http takes for
// the end of the connection.
func TestAnswerThatIsCutDoesNotEndInOrder(t *testing.T) {
	f := newFixture(t, nil)
	f.attach()
	conn, reader := f.rawCaller(t, f.submitRequest(t, testBody))
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body := bufio.NewReader(resp.Body)
	frame, err := body.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(frame, `"we"`), frame)
	assert.NilError(t, conn.CloseWrite())
	rest, err := io.ReadAll(body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v after %q", err, rest)
	assert.Equal(t, string(rest), "")
}
