// Package httpconn tells the connections of an HTTP server what state their requests are in.
package httpconn

import (
	"cmp"
	"context"
	"net"
	"net/http"
)

// Observer is a connection that is told of its requests.
type Observer interface {
	// HeadRead is called when the server has read a head, unless it came together with the end of the body before.
	HeadRead()
	// RequestBegan is called before a request is served. With an error, it is refused.
	RequestBegan() error
	// RequestEnded is called when the connection waits for the next request.
	RequestEnded()
}

// BodyObserver is a connection that is told when the rest of its request is waited for, and when it is whole. With an error, the
// request is not to be served: its connection was closed meanwhile.
type BodyObserver interface {
	SetBodyAwaited(awaited bool) error
}

// HeadHolder is a connection that counts the memory of the current head.
type HeadHolder interface{ ShrinkHead(bytes int64) }

// retryAfter is the Retry-After in seconds of requests that a connection refuses.
const retryAfter = "1"

// Prepare makes a server tell its connections of their requests. The server's handler must be set before.
func Prepare(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := requestBegan(Conn(r.Context())); err != nil {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			each(conn, Observer.HeadRead)
		case http.StateIdle:
			each(conn, Observer.RequestEnded)
		}
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Conn returns the connection of the request whose context is given; nil for a server that Prepare has not set up.
func Conn(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

// SetBodyAwaited tells the connection of a request whether the rest of the request is waited for. The error is that of a BodyObserver.
func SetBodyAwaited(ctx context.Context, awaited bool) error {
	var fault error
	each(Conn(ctx), func(o BodyObserver) {
		fault = cmp.Or(fault, o.SetBodyAwaited(awaited))
	})
	return fault
}

// ShrinkHead tells the connection of a request that its head takes no more than so many bytes from now on.
func ShrinkHead(ctx context.Context, bytes int64) {
	each(Conn(ctx), func(h HeadHolder) { h.ShrinkHead(bytes) })
}

func requestBegan(conn net.Conn) error {
	var fault error
	each(conn, func(o Observer) {
		fault = cmp.Or(fault, o.RequestBegan())
	})
	return fault
}

// each calls a function for those of a type among a connection and the ones that it wraps.
func each[T any](conn net.Conn, f func(T)) {
	for conn != nil {
		if observer, ok := conn.(T); ok {
			f(observer)
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapper.NetConn()
	}
}
