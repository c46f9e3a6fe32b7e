package peer

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"carobshunt/internal/core/member"
	"carobshunt/internal/netdial"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// TestFetchHoldsUpNoHeartbeats guards against hosts that are taken for lost, as their heartbeats to a peer wait until it has answered
// a fetch.
func TestFetchHoldsUpNoHeartbeats(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	asked := make(chan struct{})
	go answerAfterHeartbeat(listener, asked)

	base := newRecorder()
	pool := NewPool(base, netdial.From("127.0.0.1:1"))
	pool.FetchDocument(t.Context(), listener.Addr().String())
	<-asked
	pool.Heartbeat(t.Context(), listener.Addr().String(), member.Heartbeat{Peer: "127.0.0.1:1"})
	select {
	case <-base.inputs: // the answer
	case <-time.After(callTimeout + time.Second):
		t.Fatal("the heartbeat came only after the fetch")
	}
}

// answerAfterHeartbeat accepts a connection, and answers the fetch of a document once it has received a heartbeat. asked is closed when
// the fetch has arrived.
func answerAfterHeartbeat(listener net.Listener, asked chan<- struct{}) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	stream := newStream(conn)
	var id jsonrpc2.ID
	for {
		var req jsonrpc2.Request
		if stream.ReadObject(&req) != nil {
			return
		}
		switch req.Method {
		case methodDocument:
			id = req.ID
			close(asked)
		case methodHeartbeat:
			result, _ := json.Marshal(FetchResult{Digest: 1, Raw: json.RawMessage(`{"revision":2}`)})
			raw := json.RawMessage(result)
			_ = stream.WriteObject(&jsonrpc2.Response{ID: id, Result: &raw})
		}
	}
}
