package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// unobserved is a dispatch.Observer that discards its observations.
type unobserved struct{}

// GapObserver implements dispatch.Observer.
func (unobserved) GapObserver(node.StartDispatch) prometheus.Observer {
	return prometheus.ObserverFunc(func(float64) {})
}

// serveOnce runs a server that answers one request on each connection and closes it in order, like a process that is killed. It
// returns its address.
func serveOnce(t *testing.T, answer func(net.Conn, *http.Request)) string {
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
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				answer(conn, req)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// rawTarget runs a target that answers each connection with the same bytes.
func rawTarget(t *testing.T, reply string) string {
	t.Helper()
	return serveOnce(t, func(conn net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, reply)
	})
}

// run runs a dispatch of the request to its end and returns how it ended.
func (f *fixture) run(ex *stream.Exchange, number uint32, target string) node.Ending {
	dispatch.New(f.control, netdial.Dialer{}, unobserved{}).Run(node.StartDispatch{
		Key: core.Key{Team: "desk", ID: "request-1"}, Dispatch: number, Target: target, Role: hostlist.RoleService,
		Deadline: time.Minute, Request: core.Request{Model: "draft", Idempotent: true},
	}, ex)
	for {
		if ended, ok := (<-f.control.posted).(node.DispatchEnded); ok {
			return ended.Ending
		}
	}
}

// frame and end return lines of a target's answer.
func frame(offset int, text string) string {
	return fmt.Sprintf(`{"offset":%d,"text":%q}`+"\n", offset, text)
}

func end(whole string) string {
	return fmt.Sprintf(`{"offset":%d,"end":true,"checksum":%q}`+"\n", len(whole), stream.Checksum([]byte(whole)))
}

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Heads of a target's answer: one whose body ends with the connection, and one with chunks.
const (
	untilClosed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunked     = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// wrongAnswers are what a target may answer instead of a whole answer. None of the bytes "oops" may reach a caller.
func wrongAnswers(t *testing.T) map[string]string {
	sound := rawTarget(t, untilClosed+frame(0, "oops")+end("oops"))
	head := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops"
	return map[string]string{
		"nothing":                         "",
		"no HTTP":                         "oops\r\n\r\n",
		"4xx":                             "HTTP/1.1 404 Not Found\r\nContent-Length: 16\r\n\r\n{\"error\":\"oops\"}",
		"5xx":                             head,
		"an answer under an error":        "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n" + frame(0, "oops") + end("oops"),
		"a refusal":                       "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\noops",
		"a redirect to an answer":         "HTTP/1.1 302 Found\r\nLocation: http://" + sound + "/\r\nContent-Length: 0\r\n\r\n",
		"no content":                      "HTTP/1.1 204 No Content\r\n\r\n",
		"only an early head":              "HTTP/1.1 103 Early Hints\r\nLink: oops\r\n\r\n",
		"an empty answer":                 untilClosed,
		"an error body":                   untilClosed + `{"error":{"message":"oops"}}` + "\n",
		"another type":                    untilClosed + `{"id":"oops","choices":[{"text":"oops"}]}` + "\n",
		"a page":                          untilClosed + "<html>oops</html>\n",
		"a head after a head":             untilClosed + head,
		"an error frame after a part":     chunked + chunk(frame(0, "xy")) + chunk(`{"error":"oops"}`+"\n") + "0\r\n\r\n",
		"a head after a part":             chunked + chunk(frame(0, "xy")) + head,
		"an error body after a part":      untilClosed + frame(0, "xy") + `{"message":"oops"}` + "\n",
		"a part, closed in order":         chunked + chunk(frame(0, "xy")) + "0\r\n\r\n",
		"a part, closed between chunks":   chunked + chunk(frame(0, "xy")),
		"a part of an answer of HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n" + frame(0, "xy"),
		"the rest of the earlier run":     untilClosed + frame(2, "oops") + end("weoops"),
		"the end of the earlier run":      untilClosed + end("we"),
		"offsets that go back":            untilClosed + frame(0, "xy") + frame(0, "oops") + end("xyoops"),
		"an end that is doubled":          untilClosed + frame(0, "xy") + strings.Repeat(end("xyz"), 2),
	}
}

// readFrames reads the frames of a caller's answer to its end, and checks that there is nothing else. It returns the text that
// a caller has at the end, by the rules of docs/CALLERS.md, and the last frame.
func readFrames(t *testing.T, body io.Reader) (string, *api.Last) {
	t.Helper()
	raw, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(raw), "oops"), "%s", raw)
	text, dispatch := "", uint32(0)
	var last *api.Last
	for line := range strings.Lines(string(raw)) {
		assert.Assert(t, last == nil, "a frame after the last one: %s", raw)
		var f api.Frame
		assert.NilError(t, json.Unmarshal([]byte(line), &f), "%s", raw)
		assert.Equal(t, f.Request, "request-1")
		if f.Dispatch > dispatch {
			text, dispatch = "", f.Dispatch
		}
		assert.Equal(t, f.Dispatch, dispatch, "%s", raw)
		assert.Equal(t, f.Offset, int64(len(text)), "%s", raw)
		text += f.Text
		last = f.Last
	}
	assert.Assert(t, last != nil, "no last frame: %s", raw)
	assert.Equal(t, last.Length, int64(len(text)))
	assert.Equal(t, last.Checksum, stream.Checksum([]byte(text)))
	return text, last
}

// resumedFromEarlierDispatch asks for the rest of the answer that the first target began: that of the third one must come
// from its start.
func (f *fixture) resumedFromEarlierDispatch(t *testing.T) {
	t.Helper()
	f.control.decide = func(node.Input) (node.Decision, error) { return node.Decision{Kind: node.Report}, nil }
	resp, err := http.DefaultClient.Do(f.resumeRequest(t, "dispatch=1&offset=2"))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, _ := readFrames(t, resp.Body)
	assert.Equal(t, text, "well")
}

// TestWrongAnswerAfterABegunOneAddsNothing guards against an error's text or head in the middle of a begun answer, against
// parts of two runs in one answer, and against an answer that is done before its end: the first target breaks off after a
// part, and the second one answers with anything but a whole answer.
func TestWrongAnswerAfterABegunOneAddsNothing(t *testing.T) {
	for name, reply := range wrongAnswers(t) {
		for _, recovers := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, recovers %v", name, recovers), func(t *testing.T) {
				f := newFixture(t, nil)
				ex := f.exchanges.Open(core.Key{Team: "desk", ID: "request-1"})
				ex.SetBody([]byte(testBody))
				f.control.decide = func(node.Input) (node.Decision, error) { return node.Decision{Kind: node.Attach}, nil }
				resp, err := http.DefaultClient.Do(f.submitRequest(t, testBody))
				assert.NilError(t, err)
				defer func() { _ = resp.Body.Close() }()
				assert.Equal(t, f.run(ex, 1, rawTarget(t, chunked+chunk(frame(0, "we")))), node.EndedLost)
				assert.Assert(t, f.run(ex, 2, rawTarget(t, reply)) != node.EndedDone)
				last := api.Last{Outcome: api.OutcomeFailed}
				if recovers {
					last.Outcome = api.OutcomeDone
					assert.Equal(t, f.run(ex, 3, rawTarget(t, untilClosed+frame(0, "well")+end("well"))), node.EndedDone)
				}
				ex.Answer.Finish(last)
				text, got := readFrames(t, resp.Body)
				assert.Equal(t, got.Outcome, last.Outcome)
				assert.Equal(t, text == "well", recovers, text)
				if recovers {
					f.resumedFromEarlierDispatch(t)
				}
			})
		}
	}
}

// TestHomeThatStopsWithinTheHeadOfItsAnswerIsUnreachable guards against the begin of a home's answer that a caller of another host
// gets as a whole one.
func TestHomeThatStopsWithinTheHeadOfItsAnswerIsUnreachable(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + api.HeaderHost + ": 10.0.0.1:1/i1\r\nContent-Length: 0\r\n\r\n"
	f := newFixture(t, nil)
	for cut := range len(head) {
		address := serveOnce(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, head[:cut]) })
		home := core.Home{Address: address, Incarnation: "i1"}
		f.control.decide = func(node.Input) (node.Decision, error) { return node.Decision{Kind: node.Forward, Home: home}, nil }
		_, refusal := doRefused(t, f.submitRequest(t, testBody))
		assert.Equal(t, refusal.Code, api.CodeHomeUnreachable, "after %d bytes", cut)
	}
}
