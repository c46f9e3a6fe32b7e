// Package dispatch sends requests to targets, which are model engines or plain services, and reads their answers. It never
// reports a request as not written if any byte of it may have been sent: a request that is not idempotent is retried only
// if none was, or if the target refused it.
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
	"carobshunt/internal/httpstrict"
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
	// HeaderGroup lists the engines that run a stream together; HeaderReservation names the reservation on each.
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
	// Offset is the length of the text of all frames before, in bytes.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// End is set on the last line of a complete answer.
	End bool `json:"end,omitempty"`
	// Checksum is that of the complete answer; it is set on the last line.
	Checksum string `json:"checksum,omitempty"`
	// Error is set when the target failed to complete the answer.
	Error string `json:"error,omitempty"`
}

// Timeouts of connections to targets.
const (
	dialTimeout   = 2 * time.Second
	cancelTimeout = 2 * time.Second
)

// maxFrameBytes bounds one line of a target's answer, in bytes.
const maxFrameBytes = 1 << 20

// maxAnswerBytes bounds the text of an answer, in bytes: 2^21 tokens, the most that a request may ask for, of 16 bytes each.
const maxAnswerBytes = 32 << 20

// Reporter receives the events of a dispatch; the control loop implements it.
type Reporter interface {
	Post(node.Input)
	// Now returns the time on the host's clock.
	Now() core.Time
}

// Observer provides the metric that records the time between the frames of a dispatch's answer, in seconds.
type Observer interface {
	GapObserver(node.StartDispatch) prometheus.Observer
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	reporter Reporter
	dialer   netdial.Dialer
	observer Observer
	client   *http.Client
}

// New returns a dispatcher.
func New(reporter Reporter, dialer netdial.Dialer, observer Observer) *Dispatcher {
	client := newClient(dialer.WithTimeout(dialTimeout))
	return &Dispatcher{reporter: reporter, dialer: dialer, observer: observer, client: client}
}

// newClient returns an HTTP client that connects by dial. It uses no connection again: frames do not name their request, so after a target
// that answers a request twice, the second answer would pass for that to the next request.
func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	transport := &http.Transport{
		DialContext:       dial,
		DisableKeepAlives: true,
	}
	return &http.Client{Transport: httpstrict.NewTransport(transport), CheckRedirect: netdial.ReturnRedirect}
}

// Run executes one dispatch and reports its events. It returns after the dispatch has ended. If it ended as node.EndedLost at
// an engine, Run first asks the engine to drop the stream, which takes up to cancelTimeout and may fail.
func (d *Dispatcher) Run(action node.StartDispatch, ex *stream.Exchange) {
	left := action.Deadline - d.reporter.Now()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	ex.OnAbort(action.Dispatch, cancel)
	defer ex.Abort(action.Dispatch)
	run := &run{dispatcher: d, action: action, exchange: ex}
	ending, message := run.do(ctx)
	d.reporter.Post(node.DispatchEnded{
		Key:      action.Key,
		Dispatch: action.Dispatch,
		Target:   action.Target,
		Ending:   ending,
		Message:  message,
	})
	if action.Role == hostlist.RoleEngine && ending == node.EndedLost {
		d.cancelStream(action.Target, streamName(action))
	}
}

// cancelStream asks an engine to drop a stream. If the call fails, the sweep of engines drops the stream later.
func (d *Dispatcher) cancelStream(target, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	address := "http://" + target + PathStreams + "/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
	if err != nil {
		return
	}
	resp, err := d.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// streamName returns the name of the stream at the engine.
func streamName(action node.StartDispatch) string {
	if action.Adopt != "" {
		return action.Adopt
	}
	return action.Stream.Name()
}

// run is the state of one dispatch.
type run struct {
	dispatcher     *Dispatcher
	action         node.StartDispatch
	exchange       *stream.Exchange
	firstFrameSeen bool
	frameGaps      prometheus.Observer
	lastFrame      time.Time
}

// do sends the request and reads the answer. It returns how the dispatch ended and, on failure, a message.
func (r *run) do(ctx context.Context) (node.Ending, string) {
	gate := &writeGate{now: r.dispatcher.reporter.Now, deadline: r.action.Deadline}
	body := r.exchange.Body()
	if body == nil {
		return node.EndedNotWritten, "the request ended before it was sent"
	}
	if r.action.Request.Idempotent {
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

// client returns the HTTP client for the dispatch. A request that is not idempotent gets its own client with one
// connection, which goes through the gate.
func (r *run) client(gate *writeGate) *http.Client {
	if r.action.Request.Idempotent {
		return r.dispatcher.client
	}
	return newClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := r.dispatcher.dialer.WithTimeout(dialTimeout)(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: gate}, nil
	})
}

// adoptionRequest returns a request that reads a stream started by another host, from its beginning.
func (r *run) adoptionRequest(ctx context.Context) (*http.Request, error) {
	address := "http://" + r.action.Target + PathStreams + "/" + url.PathEscape(r.action.Adopt) + "/resume?offset=0"
	return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
}

// request builds the HTTP request of the dispatch.
func (r *run) request(ctx context.Context, body []byte) (*http.Request, error) {
	if r.action.Adopt != "" {
		return r.adoptionRequest(ctx)
	}
	path := PathStreams
	if r.action.Role == hostlist.RoleService {
		path = PathCalls
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.action.Target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if !r.action.Request.Idempotent {
		req.GetBody = nil // without it the transport cannot resend the body
	}
	left := r.action.Deadline - r.dispatcher.reporter.Now()
	request := r.action.Request
	req.Header.Set(HeaderStream, r.action.Stream.Name())
	req.Header.Set(HeaderModel, request.Model)
	req.Header.Set(HeaderPromptTokens, strconv.FormatInt(request.PromptTokens, 10))
	req.Header.Set(HeaderAnswerTokens, strconv.FormatInt(request.AnswerTokens, 10))
	req.Header.Set(HeaderPriority, strconv.Itoa(r.action.Priority))
	req.Header.Set(HeaderBudget, strconv.FormatInt(left.Milliseconds(), 10))
	if request.Prefix != "" {
		req.Header.Set(HeaderPrefix, request.Prefix)
		req.Header.Set(HeaderPrefixTokens, strconv.FormatInt(request.PrefixTokens, 10))
	}
	if len(r.action.Group) > 0 {
		req.Header.Set(HeaderGroup, strings.Join(r.action.Group, ","))
		req.Header.Set(HeaderReservation, r.action.Reservation.Name())
	}
	return req, nil
}

// copyAnswer appends the frames of a target's answer to the exchange and verifies the answer at its end.
func (r *run) copyAnswer(body io.Reader) (node.Ending, string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxFrameBytes)
	r.exchange.Answer.Start(r.action.Dispatch, r.source())
	verifier := newAnswerVerifier()
	for lines.Scan() {
		var frame TargetFrame
		if err := json.Unmarshal(lines.Bytes(), &frame); err != nil {
			return node.EndedLost, "the target sent a frame that is not JSON"
		}
		if frame.Error != "" {
			return node.EndedFailed, frame.Error
		}
		if frame.End {
			return verifier.verify(frame)
		}
		if frame.Offset+int64(len(frame.Text)) > maxAnswerBytes {
			return node.EndedLost, "the answer is too long"
		}
		if !verifier.add(frame) || !r.exchange.Answer.Append(r.action.Dispatch, frame.Offset, frame.Text) {
			return node.EndedLost, "a frame does not follow the one before it"
		}
		r.noteFrame()
	}
	return node.EndedLost, "the answer broke off"
}

// source returns the target and the stream that are named to callers as the source of their answer.
func (r *run) source() stream.Source {
	if r.action.Role != hostlist.RoleEngine {
		return stream.Source{Target: r.action.Target}
	}
	return stream.Source{Target: r.action.Target, Stream: streamName(r.action)}
}

// noteFrame reports the first frame and, for later ones, observes the time since the previous frame.
func (r *run) noteFrame() {
	now := time.Now()
	previous := r.lastFrame
	r.lastFrame = now
	if r.firstFrameSeen {
		r.frameGaps.Observe(now.Sub(previous).Seconds())
		return
	}
	r.firstFrameSeen = true
	r.frameGaps = r.dispatcher.observer.GapObserver(r.action)
	r.dispatcher.reporter.Post(node.DispatchFirstToken{Key: r.action.Key, Dispatch: r.action.Dispatch})
}
