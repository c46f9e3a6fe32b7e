// Package headlimit bounds the heads of the requests that an HTTP server reads: each in size and time, and all together in memory, from
// their first byte on. net/http builds a map of strings from a head, which may take many times its bytes, and bounds only the bytes of
// one. A connection of this package passes a head on to net/http when it is whole and has found room; until then it takes no more than
// its bytes.
package headlimit

import (
	"math"
	"net"
	"net/http"
	"time"

	"carobshunt/internal/membudget"
)

// Limits are the limits on one head.
type Limits struct {
	// Bytes bounds the request line, and all header lines together, in bytes.
	Bytes int64
	// Timeout bounds the time from the first byte of a head to its end.
	Timeout time.Duration
	// Idle bounds the time that a connection waits for the first byte of a head.
	Idle time.Duration
}

// Guard guards the connections of the servers that share one budget.
type Guard struct{ memory *membudget.Budget }

// reserve leaves room for heads of ordinary size while others take what there is.
var reserve = membudget.Reserve{SmallBytes: 8 << 10, Share: 0.25}

// NewGuard returns a guard for a host whose heads may take so much memory, in bytes.
func NewGuard(memory int64) *Guard { return &Guard{memory: membudget.NewWithReserve(memory, reserve)} }

// Held returns the memory that heads take, in bytes.
func (g *Guard) Held() int64 { return g.memory.Held() }

// GivenUp returns how many heads were given up for want of memory.
func (g *Guard) GivenUp() uint64 { return g.memory.GivenUp() }

// Listener returns a listener whose connections are guarded. limits is called at the begin of each head. The server that accepts from
// the listener must have been set up by httpconn.Prepare.
func (g *Guard) Listener(inner net.Listener, limits func() Limits) net.Listener {
	return &listener{Listener: inner, guard: g, limits: limits}
}

// NewServer returns a server for connections of a guarded listener, whose limits hold in place of the server's.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: math.MaxInt32, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
}

type listener struct {
	net.Listener
	guard  *Guard
	limits func() Limits
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped: net/http tries again only if it sees a temporary error itself
	}
	return &Conn{Conn: conn, memory: l.guard.memory, limits: l.limits, scanner: newScanner()}, nil
}

// Memory that net/http and this package take for a head at most, in bytes: for each line a place in a map, a slice and two strings, and
// for each byte the strings and the buffers.
const (
	bytesPerLine = 128
	bytesPerByte = 4
)

// parsedBytes returns the memory that a parsed head takes at most, in bytes.
func parsedBytes(length, lines int64) int64 { return lines*bytesPerLine + length*bytesPerByte }
