package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/stream"
	"carobshunt/internal/testhead"

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

// elsewhere is the path to which a home redirects.
const elsewhere = "/elsewhere"

// forwardTo makes the control forward every request to a home that answers each connection with the given bytes, and closes
// it in order.
func (f *fixture) forwardTo(t *testing.T, reply string) {
	t.Helper()
	address := serveOnce(t, func(conn net.Conn, req *http.Request) {
		if req.URL.Path == elsewhere {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+api.HeaderHost+": 10.0.0.3:1/i3\r\nContent-Length: 4\r\n\r\noops")
			return
		}
		_, _ = io.WriteString(conn, reply)
	})
	home := core.Home{Address: address, Incarnation: "i2"}
	f.control.decide = func(node.Input) (node.Decision, error) { return node.Decision{Kind: node.Forward, Home: home}, nil }
}

// TestForwardedAnswerThatIsNotOfAHostIsNotPassedOn guards against the bytes of another server, which has the home's address
// by now, in the place of an answer.
func TestForwardedAnswerThatIsNotOfAHostIsNotPassedOn(t *testing.T) {
	for name, reply := range map[string]string{
		"a page":         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\noops",
		"an error page":  "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops",
		"a redirect":     "HTTP/1.1 302 Found\r\nLocation: " + elsewhere + "\r\nContent-Length: 0\r\n\r\n",
		"no HTTP at all": "oops\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.forwardTo(t, reply)
			for _, req := range []*http.Request{f.submitRequest(t, testBody), f.resumeRequest(t, "dispatch=1&offset=2")} {
				_, e := doRefused(t, req)
				assert.Equal(t, e.Code, api.CodeHomeUnreachable)
				assert.Equal(t, e.Outcome, api.OutcomeUnknown)
			}
		})
	}
}

// TestForwardedAnswerThatBreaksOffDoesNotEndInOrder guards against an answer that looks complete by HTTP although the home
// ended in its middle: the connections of a process that was killed close in order.
func TestForwardedAnswerThatBreaksOffDoesNotEndInOrder(t *testing.T) {
	const frame = `{"request":"request-1","attempt":1,"dispatch":1,"offset":0,"text":"we"}` + "\n"
	head := "HTTP/1.1 200 OK\r\n" + api.HeaderHost + ": 10.0.0.2:1/i2\r\n"
	for name, reply := range map[string]string{
		"between two chunks": head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(frame), frame),
		"before its length":  head + "Content-Length: 1000\r\n\r\n" + frame,
		"a head in its middle": head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(frame), frame) +
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.forwardTo(t, reply)
			resp, err := http.DefaultClient.Do(f.resumeRequest(t, "dispatch=1&offset=0"))
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			raw, err := io.ReadAll(resp.Body)
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
			assert.Equal(t, string(raw), frame)
		})
	}
}

// TestForwardedAnswerWithAMalformedHeadIsNotPassedOn guards against a broken answer of a home that a caller of another host gets as one.
func TestForwardedAnswerWithAMalformedHeadIsNotPassedOn(t *testing.T) {
	for name, head := range testhead.Malformed(api.HeaderHost + ": 10.0.0.1:1/i1\r\nContent-Length: 4\r\n") {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.forwardTo(t, head+"oops")
			_, e := doRefused(t, f.submitRequest(t, testBody))
			assert.Equal(t, e.Code, api.CodeHomeUnreachable)
			assert.Equal(t, e.Outcome, api.OutcomeUnknown)
		})
	}
}
