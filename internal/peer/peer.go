// Package peer is the protocol between entry hosts: JSON-RPC 2.0 over TCP, and load digests by UDP datagram. A
// heartbeat is a notification. A host that learns from one, or from a datagram, that the sender has a newer document or
// host list fetches it: it sends the digest of the text that it has, and receives the deltas from there or the whole
// text.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"
	"carobshunt/internal/membudget"
	"carobshunt/internal/wait"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Method names.
const (
	methodHeartbeat = "heartbeat"
	methodDocument  = "document"
	methodHosts     = "hosts"
)

// ErrNothingPublished is the message of the JSON-RPC error that a peer without such a text returns.
const ErrNothingPublished = errors.ConstError("the peer has no such text")

// Timeouts of outgoing connections.
const (
	dialTimeout  = time.Second
	writeTimeout = time.Second
	callTimeout  = 3 * time.Second
)

// Control is the part of the control loop that this package needs.
type Control interface {
	Post(node.Input)
	Snapshot() *node.Snapshot
}

// Server serves the requests of other hosts.
type Server struct {
	control Control
	memory  *membudget.Budget
	// documents and hostLists hold results of fetches.
	documents, hostLists resultCache
}

// NewServer returns a server that posts to the control loop and answers from its snapshot. The messages that it reads take at most
// memory bytes.
func NewServer(control Control, memory int64) *Server {
	return &Server{control: control, memory: membudget.NewWithReserve(memory, messageReserve)}
}

// acceptRetryInterval is the time until the next connection is accepted after one could not be for a temporary reason.
const acceptRetryInterval = 20 * time.Millisecond

// isTemporary reports whether accepting a connection may succeed later, as after a lack of descriptors.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// Serve accepts connections until that fails for good, as when the listener is closed. Connections end with the context.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if isTemporary(err) {
			wait.For(ctx, acceptRetryInterval)
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		stream := newBoundedStream(conn, s.memory)
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle), discardLog)
	}
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodHeartbeat:
		return nil, s.heartbeat(req)
	case methodDocument:
		return s.answerFetch(req, s.control.Snapshot().Documents, &s.documents)
	case methodHosts:
		return s.answerFetch(req, s.control.Snapshot().HostLists, &s.hostLists)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

// answerFetch returns the encoded result of a fetch.
func (s *Server) answerFetch(req *jsonrpc2.Request, history *delta.History, cache *resultCache) (any, error) {
	var params FetchParams
	if req.Params == nil || json.Unmarshal(*req.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a digest"}
	}
	if history.Newest().Digest == 0 {
		return nil, &jsonrpc2.Error{Code: codeNothingPublished, Message: ErrNothingPublished.Error()}
	}
	raw, err := cache.get(params, history)
	return raw, errors.Trace(err)
}

// codeNothingPublished is the JSON-RPC error code of a peer that has no text yet.
const codeNothingPublished = -32000

func (s *Server) heartbeat(req *jsonrpc2.Request) error {
	var hb member.Heartbeat
	if req.Params == nil || json.Unmarshal(*req.Params, &hb) != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a heartbeat"}
	}
	s.control.Post(node.HeartbeatReceived{Heartbeat: hb})
	return nil
}
