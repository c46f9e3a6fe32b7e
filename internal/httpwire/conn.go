// Package httpwire is an HTTP/1.1 client for targets that reports exactly what was written. Unlike net/http's transport,
// it sends a request once, on a connection that its user chose, and never retries.
package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"carobshunt/internal/httpstrict"

	"github.com/juju/errors"
)

// Conn is a connection to one target that carries one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// head bounds what the reader takes for the head of an answer.
	head   *headLimit
	target string
	// idleSince is when the last answer ended; the connection is not reused after idleTimeout from then.
	idleSince   time.Time
	idleTimeout time.Duration
	// carried holds the attempts that were sent on the connection.
	carried attemptRecord
	// reused is set once an earlier request was answered on the connection.
	reused bool
	// lastWrite is the writing of the last request; nil before the first one.
	lastWrite atomic.Pointer[requestWrite]
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4096

func newConn(inner net.Conn, target string) *Conn {
	c := &Conn{Conn: inner, target: target}
	c.head = &headLimit{inner: &inputReader{conn: inner, endWrites: c.endWrites}}
	c.reader = bufio.NewReaderSize(c.head, readBufferBytes)
	return c
}

// headLimit reads from a connection, and while a head is read no more than httpstrict.MaxHeadBytes.
type headLimit struct {
	inner  io.Reader
	active bool
	left   int
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.inner.Read(p)
	}
	if l.left == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.inner.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Receive reads the status line and headers of the answer to a request with the given method, and skips informational
// answers (1xx). The body is read from the returned response.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.head.active, c.head.left = true, httpstrict.MaxHeadBytes
	defer func() { c.head.active = false }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.head.left == 0 {
			return nil, ErrHeadTooLarge
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if err := httpstrict.Check(resp); err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Reused reports whether an earlier request was answered on the connection.
func (c *Conn) Reused() bool { return c.reused }

// CloseOnDone closes the connection when the context ends. Calling stop prevents that; it returns false if it is too
// late.
func (c *Conn) CloseOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

// HasMore reports whether bytes have arrived that belong to no answer read so far, without waiting for any.
func (c *Conn) HasMore() bool {
	n, _ := c.peek()
	return c.hasUnread() || n > 0
}

// hasUnread reports whether bytes are buffered that belong to no answer.
func (c *Conn) hasUnread() bool { return c.reader.Buffered() > 0 }

// DrainBody reads and discards an answer's body. It reports whether the body ended before the limit, in bytes. It reads nothing of a
// body that is declared to be longer.
func DrainBody(resp *http.Response, limit int64) bool {
	if resp.Body != http.NoBody && resp.ContentLength > limit {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit))
	return err == nil && n < limit
}
