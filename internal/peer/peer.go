// Package peer is the protocol between entry hosts: JSON-RPC 2.0 over TCP. A heartbeat is a notification; a peer
// that learns from one that the sender has something newer calls back for it, names the text that it has, and gets
// the deltas from there, or the whole text.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/netdial"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Method names.
const (
	methodHeartbeat = "heartbeat"
	methodDocument  = "document"
	methodHosts     = "hosts"
)

// Have is the parameter of the "document" and "hosts" methods: the digest of the text that the caller has, 0 for
// none.
type Have struct {
	Digest uint64 `json:"digest"`
}

// Published is their result: the deltas that lead from the caller's text to the newest one, or the whole of it.
type Published struct {
	Digest uint64          `json:"digest"`
	Deltas []delta.Delta   `json:"deltas,omitempty"`
	Raw    json.RawMessage `json:"raw,omitempty"`
}

// ErrNothingPublished is returned by a peer that has no text yet.
const ErrNothingPublished = errors.ConstError("the peer has no such text")

// Timeouts between hosts.
const (
	dialTimeout  = time.Second
	writeTimeout = time.Second
	callTimeout  = 3 * time.Second
)

// Control is the part of the control loop that peers need.
type Control interface {
	Post(node.Input)
	Snapshot() *node.Snapshot
}

// Server answers other hosts.
type Server struct{ control Control }

// NewServer returns a server for the control loop.
func NewServer(control Control) *Server { return &Server{control: control} }

// Serve answers connections until the listener is closed or the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Trace(err)
		}
		stream := newStream(conn)
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle), quiet)
	}
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodHeartbeat:
		return nil, s.heartbeat(req)
	case methodDocument:
		return published(req, s.control.Snapshot().Documents)
	case methodHosts:
		return published(req, s.control.Snapshot().HostLists)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

// published answers with the deltas from the caller's text where they are all kept.
func published(req *jsonrpc2.Request, history *delta.History) (*Published, error) {
	var have Have
	if req.Params == nil || json.Unmarshal(*req.Params, &have) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a digest"}
	}
	newest := history.Newest()
	if newest.Digest == 0 {
		return nil, &jsonrpc2.Error{Code: codeNothing, Message: ErrNothingPublished.Error()}
	}
	if deltas, ok := history.Since(have.Digest); ok {
		return &Published{Digest: newest.Digest, Deltas: deltas}, nil
	}
	return &Published{Digest: newest.Digest, Raw: newest.Raw}, nil
}

// codeNothing is the JSON-RPC error code of a peer that has no text yet.
const codeNothing = -32000

func (s *Server) heartbeat(req *jsonrpc2.Request) error {
	var hb member.Heartbeat
	if req.Params == nil || json.Unmarshal(*req.Params, &hb) != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a heartbeat"}
	}
	s.control.Post(node.HeartbeatHeard{Heartbeat: hb})
	return nil
}

// Pool sends to other hosts, over one connection each. It is safe for concurrent use and never blocks its callers.
type Pool struct {
	control Control
	dialer  netdial.Dialer
	lists   *hostlist.Reader
	mu      sync.Mutex
	links   map[string]*link
}

// NewPool returns a pool without connections.
func NewPool(control Control, dialer netdial.Dialer) *Pool {
	return &Pool{control: control, dialer: dialer, lists: hostlist.NewReader(), links: make(map[string]*link)}
}

// Heartbeat sends a heartbeat; one that still waits for a slow peer is replaced.
func (p *Pool) Heartbeat(ctx context.Context, address string, hb member.Heartbeat) {
	p.link(ctx, address).offer(order{heartbeat: &hb})
}

// PullDocument asks a peer for its document and posts it.
func (p *Pool) PullDocument(ctx context.Context, address string) {
	p.link(ctx, address).offer(order{document: true})
}

// PullHosts asks a peer for its host list and posts it.
func (p *Pool) PullHosts(ctx context.Context, address string) {
	p.link(ctx, address).offer(order{hosts: true})
}

func (p *Pool) link(ctx context.Context, address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &link{control: p.control, dialer: p.dialer, lists: p.lists, address: address, wake: make(chan struct{}, 1)}
		p.links[address] = l
		go l.run(ctx)
	}
	return l
}

// order is what is to be sent; merging orders keeps the newest heartbeat and every pull.
type order struct {
	heartbeat *member.Heartbeat
	document  bool
	hosts     bool
}

func (o order) merge(later order) order {
	if later.heartbeat != nil {
		o.heartbeat = mergeHeartbeats(o.heartbeat, later.heartbeat)
	}
	o.document = o.document || later.document
	o.hosts = o.hosts || later.hosts
	return o
}

// mergeHeartbeats returns the one heartbeat that stands for two. A brief one only moves the clock of a full one on.
func mergeHeartbeats(earlier, later *member.Heartbeat) *member.Heartbeat {
	if earlier == nil || earlier.Repeats || !later.Repeats {
		return later
	}
	merged := *earlier
	merged.ClockMs = later.ClockMs
	merged.PlatformAgesMs = later.PlatformAgesMs
	merged.Revision, merged.Digest = later.Revision, later.Digest
	return &merged
}

type link struct {
	control Control
	dialer  netdial.Dialer
	lists   *hostlist.Reader
	address string
	conn    *jsonrpc2.Conn

	mu      sync.Mutex
	pending order
	wake    chan struct{}
}

func (l *link) offer(o order) {
	l.mu.Lock()
	l.pending = l.pending.merge(o)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) take() order {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.pending
	l.pending = order{}
	return o
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.close()
			return
		case <-l.wake:
			if err := l.send(ctx, l.take()); err != nil {
				l.close()
			}
		}
	}
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func (l *link) send(ctx context.Context, o order) error {
	if err := l.connect(ctx); err != nil {
		return errors.Trace(err)
	}
	if o.heartbeat != nil {
		if err := l.notify(ctx, o.heartbeat); err != nil {
			return errors.Trace(err)
		}
	}
	if o.document {
		if err := l.pullDocument(ctx); err != nil {
			return errors.Trace(err)
		}
	}
	if o.hosts {
		return errors.Trace(l.pullHosts(ctx))
	}
	return nil
}

func (l *link) connect(ctx context.Context) error {
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.close()
		default:
			return nil
		}
	}
	conn, err := l.dialer.WithTimeout(dialTimeout)(ctx, "tcp", l.address)
	if err != nil {
		return errors.Trace(err)
	}
	stream := newStream(deadlineConn{conn})
	l.conn = jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseCalls), quiet)
	return nil
}

// refuseCalls answers calls that come back over an outgoing connection; there are none in this protocol.
func refuseCalls(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

func (l *link) notify(ctx context.Context, hb *member.Heartbeat) error {
	return errors.Trace(l.conn.Notify(ctx, methodHeartbeat, hb))
}

func (l *link) pullDocument(ctx context.Context) error {
	text, err := l.pull(ctx, methodDocument, l.control.Snapshot().Documents)
	if err != nil {
		return errors.Trace(err)
	}
	l.control.Post(node.DocumentHeard{Raw: text.Raw, Source: l.address})
	return nil
}

func (l *link) pullHosts(ctx context.Context) error {
	text, err := l.pull(ctx, methodHosts, l.control.Snapshot().HostLists)
	if err != nil {
		return errors.Trace(err)
	}
	list, err := l.lists.Read(text.Raw)
	if err != nil {
		return errors.Trace(err)
	}
	l.control.Post(node.HostsHeard{List: list, Source: l.address})
	return nil
}

// pull fetches the peer's newest text, as deltas if it can; when they don't fit it asks for the whole text.
func (l *link) pull(ctx context.Context, method string, history *delta.History) (delta.Text, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	base := history.Newest()
	var got Published
	if err := l.conn.Call(ctx, method, Have{Digest: base.Digest}, &got); err != nil {
		return delta.Text{}, errors.Trace(err)
	}
	if len(got.Raw) > 0 {
		return delta.NewText(got.Raw), nil
	}
	if text, err := delta.ApplyAll(base, got.Deltas); err == nil && text.Digest == got.Digest {
		return text, nil
	}
	got = Published{}
	if err := l.conn.Call(ctx, method, Have{}, &got); err != nil {
		return delta.Text{}, errors.Trace(err)
	}
	return delta.NewText(got.Raw), nil
}

// deadlineConn bounds each write, so that a peer that is paused does not hold up the sender.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Trace(err)
	}
	return c.Conn.Write(p)
}
