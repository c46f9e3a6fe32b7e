package dispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/dispatch"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// recorder is a Reporter that keeps the ends of dispatches. Its clock is set by the test.
type recorder struct {
	now atomic.Int64

	mu    sync.Mutex
	ended []node.DispatchEnded
}

// Post implements dispatch.Reporter.
func (r *recorder) Post(in node.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := in.(node.DispatchEnded); ok {
		r.ended = append(r.ended, e)
	}
}

// Now implements dispatch.Reporter.
func (r *recorder) Now() core.Time { return core.Time(r.now.Load()) }

// discardObserver is an Observer that discards its observations.
type discardObserver struct{}

// Answer implements dispatch.Observer.
func (discardObserver) GapObserver(node.StartDispatch) prometheus.Observer {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "unobserved_seconds"})
}

const (
	endingBody   = "a prompt of some words"
	endingBudget = 5 * time.Second
)

// target is a scripted target that counts the requests whose body arrived complete.
type target struct {
	server   *httptest.Server
	arrivals atomic.Int32
	headers  atomic.Pointer[http.Header]
}

func newTarget(t *testing.T, reply func(http.ResponseWriter)) *target {
	t.Helper()
	out := &target{}
	out.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if raw, err := io.ReadAll(r.Body); err == nil && string(raw) == endingBody && r.Method == http.MethodPost {
			out.arrivals.Add(1)
			out.headers.Store(&r.Header)
		}
		reply(w)
	}))
	t.Cleanup(out.server.Close)
	return out
}

func (g *target) address() string { return strings.TrimPrefix(g.server.URL, "http://") }

func completeAnswer(w http.ResponseWriter) {
	_, _ = fmt.Fprintf(w, `{"offset":0,"text":"well"}`+"\n"+`{"offset":4,"end":true,"checksum":%q}`+"\n", stream.Checksum([]byte("well")))
}

func replyText(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
}

func replyStatus(code int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.WriteHeader(code) }
}

func breakConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// newExchange returns an exchange with a request body and an empty answer.
func newExchange(body []byte) *stream.Exchange {
	ex := stream.NewStore().Open(core.Key{Team: "desk", ID: "request-1"})
	ex.SetBody(body)
	return ex
}

func startDispatch(address string, idempotent bool) node.StartDispatch {
	return node.StartDispatch{
		Key: core.Key{Team: "desk", ID: "request-1"}, Dispatch: 1, Target: address, Role: hostlist.RoleService, Deadline: endingBudget,
		Request: core.Request{Model: "orders", Idempotent: idempotent},
	}
}

func TestEndingSaysWhetherTheTargetMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		reply  func(http.ResponseWriter)
		ending node.Ending
	}{
		"answered":                    {completeAnswer, node.EndedDone},
		"refused":                     {replyStatus(http.StatusTooManyRequests), node.EndedRefused},
		"failed":                      {replyStatus(http.StatusInternalServerError), node.EndedFailed},
		"redirected":                  {replyStatus(http.StatusFound), node.EndedFailed},
		"reported an error":           {replyText(`{"error":"no memory"}` + "\n"), node.EndedFailed},
		"broke off before the answer": {breakConnection, node.EndedLost},
		"broke off in the answer":     {replyText(`{"offset":0,"text":"we"}` + "\n"), node.EndedLost},
		"not JSON":                    {replyText("well\n"), node.EndedLost},
		"a gap":                       {replyText(`{"offset":0,"text":"we"}` + "\n" + `{"offset":3,"text":"l"}` + "\n"), node.EndedLost},
		"wrong checksum":              {replyText(`{"text":"well"}` + "\n" + `{"offset":4,"end":true,"checksum":"0"}` + "\n"), node.EndedLost},
	} {
		t.Run(name, func(t *testing.T) {
			for _, idempotent := range []bool{false, true} {
				g := newTarget(t, c.reply)
				r := &recorder{}
				dispatch.New(r, netdial.Dialer{}, discardObserver{}).Run(startDispatch(g.address(), idempotent), newExchange([]byte(endingBody)))
				assert.Equal(t, len(r.ended), 1)
				assert.Equal(t, r.ended[0].Ending, c.ending, r.ended[0].Message)
				assert.Equal(t, g.arrivals.Load(), int32(1))
			}
		})
	}
}

func TestNothingIsWrittenWhereNothingMayRun(t *testing.T) {
	for name, c := range map[string]struct {
		now  core.Time
		body []byte
		prep func(*stream.Exchange)
	}{
		"past the deadline":     {now: endingBudget, body: []byte(endingBody)},
		"the request has ended": {body: nil},
		"aborted before it began": {body: []byte(endingBody), prep: func(ex *stream.Exchange) {
			ex.Abort(1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTarget(t, completeAnswer)
			r := &recorder{}
			r.now.Store(int64(c.now))
			ex := newExchange(c.body)
			if c.prep != nil {
				c.prep(ex)
			}
			dispatch.New(r, netdial.Dialer{}, discardObserver{}).Run(startDispatch(g.address(), false), ex)
			assert.Equal(t, r.ended[0].Ending, node.EndedNotWritten)
			assert.Equal(t, g.arrivals.Load(), int32(0))
		})
	}
}

// lateClock jumps past the deadline after its first readings, as if the process had been suspended between the
// decision and the write.
type lateClock struct {
	recorder
	readings      atomic.Int32
	freshReadings int32
}

// Now implements dispatch.Reporter.
func (l *lateClock) Now() core.Time {
	if l.readings.Add(1) > l.freshReadings {
		return endingBudget + time.Second
	}
	return 0
}

func TestProcessResumedAfterTheDeadlineWritesNothing(t *testing.T) {
	g := newTarget(t, completeAnswer)
	l := &lateClock{freshReadings: 2}
	dispatch.New(l, netdial.Dialer{}, discardObserver{}).Run(startDispatch(g.address(), false), newExchange([]byte(endingBody)))
	assert.Equal(t, l.ended[0].Ending, node.EndedNotWritten, l.ended[0].Message)
	assert.Equal(t, g.arrivals.Load(), int32(0))
}

// net/http resends some requests on its own when a reused connection dies. A call must not be among them.
func TestTransportSendsACallOnceOnConnectionsThatDie(t *testing.T) {
	var calls atomic.Int32
	g := newTarget(t, func(w http.ResponseWriter) {
		if calls.Add(1)%2 == 0 {
			breakConnection(w)
		}
		completeAnswer(w)
	})
	d := dispatch.New(&recorder{}, netdial.Dialer{}, discardObserver{})
	for range 10 {
		d.Run(startDispatch(g.address(), false), newExchange([]byte(endingBody)))
	}
	assert.Equal(t, g.arrivals.Load(), int32(10))
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		assert.Equal(t, g.headers.Load().Get(name), "", "with this header the transport retries on its own")
	}
}
