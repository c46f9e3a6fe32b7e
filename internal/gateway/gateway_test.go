package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"carobshunt/api"
	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/gateway"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	testBody    = "a prompt of some words"
	testMaxBody = 1000
)

var testSelf = core.Home{Address: "10.0.0.1:1", Incarnation: "i1"}

// scriptedControl is a Control that decides as the test says and records its inputs.
type scriptedControl struct {
	decide func(node.Input) (node.Decision, error)
	asked  int
	posted chan node.Input
	// exchanges is set if a faulty body is to end its request.
	exchanges *stream.Store
}

// Ask implements gateway.Control.
func (s *scriptedControl) Ask(_ context.Context, in node.Input) (node.Decision, error) {
	s.asked++
	return s.decide(in)
}

// Post implements gateway.Control.
func (s *scriptedControl) Post(in node.Input) {
	if ended, ok := in.(node.BodyEnded); ok && ended.Fault != "" && s.exchanges != nil {
		s.exchanges.Get(ended.Key).Answer.Finish(api.Last{Outcome: api.OutcomeNotRun, Code: ended.Fault})
	}
	s.posted <- in
}

// Snapshot implements gateway.Control.
func (s *scriptedControl) Snapshot() *node.Snapshot { return &node.Snapshot{} }

// Now implements gateway.Control.
func (s *scriptedControl) Now() core.Time { return 0 }

// codeCounter is an Observer that counts the refusals by code.
type codeCounter struct {
	mu    sync.Mutex
	codes map[api.Code]int
}

// Refused implements gateway.Observer.
func (c *codeCounter) Refused(code api.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[code]++
}

func (c *codeCounter) count(code api.Code) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.codes[code]
}

type fixture struct {
	control   *scriptedControl
	exchanges *stream.Store
	refusals  *codeCounter
	server    *httptest.Server
}

func newFixture(t *testing.T, decide func(node.Input) (node.Decision, error)) *fixture {
	t.Helper()
	f := &fixture{
		control:   &scriptedControl{decide: decide, posted: make(chan node.Input, 10)},
		exchanges: stream.NewStore(),
		refusals:  &codeCounter{codes: make(map[api.Code]int)},
	}
	e := echo.New()
	gateway.New(f.control, f.exchanges, testSelf, testMaxBody, netdial.Dialer{}, f.refusals).Register(e)
	f.server = httptest.NewServer(e)
	t.Cleanup(f.server.Close)
	return f
}

func refuseWith(result core.Result) func(node.Input) (node.Decision, error) {
	return func(node.Input) (node.Decision, error) {
		return node.Decision{Kind: node.Refuse, Result: result, Alternatives: []string{"10.0.0.2:1"}}, nil
	}
}

// submitRequest returns a well-formed submit for a test to alter.
func (f *fixture) submitRequest(t *testing.T, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.server.URL+api.PathRequests, strings.NewReader(body))
	assert.NilError(t, err)
	for name, value := range map[string]string{
		api.HeaderRequest: "request-1", api.HeaderAttempt: "1", api.HeaderTeam: "desk", api.HeaderModel: "draft",
		api.HeaderPromptTokens: "10", api.HeaderAnswerTokens: "5", api.HeaderIdempotent: "false",
		api.HeaderBodyChecksum: stream.Checksum([]byte(testBody)), api.HeaderHome: testSelf.String(), api.HeaderDeadline: "10000",
	} {
		req.Header.Set(name, value)
	}
	return req
}

// responseHead is the part of a response's status and headers that tests check.
type responseHead struct {
	status     int
	retryAfter string
}

// doRefused sends a request and returns the typed error of its response.
func doRefused(t *testing.T, req *http.Request) (responseHead, api.Error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var e api.Error
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(raw, &e), "%s", raw)
	assert.Equal(t, resp.Header.Get(api.HeaderHost), testSelf.String())
	return responseHead{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}, e
}

func TestBadSubmitIsRefusedBeforeAnythingIsDecided(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, c := range map[string]struct {
		alter   func(*http.Request)
		code    api.Code
		message string
	}{
		"no identifier":            {set(api.HeaderRequest, ""), api.CodeMalformed, api.HeaderRequest},
		"short identifier":         {set(api.HeaderRequest, "abc"), api.CodeMalformed, api.HeaderRequest},
		"long identifier":          {set(api.HeaderRequest, strings.Repeat("a", 65)), api.CodeMalformed, api.HeaderRequest},
		"identifier with a slash":  {set(api.HeaderRequest, "request/1"), api.CodeMalformed, api.HeaderRequest},
		"no team":                  {set(api.HeaderTeam, ""), api.CodeMalformed, api.HeaderTeam},
		"no model":                 {set(api.HeaderModel, ""), api.CodeMalformed, api.HeaderModel},
		"attempt zero":             {set(api.HeaderAttempt, "0"), api.CodeMalformed, api.HeaderAttempt},
		"negative attempt":         {set(api.HeaderAttempt, "-1"), api.CodeMalformed, api.HeaderAttempt},
		"attempt not a number":     {set(api.HeaderAttempt, "one"), api.CodeMalformed, api.HeaderAttempt},
		"negative prompt":          {set(api.HeaderPromptTokens, "-10"), api.CodeMalformed, api.HeaderPromptTokens},
		"prompt beyond any size":   {set(api.HeaderPromptTokens, "99999999999999999999"), api.CodeMalformed, api.HeaderPromptTokens},
		"prompt too short":         {set(api.HeaderPromptTokens, "1"), api.CodeMalformed, api.HeaderPromptTokens},
		"negative answer":          {set(api.HeaderAnswerTokens, "-1"), api.CodeMalformed, api.HeaderAnswerTokens},
		"prefix beyond the prompt": {set(api.HeaderPrefixTokens, "11"), api.CodeMalformed, api.HeaderPrefixTokens},
		"neither true nor false":   {set(api.HeaderIdempotent, "yes"), api.CodeMalformed, api.HeaderIdempotent},
		"home without incarnation": {set(api.HeaderHome, "10.0.0.1:1"), api.CodeMalformed, api.HeaderHome},
		"negative deadline":        {set(api.HeaderDeadline, "-1"), api.CodeMalformed, api.HeaderDeadline},
		"deadline with a unit":     {set(api.HeaderDeadline, "10s"), api.CodeMalformed, api.HeaderDeadline},
		"budget of a day":          {set(api.HeaderBudget, "86400000"), api.CodeMalformed, api.HeaderBudget},
		"negative revision":        {set(api.HeaderRevision, "-1"), api.CodeMalformed, api.HeaderRevision},
		"no checksum":              {set(api.HeaderBodyChecksum, ""), api.CodeMalformed, api.HeaderBodyChecksum},
		"no length":                {func(r *http.Request) { r.ContentLength = -1 }, api.CodeMalformed, "Content-Length"},
		"body beyond the limit": {func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("a", testMaxBody+1)))
			r.ContentLength = testMaxBody + 1
		}, api.CodeTooLarge, "larger"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, refuseWith(core.Result{Outcome: api.OutcomeDone}))
			req := f.submitRequest(t, testBody)
			c.alter(req)
			resp, e := doRefused(t, req)
			assert.Assert(t, resp.status >= 400 && resp.status < 500, resp.status)
			assert.Equal(t, e.Outcome, api.OutcomeNotRun)
			assert.Equal(t, e.Code, c.code)
			assert.Assert(t, strings.Contains(e.Message, c.message), e.Message)
			assert.Equal(t, f.control.asked, 0)
		})
	}
}

// A home's clock starts with its process, so a deadline on it can be years.
func TestDeadlineOnTheClockOfAHomeThatIsUpForYearsIsAccepted(t *testing.T) {
	f := newFixture(t, refuseWith(core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeOverloaded}))
	req := f.submitRequest(t, testBody)
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt((3*365*24*time.Hour).Milliseconds(), 10))
	_, e := doRefused(t, req)
	assert.Equal(t, e.Code, api.CodeOverloaded)
}

func TestRefusalNamesATimeAndOtherHosts(t *testing.T) {
	f := newFixture(t, refuseWith(core.Result{
		Outcome: api.OutcomeNotRun, Code: api.CodeOverloaded, Message: "full", RetryAfter: 1500 * time.Millisecond,
	}))
	resp, e := doRefused(t, f.submitRequest(t, testBody))
	assert.Equal(t, resp.status, http.StatusTooManyRequests)
	assert.Equal(t, resp.retryAfter, "2")
	assert.Equal(t, e.RetryAfterMs, int64(1500))
	assert.DeepEqual(t, e.Alternatives, []string{"10.0.0.2:1"})
	assert.Equal(t, e.Request, "request-1")
	assert.Equal(t, e.Attempt, uint32(1))
}

func TestStoppingHostReportsUnknownForACallThatMayHaveRun(t *testing.T) {
	stopped := func(node.Input) (node.Decision, error) { return node.Decision{}, context.Canceled }
	for _, idempotent := range []bool{true, false} {
		f := newFixture(t, stopped)
		req := f.submitRequest(t, testBody)
		req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(idempotent))
		_, e := doRefused(t, req)
		want := api.OutcomeUnknown
		if idempotent {
			want = api.OutcomeNotRun
		}
		assert.Equal(t, e.Outcome, want)
		assert.Equal(t, e.Code, api.CodeDraining)
		assert.Assert(t, e.RetryAfterMs > 0)
	}
}

// admit makes the control admit requests and open their exchanges, as the daemon does.
func (f *fixture) admit(deadline core.Time) {
	f.control.exchanges = f.exchanges
	f.control.decide = func(in node.Input) (node.Decision, error) {
		f.exchanges.Open(in.(node.Submit).Request.Key)
		return node.Decision{Kind: node.Admit, Deadline: deadline}, nil
	}
}

func TestBodyThatIsNotWholeIsNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		code api.Code
	}{
		"another body":  {strings.Repeat("x", len(testBody)), api.CodeChecksum},
		"a longer body": {testBody + "!", api.CodeChecksum},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.admit(10 * time.Second)
			_, e := doRefused(t, f.submitRequest(t, c.body))
			assert.Equal(t, e.Outcome, api.OutcomeNotRun)
			assert.Equal(t, e.Code, c.code)
			ended := (<-f.control.posted).(node.BodyEnded)
			assert.Equal(t, ended.Fault, c.code)
			assert.Equal(t, ended.Attempt, uint32(1))
		})
	}
}

// stallingBody is a body that blocks after its text until it is released, and then breaks off.
type stallingBody struct {
	text    io.Reader
	release chan struct{}
}

// Read implements io.Reader.
func (s *stallingBody) Read(p []byte) (int, error) {
	if n, err := s.text.Read(p); err == nil {
		return n, nil
	}
	<-s.release
	return 0, io.ErrUnexpectedEOF
}

func TestBodyThatBreaksOffOrStallsIsTruncated(t *testing.T) {
	for name, breaks := range map[string]bool{"breaks off": true, "stalls past the deadline": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.admit(100 * time.Millisecond)
			req := f.submitRequest(t, testBody)
			body := &stallingBody{text: strings.NewReader(testBody[:5]), release: make(chan struct{})}
			req.Body, req.GetBody = io.NopCloser(body), nil
			if breaks {
				close(body.release)
			} else {
				defer close(body.release)
			}
			go func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			ended := (<-f.control.posted).(node.BodyEnded)
			assert.Equal(t, ended.Fault, api.CodeTruncated)
		})
	}
}

func TestRefusedQueryReportsAnUnknownOutcome(t *testing.T) {
	f := newFixture(t, func(node.Input) (node.Decision, error) { return node.Decision{}, context.Canceled })
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		for name, alter := range map[string]func(*http.Request){
			"malformed": func(r *http.Request) { r.Header.Set(api.HeaderIdempotent, "yes") },
			"stopping":  func(r *http.Request) { r.Header.Set(api.HeaderIdempotent, "true") },
		} {
			req := f.submitRequest(t, "")
			req.Method, req.Body, req.ContentLength = method, nil, 0
			req.URL.Path += "/request-1"
			alter(req)
			_, e := doRefused(t, req)
			assert.Equal(t, e.Outcome, api.OutcomeUnknown, name)
		}
	}
}

// TestBodyOfARequestThatHasEndedIsNotAwaited guards against a caller that sends its body slowly to a host that stops, and gets no
// answer before the host is killed.
func TestBodyOfARequestThatHasEndedIsNotAwaited(t *testing.T) {
	f := newFixture(t, nil)
	f.admit(time.Hour)
	f.control.exchanges = nil
	body := &stallingBody{text: strings.NewReader(testBody[:5]), release: make(chan struct{})}
	defer close(body.release)
	req := f.submitRequest(t, testBody)
	req.Body, req.GetBody = io.NopCloser(body), nil
	go func() {
		key := core.Key{Team: "desk", ID: "request-1"}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.exchanges.Get(key) == nil {
				return poll.Continue("the request is not admitted")
			}
			return poll.Success()
		})
		f.exchanges.Get(key).Answer.Finish(api.Last{Outcome: api.OutcomeNotRun, Code: api.CodeDraining, RetryAfterMs: 200})
	}()
	_, e := doRefused(t, req)
	assert.Equal(t, e.Outcome, api.OutcomeNotRun)
	assert.Equal(t, e.Code, api.CodeDraining)
	assert.Equal(t, e.RetryAfterMs, int64(200))
}

func TestAttemptWithABadBodyGetsTheAnswerOfALaterAttempt(t *testing.T) {
	f := newFixture(t, nil)
	f.admit(10 * time.Second)
	f.control.exchanges = nil
	go func() {
		<-f.control.posted
		ex := f.exchanges.Get(core.Key{Team: "desk", ID: "request-1"})
		ex.Answer.Start(1, stream.Source{})
		ex.Answer.Append(1, 0, "well")
		ex.Answer.Finish(api.Last{Outcome: api.OutcomeDone})
	}()
	resp, err := http.DefaultClient.Do(f.submitRequest(t, strings.Repeat("x", len(testBody))))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, strings.Contains(string(raw), "well"), "%s", raw)
}

func TestHugeHeadersAreRefused(t *testing.T) {
	f := newFixture(t, refuseWith(core.Result{Outcome: api.OutcomeDone}))
	req := f.submitRequest(t, testBody)
	req.Header.Set(api.HeaderPrefix, strings.Repeat("a", 2<<20))
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	}
	assert.Equal(t, f.control.asked, 0)
}

func TestResumeBeyondTheEndIsRefused(t *testing.T) {
	f := newFixture(t, func(node.Input) (node.Decision, error) {
		return node.Decision{Kind: node.Report, Result: core.Result{Outcome: api.OutcomeDone}}, nil
	})
	ex := f.exchanges.Open(core.Key{Team: "desk", ID: "request-1"})
	ex.Answer.Start(1, stream.Source{})
	ex.Answer.Append(1, 0, "well")
	ex.Answer.Finish(api.Last{Outcome: api.OutcomeDone})
	for query, code := range map[string]api.Code{
		"dispatch=1&offset=5":  api.CodeOffsetOutOfRange,
		"dispatch=1&offset=-1": api.CodeMalformed,
		"dispatch=one":         api.CodeMalformed,
	} {
		_, e := doRefused(t, f.resumeRequest(t, query))
		assert.Equal(t, e.Code, code, query)
	}
}

// resumeRequest returns a request for the rest of an answer.
func (f *fixture) resumeRequest(t *testing.T, query string) *http.Request {
	t.Helper()
	req := f.submitRequest(t, "")
	req.Method, req.Body, req.ContentLength = http.MethodGet, nil, 0
	req.URL.Path += "/request-1/answer"
	req.URL.RawQuery = query
	return req
}

// The request is done, but its answer has expired: no error may say that the answer is there.
func TestResumeOfAnAnswerThatIsNoLongerHeldFails(t *testing.T) {
	f := newFixture(t, func(node.Input) (node.Decision, error) {
		return node.Decision{Kind: node.Report, Result: core.Result{Outcome: api.OutcomeDone}}, nil
	})
	head, e := doRefused(t, f.resumeRequest(t, "dispatch=1&offset=0"))
	assert.Equal(t, head.status, http.StatusNotFound)
	assert.Equal(t, e.Code, api.CodeNotFound)
	assert.Equal(t, e.Outcome, api.OutcomeFailed)
}

// A request that did not run has no answer to resume; its outcome stays what it is.
func TestResumeOfARequestThatDidNotRunReportsThat(t *testing.T) {
	f := newFixture(t, func(node.Input) (node.Decision, error) {
		return node.Decision{Kind: node.Report, Result: core.Result{Outcome: api.OutcomeNotRun, Code: api.CodeDeadline}}, nil
	})
	_, e := doRefused(t, f.resumeRequest(t, "dispatch=1&offset=0"))
	assert.Equal(t, e.Outcome, api.OutcomeNotRun)
	assert.Equal(t, e.Code, api.CodeDeadline)
}

func TestRequestsThatMatchNoRouteAreCounted(t *testing.T) {
	f := newFixture(t, nil)
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		req, err := http.NewRequest(method, f.server.URL+"/nothing-here", http.NoBody)
		assert.NilError(t, err)
		_, e := doRefused(t, req)
		assert.Equal(t, e.Code, api.CodeMalformed)
	}
	assert.Equal(t, f.refusals.count(api.CodeMalformed), 2)
}
