package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobshunt/api"

	"gotest.tools/v3/assert"
)

// refusalReply returns the bytes of a refusal.
func refusalReply(code api.Code, outcome api.Outcome) string {
	body := fmt.Sprintf(`{"outcome":%q,"code":%q,"message":"refused"}`, outcome, code)
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
}

// connStep serves one connection of scriptedHost, after the headers of the request were read.
type connStep func(conn net.Conn, reader *bufio.Reader, req *http.Request)

// refuseWith writes a refusal without reading the body.
func refuseWith(code api.Code, outcome api.Outcome) connStep {
	return func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, refusalReply(code, outcome))
	}
}

// readBodyAndReset reads the whole body and closes the connection without an answer.
func readBodyAndReset(conn net.Conn, _ *bufio.Reader, req *http.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	_, _ = io.Copy(io.Discard, req.Body)
}

// closeAtOnce closes the connection without an answer.
func closeAtOnce(net.Conn, *bufio.Reader, *http.Request) {}

// scriptedHost serves one connection by each step in turn, and all later ones by the last step.
func scriptedHost(t *testing.T, steps ...connStep) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var served atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			step := steps[min(int(served.Add(1)), len(steps))-1]
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if req, err := http.ReadRequest(reader); err == nil {
					step(conn, reader, req)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// outcomeAt submits a request to the host until its attempts are used up.
func outcomeAt(t *testing.T, host string, prompt []byte, idempotent bool) Result {
	t.Helper()
	entry := strings.TrimPrefix(lookupServer(t, host).URL, "http://")
	req := testRequest(idempotent, 10*time.Second)
	req.Prompt, req.PromptTokens = prompt, 100
	got, err := New(Options{Entries: []string{entry}, Team: "desk", MaxAttempts: 4}).Do(context.Background(), req)
	assert.NilError(t, err)
	return got
}

// The host read the whole body of a request that is not idempotent and then died. An earlier refusal says nothing of
// that attempt.
func TestRefusalBeforeALostAttemptDoesNotDecideTheOutcome(t *testing.T) {
	host := scriptedHost(t, refuseWith(api.CodeDraining, api.OutcomeNotRun), readBodyAndReset, closeAtOnce)
	got := outcomeAt(t, host, make([]byte, 1000), false)
	assert.Equal(t, got.Outcome, api.OutcomeUnknown)
	assert.Equal(t, got.Code, api.CodeDeadline)
	assert.Equal(t, got.RetryAfter, time.Duration(0))
}

func TestRefusalAfterWhichNothingWasSentDecidesTheOutcome(t *testing.T) {
	host := scriptedHost(t, refuseWith(api.CodeDraining, api.OutcomeNotRun), closeAtOnce)
	got := outcomeAt(t, host, make([]byte, 1000), false)
	assert.Equal(t, got.Outcome, api.OutcomeNotRun)
	assert.Equal(t, got.Code, api.CodeDraining)
}

// Without a body, the headers are the whole request: a host that read them and died may have run it.
func TestLostAttemptWithAnEmptyBodyMayHaveRun(t *testing.T) {
	host := scriptedHost(t, closeAtOnce, refuseWith(api.CodeTooLarge, api.OutcomeNotRun))
	got := outcomeAt(t, host, nil, true)
	assert.Equal(t, got.Outcome, api.OutcomeFailed)
}

// answerPart writes the begun answer to a request that the host has from an earlier submit, without reading the body, and
// closes the connection.
func answerPart(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCarob-Host: 10.0.0.1:1/i1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
	var part strings.Builder
	_, _ = io.Copy(&part, frames(api.Frame{Dispatch: 1, Text: "we"}))
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", part.Len(), part.String())
}

// TestAnswerThatBeganMayHaveRunWithoutThisBody guards against "not run" for a request whose answer had begun: the host asked
// for no body, since it had that of an earlier submit. One that is not idempotent was even bound to a new home.
func TestAnswerThatBeganMayHaveRunWithoutThisBody(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		refusal    connStep
		want       api.Outcome
	}{
		{true, refuseWith(api.CodeOverloaded, api.OutcomeNotRun), api.OutcomeFailed},
		{false, refuseWith(api.CodeHomeGone, api.OutcomeUnknown), api.OutcomeUnknown},
	} {
		host := scriptedHost(t, answerPart, c.refusal)
		got := outcomeAt(t, host, make([]byte, 1000), c.idempotent)
		assert.Equal(t, got.Outcome, c.want, "%+v", got)
		assert.Equal(t, got.Text, "")
	}
}

// failLikeAProxy reads the whole body and answers with an error page, as a proxy does whose server broke off.
func failLikeAProxy(conn net.Conn, _ *bufio.Reader, req *http.Request) {
	_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/html\r\nContent-Length: 4\r\nConnection: close\r\n\r\noops")
}

// TestErrorOfAProxyAfterTheBodyDecidesNothing guards against "not run" for a request that a host behind a proxy may have
// run: the refusal of another attempt says nothing of that one.
func TestErrorOfAProxyAfterTheBodyDecidesNothing(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		steps      []connStep
		want       api.Outcome
	}{
		{true, []connStep{failLikeAProxy, refuseWith(api.CodeOverloaded, api.OutcomeNotRun)}, api.OutcomeFailed},
		{false, []connStep{refuseWith(api.CodeDraining, api.OutcomeNotRun), failLikeAProxy}, api.OutcomeUnknown},
	} {
		got := outcomeAt(t, scriptedHost(t, c.steps...), make([]byte, 1000), c.idempotent)
		assert.Check(t, got.Outcome == c.want, "%+v", got)
	}
}

// TestRefusalOfAnotherRequestDecidesNothing guards against a refusal that arrives on a connection after it was used for
// another request.
func TestRefusalOfAnotherRequestDecidesNothing(t *testing.T) {
	for request, want := range map[string]api.Outcome{"request-1": api.OutcomeNotRun, "request-2": api.OutcomeUnknown} {
		body := fmt.Sprintf(`{"request":%q,"outcome":"not_run","code":"overloaded","message":"full"}`, request)
		refuse := func(conn net.Conn, _ *bufio.Reader, req *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
		}
		got := outcomeAt(t, scriptedHost(t, refuse), make([]byte, 1000), false)
		assert.Check(t, got.Outcome == want, "%s: %+v", request, got)
	}
}

// TestRedirectIsNotFollowed guards against the outcome of another request, the GET that a redirect turns a submit into.
func TestRedirectIsNotFollowed(t *testing.T) {
	redirect := func(conn net.Conn, _ *bufio.Reader, req *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
	refuseElsewhere := func(conn net.Conn, _ *bufio.Reader, req *http.Request) {
		if req.URL.Path == "/elsewhere" {
			_, _ = io.WriteString(conn, refusalReply(api.CodeMalformed, api.OutcomeNotRun))
		}
	}
	got := outcomeAt(t, scriptedHost(t, redirect, refuseElsewhere), make([]byte, 1000), false)
	assert.Equal(t, got.Outcome, api.OutcomeUnknown, "%+v", got)
}
