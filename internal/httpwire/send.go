package httpwire

import (
	"cmp"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// requestWrite is the writing of one request to a connection.
type requestWrite struct {
	// done is closed when the writing has ended; err is valid from then on.
	done chan struct{}
	err  error
}

// Send writes a request. It returns the number of bytes that the connection accepted; if it is 0, the target received
// nothing. It may run while the answer is read, and is interrupted if the reader finds the end of the connection.
func (c *Conn) Send(head, body []byte) (int64, error) {
	write := &requestWrite{done: make(chan struct{})}
	defer close(write.done)
	c.lastWrite.Store(write)
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	n, err := buffers.WriteTo(c.Conn)
	write.err = err
	return n, errors.Trace(err)
}

// Sending reports whether the last request is still being written, or could not be written completely.
func (c *Conn) Sending() bool {
	write := c.lastWrite.Load()
	if write == nil {
		return false
	}
	select {
	case <-write.done:
		return write.err != nil
	default:
		return true
	}
}

// endWrites interrupts the write of the last request, and any later one. It returns the error of the connection that the write met; nil
// if it met none.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // if that fails, the connection was closed, which ends writes too
	write := c.lastWrite.Load()
	if write == nil {
		return nil
	}
	<-write.done
	if write.err == nil || errors.Is(write.err, os.ErrDeadlineExceeded) || errors.Is(write.err, syscall.EPIPE) {
		return nil
	}
	return write.err
}

// inputReader reads from a connection. It returns io.EOF only if the target has ended the connection in order. The kernel reports the
// failure of a connection, such as a reset, to one system call only, and then reads find an ordinary end: if the write of the request was
// told, the reads get its error. A write that fails with EPIPE was told of no failure: the target had ended the connection in order
// before, or a read was told.
type inputReader struct {
	conn net.Conn
	// endWrites is called at the end of the input. It returns the error that a write has met.
	endWrites func() error
	// err is the error with which the input has ended; nil until then.
	err error
}

// Read implements io.Reader. All calls after the end of the input return the same error.
func (r *inputReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.conn.Read(p)
	switch {
	case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		return n, err
	case errors.Is(err, io.EOF):
		r.err = cmp.Or(r.endWrites(), err)
	default:
		r.err = err
	}
	return n, r.err
}
