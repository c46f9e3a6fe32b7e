// Package dispatch carries requests to targets and their answers back. It reports precisely whether any byte of a
// request was written, since only that decides what may be tried again.
package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"carobshunt/internal/core"
	"carobshunt/internal/core/node"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/netdial"
	"carobshunt/internal/stream"

	"github.com/prometheus/client_golang/prometheus"
)

// Header names of the targets' protocol.
const (
	HeaderStream       = "Stream-Name"
	HeaderPromptTokens = "Prompt-Tokens"
	HeaderAnswerTokens = "Answer-Tokens"
	HeaderPrefix       = "Prefix-Name"
	HeaderPrefixTokens = "Prefix-Tokens"
	HeaderPriority     = "Priority"
	HeaderBudget       = "Budget-Ms"
	HeaderModel        = "Model"
	// HeaderGroup lists the engines that run a stream together, HeaderReservation names what is held on each.
	HeaderGroup       = "Group"
	HeaderReservation = "Reservation-Name"
)

// Paths of the targets' protocol.
const (
	PathStreams = "/v1/streams"
	PathCalls   = "/v1/calls"
	PathLoad    = "/v1/load"
)

// TargetFrame is one line of a target's streamed answer.
type TargetFrame struct {
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// End is set on the last line of a whole answer.
	End bool `json:"end,omitempty"`
	// Checksum of the whole answer, on the last line.
	Checksum string `json:"checksum,omitempty"`
	// Error is set when the target gave up.
	Error string `json:"error,omitempty"`
}

// Timeouts towards targets.
const (
	dialTimeout   = 2 * time.Second
	cancelTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
)

// idleConnections is how many unused connections to one target are kept.
const idleConnections = 64

// maxFrameBytes bounds one line of a target's answer, in bytes.
const maxFrameBytes = 1 << 20

// Reporter takes the events of a dispatch; the control loop is one.
type Reporter interface {
	Post(node.Input)
	// Now is the host's clock.
	Now() core.Time
}

// Observer gives each dispatch the place where the times between its answer's frames are observed, in seconds.
type Observer interface {
	Answer(node.StartDispatch) prometheus.Observer
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	reporter Reporter
	dialer   netdial.Dialer
	observer Observer
	pooled   *http.Client
}

// New returns a dispatcher.
func New(reporter Reporter, dialer netdial.Dialer, observer Observer) *Dispatcher {
	transport := &http.Transport{
		DialContext:         dialer.WithTimeout(dialTimeout),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	return &Dispatcher{reporter: reporter, dialer: dialer, observer: observer, pooled: client}
}

// Run carries out one dispatch and reports its events; it returns when the dispatch has ended.
func (d *Dispatcher) Run(order node.StartDispatch, ex *stream.Exchange) {
	left := order.Deadline - d.reporter.Now()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	ex.OnAbort(order.Dispatch, cancel)
	defer ex.Abort(order.Dispatch)
	run := &run{dispatcher: d, order: order, exchange: ex}
	ending, message := run.do(ctx)
	d.reporter.Post(node.DispatchEnded{
		Key:      order.Key,
		Dispatch: order.Dispatch,
		Target:   order.Target,
		Ending:   ending,
		Message:  message,
	})
	if order.Role == hostlist.RoleEngine && ending == node.EndedLost {
		d.cancelStream(order.Target, streamName(order))
	}
}

// cancelStream tells an engine to drop a stream. The sweep of engines catches what this misses.
func (d *Dispatcher) cancelStream(target, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	address := "http://" + target + PathStreams + "/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
	if err != nil {
		return
	}
	resp, err := d.pooled.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// streamName is the name of the stream at the engine.
func streamName(order node.StartDispatch) string {
	if order.Adopt != "" {
		return order.Adopt
	}
	return order.Stream.Name()
}

type run struct {
	dispatcher *Dispatcher
	order      node.StartDispatch
	exchange   *stream.Exchange
	first      bool
	between    prometheus.Observer
	lastFrame  time.Time
}

func (r *run) do(ctx context.Context) (node.Ending, string) {
	gate := &writeGate{now: r.dispatcher.reporter.Now, deadline: r.order.Deadline}
	body := r.exchange.Body()
	if body == nil {
		return node.EndedNotWritten, "the request ended before it was sent"
	}
	if r.order.Request.Idempotent {
		ctx = httptrace.WithClientTrace(ctx, gate.trace())
	}
	req, err := r.request(ctx, body)
	if err != nil {
		return node.EndedNotWritten, err.Error()
	}
	resp, err := r.client(gate).Do(req)
	if err != nil {
		if gate.written() {
			return node.EndedLost, err.Error()
		}
		return node.EndedNotWritten, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return node.EndedRefused, "the target did not accept the request"
	case resp.StatusCode != http.StatusOK:
		return node.EndedFailed, fmt.Sprintf("the target answered with status %d", resp.StatusCode)
	}
	return r.copyAnswer(resp.Body)
}

// client returns what carries the dispatch. A request that is not idempotent gets a client of its own: its one
// connection passes through the gate, is never kept, and so nothing is ever written twice on it by the transport. An
// idempotent one goes over a kept connection, which saves a round trip.
func (r *run) client(gate *writeGate) *http.Client {
	if r.order.Request.Idempotent {
		return r.dispatcher.pooled
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := r.dispatcher.dialer.WithTimeout(dialTimeout)(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &gatedConn{Conn: conn, gate: gate}, nil
			},
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: keepRedirect,
	}
}

// keepRedirect hands a redirect back as an answer; targets have none to give.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// adoption asks for a stream that another host started, from its start.
func (r *run) adoption(ctx context.Context) (*http.Request, error) {
	address := "http://" + r.order.Target + PathStreams + "/" + url.PathEscape(r.order.Adopt) + "/resume?offset=0"
	return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
}

func (r *run) request(ctx context.Context, body []byte) (*http.Request, error) {
	if r.order.Adopt != "" {
		return r.adoption(ctx)
	}
	path := PathStreams
	if r.order.Role == hostlist.RoleService {
		path = PathCalls
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.order.Target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if !r.order.Request.Idempotent {
		req.GetBody = nil // without it the transport can't send the body a second time
	}
	left := r.order.Deadline - r.dispatcher.reporter.Now()
	request := r.order.Request
	req.Header.Set(HeaderStream, r.order.Stream.Name())
	req.Header.Set(HeaderModel, request.Model)
	req.Header.Set(HeaderPromptTokens, strconv.FormatInt(request.PromptTokens, 10))
	req.Header.Set(HeaderAnswerTokens, strconv.FormatInt(request.AnswerTokens, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(r.order.Priority))
	req.Header.Set(HeaderBudget, strconv.FormatInt(left.Milliseconds(), 10))
	if request.Prefix != "" {
		req.Header.Set(HeaderPrefix, request.Prefix)
		req.Header.Set(HeaderPrefixTokens, strconv.FormatInt(request.PrefixTokens, 10))
	}
	if len(r.order.Group) > 0 {
		req.Header.Set(HeaderGroup, strings.Join(r.order.Group, ","))
		req.Header.Set(HeaderReservation, r.order.Reservation.Name())
	}
	return req, nil
}

func (r *run) copyAnswer(body io.Reader) (node.Ending, string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxFrameBytes)
	r.exchange.Answer.Start(r.order.Dispatch, r.source())
	text := newTally()
	for lines.Scan() {
		var frame TargetFrame
		if err := json.Unmarshal(lines.Bytes(), &frame); err != nil {
			return node.EndedLost, "the target sent a frame that is not JSON"
		}
		if frame.Error != "" {
			return node.EndedFailed, frame.Error
		}
		if frame.End {
			return text.judge(frame)
		}
		if !text.add(frame) || !r.exchange.Answer.Append(r.order.Dispatch, frame.Offset, frame.Text) {
			return node.EndedLost, "a frame does not follow the one before it"
		}
		r.noteFrame()
	}
	return node.EndedLost, "the answer broke off"
}

// source is what callers are told of where their answer is made.
func (r *run) source() stream.Source {
	if r.order.Role != hostlist.RoleEngine {
		return stream.Source{Target: r.order.Target}
	}
	return stream.Source{Target: r.order.Target, Stream: streamName(r.order)}
}

// noteFrame reports the first frame and observes the time since the one before.
func (r *run) noteFrame() {
	now := time.Now()
	former := r.lastFrame
	r.lastFrame = now
	if r.first {
		r.between.Observe(now.Sub(former).Seconds())
		return
	}
	r.first = true
	r.between = r.dispatcher.observer.Answer(r.order)
	r.dispatcher.reporter.Post(node.DispatchFirstToken{Key: r.order.Key, Dispatch: r.order.Dispatch})
}
