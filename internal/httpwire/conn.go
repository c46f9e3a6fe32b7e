// Package httpwire is the HTTP/1.1 client side of connections to targets, with an exact account of what was written:
// a request is sent once on a connection of the caller's choice and never again by itself.
package httpwire

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Conn is a connection to one target that carries one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	target string
	// idleSince is when the last answer ended, keepFor how long the target keeps the connection after that.
	idleSince time.Time
	keepFor   time.Duration
	// sending is set while a request is being written.
	sending atomic.Bool
}

// readBuffer is the size of a connection's buffer, in bytes.
const readBuffer = 4096

func newConn(inner net.Conn, target string) *Conn {
	return &Conn{Conn: inner, reader: bufio.NewReaderSize(inner, readBuffer), target: target}
}

// Send writes a request. It returns how many bytes the connection took: with none, the target never had any.
func (c *Conn) Send(head, body []byte) (int64, error) {
	c.sending.Store(true)
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	n, err := buffers.WriteTo(c.Conn)
	if err == nil {
		c.sending.Store(false)
	}
	return n, errors.Trace(err)
}

// Sending tells whether a part of the request is still to be written.
func (c *Conn) Sending() bool { return c.sending.Load() }

// Receive reads the head of an answer to a request of that method; the body is read from the answer.
func (c *Conn) Receive(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// CloseOn closes the connection when the context ends, until the returned function is called.
func (c *Conn) CloseOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

// pending tells whether bytes have arrived that no answer has taken.
func (c *Conn) pending() bool { return c.reader.Buffered() > 0 }

// Drain reads an answer's body to its end, up to a limit in bytes, and reports whether it ended.
func Drain(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	return err == nil && n < limit
}
