package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"
	"carobshunt/internal/netdial"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// recorder is a control loop that records its inputs.
type recorder struct {
	inputs    chan node.Input
	documents *delta.History
	hosts     *delta.History
}

func (r *recorder) Post(in node.Input) { r.inputs <- in }

func (r *recorder) Snapshot() *node.Snapshot {
	return &node.Snapshot{Documents: r.documents, HostLists: r.hosts}
}

func newRecorder(texts ...string) *recorder {
	r := &recorder{inputs: make(chan node.Input, 16), documents: &delta.History{}, hosts: &delta.History{}}
	for _, text := range texts {
		r.documents = r.documents.Add(delta.NewText([]byte(text)))
	}
	return r
}

// serve starts a server for a control loop and returns its address.
func serve(t *testing.T, control Control) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); _ = listener.Close() })
	go func() { _ = NewServer(control, 1<<26).Serve(ctx, listener) }()
	return listener.Addr().String()
}

func TestFetchReturnsTheNewestTextFromAnyBase(t *testing.T) {
	texts := []string{`{"a":1,"b":[1,2,3]}`, `{"a":2,"b":[1,2,3]}`, `{"a":2,"b":[1,3]}`}
	address := serve(t, newRecorder(texts...))
	for _, base := range []*recorder{newRecorder(), newRecorder(texts[:1]...), newRecorder(texts[:2]...), newRecorder(`{"a":9}`)} {
		ctx, stop := context.WithCancel(context.Background())
		pool := NewPool(base, netdial.From("127.0.0.1:1"))
		pool.FetchDocument(ctx, address)
		received := (<-base.inputs).(node.DocumentFetched)
		assert.Equal(t, string(received.Raw), texts[2])
		assert.Equal(t, received.Source, address)
		stop()
	}
}

func TestIdleLinkIsClosedAndReopened(t *testing.T) {
	receiver := newRecorder()
	address := serve(t, receiver)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	pool := NewPool(newRecorder(), netdial.From("127.0.0.1:1"))
	pool.idle = 20 * time.Millisecond
	for beat := range int64(3) {
		pool.Heartbeat(ctx, address, member.Heartbeat{Peer: "127.0.0.1:2", ClockMs: beat})
		received := (<-receiver.inputs).(node.HeartbeatReceived)
		assert.Equal(t, received.Heartbeat.ClockMs, beat)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			if len(pool.links) == 0 {
				return poll.Success()
			}
			return poll.Continue("%d links", len(pool.links))
		}, poll.WithDelay(time.Millisecond))
	}
}

func TestBriefHeartbeatDoesNotReplaceAPendingFullOne(t *testing.T) {
	full := member.Heartbeat{Peer: "p", Incarnation: "i", Zone: "a", ClockMs: 1, Revision: 1, State: 3, Ready: true}
	later := full
	later.ClockMs, later.Revision = 5, 2
	brief := later.Brief()
	merged := outgoing{heartbeat: &full}.merge(outgoing{heartbeat: &brief, fetchHosts: true})
	assert.DeepEqual(t, *merged.heartbeat, later)
	assert.Assert(t, merged.fetchHosts)
	merged = outgoing{heartbeat: &brief}.merge(outgoing{heartbeat: &full})
	assert.DeepEqual(t, *merged.heartbeat, full)
}

// TestInvalidHostListIsReported guards against a host list of a peer that is dropped without a trace, and fetched again and again.
func TestInvalidHostListIsReported(t *testing.T) {
	sender := newRecorder()
	sender.hosts = sender.hosts.Add(delta.NewText([]byte(`{"version":1,"hosts":[{"slots":9223372036854775807}]}`)))
	address := serve(t, sender)
	receiver := newRecorder()
	NewPool(receiver, netdial.From("127.0.0.1:1")).FetchHosts(t.Context(), address)
	refused, ok := (<-receiver.inputs).(node.HostsRefused)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Source, address)
	assert.Assert(t, strings.Contains(refused.Why, "/hosts/0/slots"), refused.Why)
}
