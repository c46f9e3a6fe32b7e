package fake_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/core/order"
	"carobshunt/internal/core/sweep"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/engines"
	"carobshunt/internal/fake"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// engineServer is an engine with an HTTP server in front of it.
type engineServer struct {
	t      *testing.T
	engine *fake.Engine
	url    string
}

func serveEngine(t *testing.T, opts fake.EngineOptions) *engineServer {
	t.Helper()
	engine := fake.NewEngineWith(opts)
	e := echo.New()
	engine.Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return &engineServer{t: t, engine: engine, url: server.URL}
}

// call sends a request, with headers as name and value in turn, and returns the status and the body.
func (s *engineServer) call(method, path string, body any, headers ...string) (int, string) {
	s.t.Helper()
	raw, err := json.Marshal(body)
	assert.NilError(s.t, err)
	req, err := http.NewRequest(method, s.url+path, bytes.NewReader(raw))
	assert.NilError(s.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// stream starts a stream with an answer of 3 tokens.
func (s *engineServer) stream(name, prompt string, headers ...string) (int, string) {
	s.t.Helper()
	headers = append(headers, dispatch.HeaderStream, name, dispatch.HeaderPromptTokens, prompt, dispatch.HeaderAnswerTokens, "3")
	return s.call(http.MethodPost, dispatch.PathStreams, nil, headers...)
}

func (s *engineServer) reserve(name string, tokens int64, expiry time.Duration, renewal bool) int {
	s.t.Helper()
	body := engines.Reservation{Tokens: tokens, ExpiryMs: expiry.Milliseconds(), Renewal: renewal}
	status, _ := s.call(http.MethodPut, engines.PathReservations+"/"+name, body)
	return status
}

// fast is an engine speed at which all durations are negligible.
const fast = 1000

func TestEngineSharesOutItsMemory(t *testing.T) {
	s := serveEngine(t, fake.EngineOptions{Speed: fast, MemoryTokens: 1000})
	status, _ := s.stream("too-large", "2000")
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, s.reserve("first", 600, time.Minute, false), http.StatusOK)
	assert.Equal(t, s.reserve("second", 600, time.Minute, false), http.StatusAccepted)
	assert.Equal(t, s.reserve("unknown", 1, time.Minute, true), http.StatusNotFound)
	assert.Equal(t, s.reserve("more-than-all", 1001, time.Minute, false), http.StatusTooManyRequests)
	status, _ = s.stream("behind-the-queue", "100")
	assert.Equal(t, status, http.StatusTooManyRequests, "a stream does not overtake a queued reservation")
	status, _ = s.call(http.MethodDelete, engines.PathReservations+"/first", nil)
	assert.Equal(t, status, http.StatusNoContent)
	assert.Equal(t, s.reserve("second", 600, time.Minute, true), http.StatusOK)
	assert.Equal(t, s.engine.UsedTokens(), int64(600))
	status, text := s.stream("on-the-rest", "100")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(text, `"end":true`))
	assert.Equal(t, s.engine.UsedTokens(), int64(600), "a stream whose answer was fetched holds no memory")
}

func TestReservationThatIsNotRenewedExpires(t *testing.T) {
	s := serveEngine(t, fake.EngineOptions{Speed: fast, MemoryTokens: 1000})
	assert.Equal(t, s.reserve("short", 900, 20*time.Millisecond, false), http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := s.engine.UsedTokens(); used != 0 {
			return poll.Continue("%d tokens used", used)
		}
		return poll.Success()
	})
	assert.Equal(t, s.reserve("short", 900, time.Minute, true), http.StatusNotFound)
}

func TestStreamEndsWithItsReservation(t *testing.T) {
	s := serveEngine(t, fake.EngineOptions{Speed: 1, MemoryTokens: 100_000})
	status, _ := s.stream("without", "90000", dispatch.HeaderReservation, "missing")
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, s.reserve("group", 90_000, time.Minute, false), http.StatusOK)
	ended := make(chan string, 1)
	go func() {
		_, text := s.stream("lead", "90000", dispatch.HeaderReservation, "group")
		ended <- text
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(s.engine.Holdings()); n != 2 {
			return poll.Continue("%d holdings", n)
		}
		return poll.Success()
	})
	_, _ = s.call(http.MethodDelete, engines.PathReservations+"/group", nil)
	assert.Equal(t, <-ended, "", "the answer is truncated")
	assert.Equal(t, len(s.engine.Holdings()), 0)
}

func TestStreamGoesOnWithoutItsConnectionAndIsResumed(t *testing.T) {
	s := serveEngine(t, fake.EngineOptions{Speed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+dispatch.PathStreams, nil)
	assert.NilError(t, err)
	req.Header.Set(dispatch.HeaderStream, "long")
	req.Header.Set(dispatch.HeaderPromptTokens, "100")
	req.Header.Set(dispatch.HeaderAnswerTokens, "200")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	assert.Equal(t, s.engine.Holdings()[0].Kind, sweep.KindStream)
	status, text := s.call(http.MethodGet, dispatch.PathStreams+"/long/resume?offset=7", nil)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(text, `{"offset":7,"text":"token1 `), text)
	assert.Assert(t, strings.Contains(text, `"end":true`))
	status, _ = s.call(http.MethodGet, dispatch.PathStreams+"/long/resume?offset=0", nil)
	assert.Equal(t, status, http.StatusNotFound, "the answer was fetched to its end")
}

func TestExportsHoldMemoryUntilDropped(t *testing.T) {
	s := serveEngine(t, fake.EngineOptions{Speed: fast, MemoryTokens: 1000})
	status, _ := s.call(http.MethodPost, engines.PathExports+"/import?tokens=700", nil)
	assert.Equal(t, status, http.StatusOK)
	status, _ = s.call(http.MethodPost, engines.PathExports+"/import?tokens=1", nil)
	assert.Equal(t, status, http.StatusConflict)
	status, _ = s.call(http.MethodPost, engines.PathExports+"/another?tokens=700", nil)
	assert.Equal(t, status, http.StatusTooManyRequests)
	status, _ = s.call(http.MethodGet, engines.PathExports+"/import", nil)
	assert.Equal(t, status, http.StatusOK)
	status, _ = s.call(http.MethodDelete, engines.PathExports+"/import", nil)
	assert.Equal(t, status, http.StatusNoContent)
	assert.Equal(t, s.engine.UsedTokens(), int64(0))
}

func TestOldFencingNumbersAreRefusedByEnginesThatCheckThem(t *testing.T) {
	one, two := order.Model{Model: "m", Version: "1"}, order.Model{Model: "m", Version: "2"}
	for _, checks := range []bool{true, false} {
		s := serveEngine(t, fake.EngineOptions{Speed: fast, ChecksFencing: checks})
		s.engine.SetModels(one, two)
		newer := order.Order{Fence: order.Fence{Revision: 2, Sequence: 1}, Models: []order.Model{two}}
		status, _ := s.call(http.MethodPut, engines.PathOrders, newer)
		assert.Equal(t, status, http.StatusOK)
		older := order.Order{Fence: order.Fence{Revision: 1, Sequence: 9}, Models: []order.Model{}}
		status, _ = s.call(http.MethodPut, engines.PathOrders, older)
		assert.Equal(t, status == http.StatusConflict, checks)
		state := s.engine.Orders()
		assert.Equal(t, state.Highest, newer.Fence)
		assert.Equal(t, len(state.Models) == 1, checks)
		assert.Equal(t, s.engine.OutdatedOrders() == 0, checks)
	}
}
