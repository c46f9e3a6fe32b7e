// Package peer is the protocol between entry hosts: JSON-RPC 2.0 over TCP. A heartbeat is a notification; a peer
// that learns from one that the sender has something newer calls back for it, names the text that it has, and gets
// the deltas from there, or the whole text.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"carobshunt/internal/core/member"
	"carobshunt/internal/core/node"
	"carobshunt/internal/delta"

	"github.com/juju/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Method names.
const (
	methodHeartbeat = "heartbeat"
	methodDocument  = "document"
	methodHosts     = "hosts"
)

// FetchParams is the parameter of the "document" and "hosts" methods: the digest of the text that the caller has, 0 for
// none.
type FetchParams struct {
	Digest uint64 `json:"digest"`
}

// FetchResult is their result: the deltas that lead from the caller's text to the newest one, or the whole of it.
type FetchResult struct {
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
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle), discardLog)
	}
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodHeartbeat:
		return nil, s.heartbeat(req)
	case methodDocument:
		return answerFetch(req, s.control.Snapshot().Documents)
	case methodHosts:
		return answerFetch(req, s.control.Snapshot().HostLists)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
}

// answerFetch answers with the deltas from the caller's text where they are all kept.
func answerFetch(req *jsonrpc2.Request, history *delta.History) (*FetchResult, error) {
	var params FetchParams
	if req.Params == nil || json.Unmarshal(*req.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a digest"}
	}
	newest := history.Newest()
	if newest.Digest == 0 {
		return nil, &jsonrpc2.Error{Code: codeNothingPublished, Message: ErrNothingPublished.Error()}
	}
	if deltas, ok := history.Since(params.Digest); ok {
		return &FetchResult{Digest: newest.Digest, Deltas: deltas}, nil
	}
	return &FetchResult{Digest: newest.Digest, Raw: newest.Raw}, nil
}

// codeNothingPublished is the JSON-RPC error code of a peer that has no text yet.
const codeNothingPublished = -32000

func (s *Server) heartbeat(req *jsonrpc2.Request) error {
	var hb member.Heartbeat
	if req.Params == nil || json.Unmarshal(*req.Params, &hb) != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a heartbeat"}
	}
	s.control.Post(node.HeartbeatHeard{Heartbeat: hb})
	return nil
}
