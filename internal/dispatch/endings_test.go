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

// recorder keeps what a dispatcher reports; its clock stands where the test puts it.
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

// unobserved measures nothing that lasts.
type unobserved struct{}

// Answer implements dispatch.Observer.
func (unobserved) Answer(node.StartDispatch) prometheus.Observer {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "unobserved_seconds"})
}

const (
	endingBody   = "a prompt of some words"
	endingBudget = 5 * time.Second
)

// target is a scripted target that counts the requests whose body arrived whole.
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

func whole(w http.ResponseWriter) {
	_, _ = fmt.Fprintf(w, `{"offset":0,"text":"well"}`+"\n"+`{"offset":4,"end":true,"checksum":%q}`+"\n", stream.Checksum([]byte("well")))
}

func writing(text string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
}

func status(code int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) { w.WriteHeader(code) }
}

func breaking(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// newExchange holds a body, and an answer that other goroutines read.
func newExchange(body []byte) *stream.Exchange {
	ex := stream.NewStore().Open(core.Key{Team: "desk", ID: "request-1"})
	ex.SetBody(body)
	return ex
}

func order(address string, idempotent bool) node.StartDispatch {
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
		"answered":               {whole, node.EndedDone},
		"refused":                {status(http.StatusTooManyRequests), node.EndedRefused},
		"failed":                 {status(http.StatusInternalServerError), node.EndedFailed},
		"redirected":             {status(http.StatusFound), node.EndedFailed},
		"gave up":                {writing(`{"error":"no memory"}` + "\n"), node.EndedFailed},
		"broke before an answer": {breaking, node.EndedLost},
		"broke in the answer":    {writing(`{"offset":0,"text":"we"}` + "\n"), node.EndedLost},
		"not JSON":               {writing("well\n"), node.EndedLost},
		"a gap":                  {writing(`{"offset":0,"text":"we"}` + "\n" + `{"offset":3,"text":"l"}` + "\n"), node.EndedLost},
		"wrong checksum":         {writing(`{"text":"well"}` + "\n" + `{"offset":4,"end":true,"checksum":"0"}` + "\n"), node.EndedLost},
	} {
		t.Run(name, func(t *testing.T) {
			for _, idempotent := range []bool{false, true} {
				g := newTarget(t, c.reply)
				r := &recorder{}
				dispatch.New(r, netdial.Dialer{}, unobserved{}).Run(order(g.address(), idempotent), newExchange([]byte(endingBody)))
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
			g := newTarget(t, whole)
			r := &recorder{}
			r.now.Store(int64(c.now))
			ex := newExchange(c.body)
			if c.prep != nil {
				c.prep(ex)
			}
			dispatch.New(r, netdial.Dialer{}, unobserved{}).Run(order(g.address(), false), ex)
			assert.Equal(t, r.ended[0].Ending, node.EndedNotWritten)
			assert.Equal(t, g.arrivals.Load(), int32(0))
		})
	}
}

// lateClock jumps past the deadline after its first readings, as for a process that is stopped between the decision
// and the write.
type lateClock struct {
	recorder
	readings atomic.Int32
	fresh    int32
}

// Now implements dispatch.Reporter.
func (l *lateClock) Now() core.Time {
	if l.readings.Add(1) > l.fresh {
		return endingBudget + time.Second
	}
	return 0
}

func TestProcessThatWakesLateBeforeTheFirstByteWritesNothing(t *testing.T) {
	g := newTarget(t, whole)
	l := &lateClock{fresh: 2}
	dispatch.New(l, netdial.Dialer{}, unobserved{}).Run(order(g.address(), false), newExchange([]byte(endingBody)))
	assert.Equal(t, l.ended[0].Ending, node.EndedNotWritten, l.ended[0].Message)
	assert.Equal(t, g.arrivals.Load(), int32(0))
}

func TestTransportSendsACallOnceOnConnectionsThatDie(t *testing.T) {
	var calls atomic.Int32
	g := newTarget(t, func(w http.ResponseWriter) {
		if calls.Add(1)%2 == 0 {
			breaking(w)
		}
		whole(w)
	})
	d := dispatch.New(&recorder{}, netdial.Dialer{}, unobserved{})
	for range 10 {
		d.Run(order(g.address(), false), newExchange([]byte(endingBody)))
	}
	assert.Equal(t, g.arrivals.Load(), int32(10))
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		assert.Equal(t, g.headers.Load().Get(name), "", "with this header the transport sends again by itself")
	}
}
