package client

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/stream"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const testPromptBytes = 8 << 20

// lookupServer serves lookups that return one host.
func lookupServer(t *testing.T, address string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(api.Lookup{
			Hosts: []api.Host{{Address: address, Zone: "a", Incarnation: "i1", ClockMs: 1}}, Revision: 1, KeepMs: 10_000,
		})
	}))
	t.Cleanup(server.Close)
	return server
}

func testRequest(idempotent bool, budget time.Duration) Request {
	return Request{
		ID: "request-1", Model: "draft", Prompt: make([]byte, testPromptBytes), PromptTokens: testPromptBytes / 4, AnswerTokens: 5,
		Idempotent: idempotent, Budget: budget,
	}
}

// headersOnlyHost reads the headers of each request, writes reply and counts the bytes that still arrive.
func headersOnlyHost(t *testing.T, reply string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var body atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, reply)
				n, _ := io.Copy(io.Discard, reader)
				body.Add(n)
			}()
		}
	}()
	return l.Addr().String(), &body
}

func TestHostThatNeverAsksForTheBodyGetsNoByteOfIt(t *testing.T) {
	refusal := `{"outcome":"not_run","code":"overloaded","message":"full","retry_after_ms":700}`
	for name, c := range map[string]struct {
		reply string
		code  api.Code
	}{
		"no reply": {"", api.CodeDeadline},
		"refuses": {
			fmt.Sprintf("HTTP/1.1 429 Too Many Requests\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(refusal), refusal),
			api.CodeOverloaded,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, body := headersOnlyHost(t, c.reply)
			entry := strings.TrimPrefix(lookupServer(t, address).URL, "http://")
			got, err := New(Options{Entries: []string{entry}, Team: "desk"}).Do(context.Background(), testRequest(false, 400*time.Millisecond))
			assert.NilError(t, err)
			assert.Equal(t, got.Outcome, api.OutcomeNotRun)
			assert.Equal(t, got.Code, c.code)
			assert.Equal(t, body.Load(), int64(0))
		})
	}
}

func TestNonIdempotentRequestWithGivenHomeEndsUnknownWithoutAnswer(t *testing.T) {
	address, _ := headersOnlyHost(t, "")
	entry := strings.TrimPrefix(lookupServer(t, address).URL, "http://")
	req := testRequest(false, 300*time.Millisecond)
	req.Home, req.Deadline = address+"/i1", time.Second
	got, err := New(Options{Entries: []string{entry}, Team: "desk"}).Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeUnknown)
}

func TestCorrectOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent, sent, lost bool
		outcome                api.Outcome
		code                   api.Code
		want                   api.Outcome
	}{
		"home gone, body never sent":               {false, false, false, api.OutcomeUnknown, api.CodeHomeGone, api.OutcomeNotRun},
		"home gone, body sent":                     {false, true, false, api.OutcomeUnknown, api.CodeHomeGone, api.OutcomeUnknown},
		"records full, body never sent":            {false, false, false, api.OutcomeUnknown, api.CodeRecordsFull, api.OutcomeNotRun},
		"joined an attempt whose target was lost":  {false, false, false, api.OutcomeUnknown, api.CodeTargetLost, api.OutcomeUnknown},
		"refused after a lost attempt":             {true, true, true, api.OutcomeNotRun, api.CodeOverloaded, api.OutcomeFailed},
		"refused, no attempt was lost":             {true, true, false, api.OutcomeNotRun, api.CodeTruncated, api.OutcomeNotRun},
		"refused by the home after a lost attempt": {false, true, true, api.OutcomeNotRun, api.CodeTruncated, api.OutcomeNotRun},
		"done after a lost attempt":                {true, true, true, api.OutcomeDone, "", api.OutcomeDone},
	} {
		t.Run(name, func(t *testing.T) {
			s := &submission{req: Request{Idempotent: c.idempotent}, sent: c.sent, lost: c.lost}
			s.result.Outcome, s.result.Code = c.outcome, c.code
			s.correctOutcome()
			assert.Equal(t, s.result.Outcome, c.want)
		})
	}
}

func TestSealedBodyCannotBeRead(t *testing.T) {
	unread := newSealedBody([]byte("body"))
	assert.Assert(t, !unread.seal())
	_, err := unread.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, errSealed))
	read := newSealedBody([]byte("body"))
	_, err = read.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, read.seal())
}

// frames returns a streamed answer of the given frames.
func frames(list ...api.Frame) io.Reader {
	var out strings.Builder
	for _, f := range list {
		if f.Request == "" {
			f.Request = "request-1"
		}
		_ = json.NewEncoder(&out).Encode(f)
	}
	return strings.NewReader(out.String())
}

func last(text string) *api.Last {
	return &api.Last{Outcome: api.OutcomeDone, Length: int64(len(text)), Checksum: stream.Checksum([]byte(text))}
}

func TestAssemblyAcceptsOnlyCompleteAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		frames []api.Frame
		text   string
		err    error
	}{
		"in order": {[]api.Frame{
			{Dispatch: 1, Text: "ab"}, {Dispatch: 1, Offset: 2, Text: "cd"}, {Dispatch: 1, Offset: 4, Last: last("abcd")},
		}, "abcd", nil},
		"duplicate and overlapping frames": {[]api.Frame{
			{Dispatch: 1, Text: "ab"}, {Dispatch: 1, Text: "ab"},
			{Dispatch: 1, Offset: 1, Text: "bcd"}, {Dispatch: 1, Offset: 4, Last: last("abcd")},
		}, "abcd", nil},
		"started over at another target": {[]api.Frame{
			{Dispatch: 1, Text: "xyz"}, {Dispatch: 2, Text: "ab"}, {Dispatch: 2, Offset: 2, Text: "cd", Last: last("abcd")},
		}, "abcd", nil},
		"a late frame of an earlier target": {[]api.Frame{
			{Dispatch: 2, Text: "ab"}, {Dispatch: 1, Offset: 2, Text: "zz"}, {Dispatch: 2, Offset: 2, Text: "cd", Last: last("abcd")},
		}, "abcd", nil},
		"the last frame of an earlier target": {[]api.Frame{
			{Dispatch: 1, Text: "ab"}, {Dispatch: 2}, {Dispatch: 1, Offset: 2, Last: last("")},
		}, "", ErrTruncated},
		"the last frame of an earlier target, then the end": {[]api.Frame{
			{Dispatch: 2, Text: "ab"}, {Dispatch: 1, Offset: 2, Last: last("ab")}, {Dispatch: 2, Offset: 2, Text: "cd", Last: last("abcd")},
		}, "abcd", nil},
		"a doubled last frame": {[]api.Frame{
			{Dispatch: 1, Text: "ab", Last: last("ab")}, {Dispatch: 1, Text: "ab", Last: last("ab")},
		}, "ab", nil},
		"an offset below the start": {[]api.Frame{
			{Dispatch: 1, Text: "ab"}, {Dispatch: 1, Offset: math.MinInt64, Text: "zz"}, {Dispatch: 1, Offset: 2, Text: "cd", Last: last("abcd")},
		}, "abcd", nil},
		"a frame is missing": {[]api.Frame{
			{Dispatch: 1, Text: "ab"}, {Dispatch: 1, Offset: 3, Text: "d"}, {Dispatch: 1, Offset: 4, Last: last("abcd")},
		}, "", ErrTruncated},
		"no last frame":  {[]api.Frame{{Dispatch: 1, Text: "ab"}}, "ab", ErrTruncated},
		"wrong checksum": {[]api.Frame{{Dispatch: 1, Text: "abce", Last: last("abcd")}}, "", ErrTruncated},
		"a frame of another request": {[]api.Frame{
			{Dispatch: 1, Text: "ab"}, {Request: "request-2", Dispatch: 1, Offset: 2, Text: "cd"},
		}, "ab", ErrWrongRequest},
	} {
		t.Run(name, func(t *testing.T) {
			var a assembly
			_, err := a.read(frames(c.frames...), "request-1", func() {})
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, string(a.text), c.text)
		})
	}
}

func TestAssemblyNeverMixesTheAnswersOfTwoProcesses(t *testing.T) {
	var a assembly
	a.setHost("10.0.0.1:1/i1")
	_, _ = a.read(frames(api.Frame{Dispatch: 1, Text: "xy"}), "request-1", func() {})
	a.setHost("10.0.0.2:1/i1")
	_, err := a.read(frames(api.Frame{Dispatch: 1, Text: "abcd", Last: last("abcd")}), "request-1", func() {})
	assert.NilError(t, err)
	assert.Equal(t, string(a.text), "abcd")
}

func TestResumeAsksTheHolderWithTheTeamsKey(t *testing.T) {
	const text = "abcd"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderHost, "10.0.0.1:1/i1")
		if r.Header.Get("Authorization") != "Bearer key" || r.Header.Get(api.HeaderHome) != "10.0.0.1:1/i1" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if r.URL.Query().Get("offset") != "2" || r.URL.Query().Get("dispatch") != "3" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(w, frames(api.Frame{Dispatch: 3, Offset: 2, Text: "cd", Last: last(text)}))
	}))
	defer server.Close()
	s := &submission{client: New(Options{Team: "desk", Key: "key"}), req: testRequest(true, time.Second), start: time.Now()}
	s.answer = assembly{host: "10.0.0.1:1/i1", dispatch: 3, text: []byte("ab")}
	v := s.resume(context.Background(), strings.TrimPrefix(server.URL, "http://"), "10.0.0.1:1/i1")
	assert.Equal(t, v, finished)
	assert.Equal(t, s.result.Text, text)
}

func TestAttemptThatJoinedATruncatedBodyIsSubmittedAgain(t *testing.T) {
	var attempts []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(api.Lookup{
				Hosts: []api.Host{{Address: r.Host, Incarnation: "i1", ClockMs: 1}}, Revision: 1, KeepMs: 10_000,
			})
			return
		}
		attempts = append(attempts, r.Header.Get(api.HeaderAttempt))
		w.Header().Set(api.HeaderHost, r.Host+"/i1")
		if len(attempts) == 1 {
			truncated := api.Last{Outcome: api.OutcomeNotRun, Code: api.CodeTruncated, Checksum: stream.Checksum(nil)}
			_, _ = io.Copy(w, frames(api.Frame{Last: &truncated}))
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.Copy(w, frames(api.Frame{Dispatch: 1, Text: "well", Last: last("well")}))
	}))
	defer server.Close()
	req := testRequest(false, 5*time.Second)
	req.Prompt, req.PromptTokens = []byte("a prompt"), 10
	c := New(Options{Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Team: "desk"})
	got, err := c.Do(context.Background(), req)
	assert.NilError(t, err)
	assert.Equal(t, got.Outcome, api.OutcomeDone, "%+v", got)
	assert.DeepEqual(t, attempts, []string{"1", "2"})
}
