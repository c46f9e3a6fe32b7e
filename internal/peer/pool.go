package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"carobshunt/internal/core/conf"
	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"
	"carobshunt/internal/document"
	"carobshunt/internal/hostlist"
	"carobshunt/internal/netdial"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Pool sends to other hosts over one connection each. It is safe for concurrent use, and its methods don't wait for
// the network. The context of the call that creates a link to a host ends all sending to it, so it must be that of the
// process.
type Pool struct {
	control Control
	dialer  netdial.Dialer
	lists   *hostlist.Reader
	// idle is the time without anything to send after which a connection is closed.
	idle  time.Duration
	mu    sync.Mutex
	links map[string]*link
}

// idleTimeout is longer than the longest interval between two heartbeats to a peer, so a link that is idle for longer
// belongs to a host that is no longer a peer.
const idleTimeout = time.Minute

// NewPool returns a pool with no open connection.
func NewPool(control Control, dialer netdial.Dialer) *Pool {
	return &Pool{
		control: control, dialer: dialer, idle: idleTimeout, links: make(map[string]*link),
		lists: hostlist.NewReader(),
	}
}

// Heartbeat sends a heartbeat. If an earlier one is still pending for a slow peer, the two are merged, see
// mergeHeartbeats.
func (p *Pool) Heartbeat(ctx context.Context, address string, hb member.Heartbeat) {
	p.enqueue(ctx, address, outgoing{heartbeat: &hb})
}

// FetchDocument fetches a peer's document and posts it, unchecked, to the control loop.
func (p *Pool) FetchDocument(ctx context.Context, address string) {
	p.enqueue(ctx, address, outgoing{fetchDocument: true})
}

// FetchHosts fetches a peer's host list and posts it to the control loop.
func (p *Pool) FetchHosts(ctx context.Context, address string) {
	p.enqueue(ctx, address, outgoing{fetchHosts: true})
}

func (p *Pool) enqueue(ctx context.Context, address string, o outgoing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &link{pool: p, address: address, wake: make(chan struct{}, 1)}
		p.links[address] = l
		go l.run(ctx)
	}
	l.enqueue(o)
}

// removeIfIdle removes a link that has nothing to send, and reports whether it did.
func (p *Pool) removeIfIdle(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.hasPending() {
		return false
	}
	delete(p.links, l.address)
	return true
}

// outgoing is what is to be sent to a peer. Merging two merges their heartbeats, see mergeHeartbeats, and keeps every
// fetch.
type outgoing struct {
	heartbeat     *member.Heartbeat
	fetchDocument bool
	fetchHosts    bool
}

func (o outgoing) merge(later outgoing) outgoing {
	if later.heartbeat != nil {
		o.heartbeat = mergeHeartbeats(o.heartbeat, later.heartbeat)
	}
	o.fetchDocument = o.fetchDocument || later.fetchDocument
	o.fetchHosts = o.fetchHosts || later.fetchHosts
	return o
}

// mergeHeartbeats returns one heartbeat in place of two. A brief heartbeat has Repeats set: it omits the content of the
// last full one, which the peer needs to complete it. So a full heartbeat that a brief one follows is kept, and takes
// only ClockMs, PlatformAgesMs, Revision and Digest from the brief one; its AnsweredMs, Loads and Work stay those of the
// earlier time. In any other case the later heartbeat replaces the earlier one, and an Ask of the earlier one is lost.
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

// link is the connection to one peer, which is opened when there is something to send.
type link struct {
	pool    *Pool
	address string
	conn    *jsonrpc2.Conn

	mu      sync.Mutex
	pending outgoing
	wake    chan struct{}

	// fetchingDocument and fetchingHosts are set while such a fetch runs.
	fetchingDocument, fetchingHosts atomic.Bool
}

func (l *link) enqueue(o outgoing) {
	l.mu.Lock()
	l.pending = l.pending.merge(o)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) take() outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.pending
	l.pending = outgoing{}
	return o
}

// hasPending reports whether there is anything to send.
func (l *link) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending != outgoing{}
}

func (l *link) run(ctx context.Context) {
	defer l.close()
	idle := time.NewTimer(l.pool.idle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if l.pool.removeIfIdle(l) {
				return
			}
		case <-l.wake:
			if err := l.send(ctx, l.take()); err != nil {
				l.close()
			}
		}
		idle.Reset(l.pool.idle)
	}
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func (l *link) send(ctx context.Context, o outgoing) error {
	if err := l.connect(ctx); err != nil {
		return errors.Trace(err)
	}
	if o.heartbeat != nil {
		if err := l.notify(ctx, o.heartbeat); err != nil {
			return errors.Trace(err)
		}
	}
	if o.fetchDocument {
		l.fetchBeside(ctx, &l.fetchingDocument, l.fetchDocument)
	}
	if o.fetchHosts {
		l.fetchBeside(ctx, &l.fetchingHosts, l.fetchHosts)
	}
	return nil
}

// fetchBeside runs a fetch on a goroutine of its own, so that heartbeats don't wait for its answer. While the fetch before still runs, it
// does nothing. A fetch that fails closes its connection.
func (l *link) fetchBeside(ctx context.Context, running *atomic.Bool, fetch func(context.Context, *jsonrpc2.Conn) error) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	conn := l.conn
	go func() {
		defer running.Store(false)
		if err := fetch(ctx, conn); err != nil {
			_ = conn.Close()
		}
	}()
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
	conn, err := l.pool.dialer.WithTimeout(dialTimeout)(ctx, "tcp", l.address)
	if err != nil {
		return errors.Trace(err)
	}
	stream := newStream(deadlineConn{conn})
	l.conn = jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseCalls), discardLog)
	return nil
}

// refuseCalls refuses calls that the peer makes over an outgoing connection; the protocol has none.
func refuseCalls(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

func (l *link) notify(ctx context.Context, hb *member.Heartbeat) error {
	return errors.Trace(l.conn.Notify(ctx, methodHeartbeat, hb))
}

func (l *link) fetchDocument(ctx context.Context, conn *jsonrpc2.Conn) error {
	text, err := fetch(ctx, conn, methodDocument, l.pool.control.Snapshot().Documents)
	if err != nil {
		return errors.Trace(err)
	}
	version := conf.Version{Revision: document.RevisionOf(text.Raw), Digest: text.Digest}
	l.pool.control.Post(node.DocumentFetched{Version: version, Raw: text.Raw, Source: l.address})
	return nil
}

func (l *link) fetchHosts(ctx context.Context, conn *jsonrpc2.Conn) error {
	text, err := fetch(ctx, conn, methodHosts, l.pool.control.Snapshot().HostLists)
	if err != nil {
		return errors.Trace(err)
	}
	list, canonical, err := l.pool.lists.Read(text.Raw)
	if err != nil {
		l.pool.control.Post(node.HostsRefused{Source: l.address, Why: err.Error()})
		return nil
	}
	l.pool.control.Post(node.HostsReceived{List: list, Text: delta.NewText(canonical).Split(), Source: l.address})
	return nil
}

// fetch returns the peer's newest text. It asks for deltas first, and for the whole text if they don't apply.
func fetch(ctx context.Context, conn *jsonrpc2.Conn, method string, history *delta.History) (delta.Text, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	base := history.Newest()
	got, err := call(ctx, conn, method, base.Digest)
	if err != nil {
		return delta.Text{}, errors.Trace(err)
	}
	if len(got.Raw) > 0 {
		return delta.NewText(got.Raw), nil
	}
	if text, err := delta.ApplyAll(base, got.Deltas); err == nil && text.Digest == got.Digest {
		return text, nil
	}
	if got, err = call(ctx, conn, method, 0); err != nil {
		return delta.Text{}, errors.Trace(err)
	}
	return delta.NewText(got.Raw), nil
}

// call calls a method that returns a FetchResult.
func call(ctx context.Context, conn *jsonrpc2.Conn, method string, base uint64) (*FetchResult, error) {
	got := &FetchResult{}
	if err := conn.Call(ctx, method, FetchParams{Digest: base, Deflate: true}, got); err != nil {
		return nil, errors.Trace(err)
	}
	got, err := got.inflate()
	return got, errors.Trace(err)
}

// deadlineConn sets a deadline for each write, so that a suspended peer does not block the sender.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Trace(err)
	}
	return c.Conn.Write(p)
}
