package httpwire_test

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"carobshunt/internal/httpwire"

	"gotest.tools/v3/assert"
)

const (
	// partialAnswer is the begin of an answer that ends with its connection.
	partialAnswer = "HTTP/1.1 200 OK\r\n\r\nhalf of i"
	// partialBody is what has arrived of its body.
	partialBody = "half of i"
	// requestHead is the head of a request with a body of uploadBytes.
	requestHead = "POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n"
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
)

// resetConn resets a connection.
func resetConn(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, conn.Close())
}

// startUpload writes a long request in the background and returns the result of the write.
func startUpload(c *httpwire.Conn) chan error {
	sent := make(chan error, 1)
	go func() {
		_, err := c.Send([]byte(requestHead), make([]byte, uploadBytes))
		sent <- err
	}()
	return sent
}

// receivePart receives the head of partialAnswer and reads partialBody, while the request is still being written. It returns the rest of
// the body.
func receivePart(t *testing.T, c *httpwire.Conn, target net.Conn) io.Reader {
	t.Helper()
	_, err := io.WriteString(target, partialAnswer)
	assert.NilError(t, err)
	resp, err := c.Receive("POST")
	assert.NilError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(partialBody)))
	assert.NilError(t, err)
	return resp.Body
}

// TestResetThatTheWriteTakesIsNoEndOfAnAnswer guards against a part of an answer that is read as a whole one: the kernel reports a reset to
// one call only, here to the write of the request.
func TestResetThatTheWriteTakesIsNoEndOfAnAnswer(t *testing.T) {
	p, address, accepted := newPoolAndTarget(t)
	c := get(t, p, address)
	target := <-accepted
	sent := startUpload(c)
	rest := receivePart(t, c, target)
	resetConn(t, target)
	assert.ErrorIs(t, <-sent, syscall.ECONNRESET)
	for range 2 {
		_, err := io.ReadAll(rest)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// TestResetBeforeAShortRequestIsNoEndOfAnAnswer is the same for a request that is written before its answer is read, to a target that
// answers without having read it.
func TestResetBeforeAShortRequestIsNoEndOfAnAnswer(t *testing.T) {
	p, address, accepted := newPoolAndTarget(t)
	c := get(t, p, address)
	target := <-accepted
	_, err := io.WriteString(target, partialAnswer)
	assert.NilError(t, err)
	resetConn(t, target)
	_, err = c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	resp, err := c.Receive("GET")
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestEndInOrderIsTheEndOfAnAnswer guards against a whole answer that is lost, or held up, because its target gives it before it has read
// the request, and then reads no more or rejects what follows.
func TestEndInOrderIsTheEndOfAnAnswer(t *testing.T) {
	for name, after := range map[string]func(net.Conn){
		"reads no more":    func(net.Conn) {},
		"rejects the rest": func(conn net.Conn) { resetConn(t, conn) },
	} {
		t.Run(name, func(t *testing.T) {
			p, address, accepted := newPoolAndTarget(t)
			c := get(t, p, address)
			target := <-accepted
			sent := startUpload(c)
			rest := receivePart(t, c, target)
			assert.NilError(t, target.(*net.TCPConn).CloseWrite())
			after(target)
			more, err := io.ReadAll(rest)
			assert.NilError(t, err)
			assert.Equal(t, len(more), 0)
			assert.Assert(t, <-sent != nil)
			p.Put(c, 0)
			assert.Assert(t, get(t, p, address) != c, "a request was not written completely on the connection")
		})
	}
}

// failingConn is a connection that fails: a write gets the error, and reads get an answer and then an ordinary end.
type failingConn struct {
	net.Conn
	answer io.Reader
	err    error
	// failed is closed once a write has got the error.
	failed chan struct{}
}

func (c *failingConn) Write([]byte) (int, error) {
	close(c.failed)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.err)}
}

func (c *failingConn) Read(p []byte) (int, error) {
	<-c.failed
	return c.answer.Read(p)
}

func (c *failingConn) SetWriteDeadline(time.Time) error { return nil }

// TestEachFailureOfAConnectionReachesItsReads guards against other failures that the kernel reports to the write alone, such as that of
// a target that is cut off and takes no more bytes. A broken pipe alone follows an end in order.
func TestEachFailureOfAConnectionReachesItsReads(t *testing.T) {
	for err, inOrder := range map[syscall.Errno]bool{
		syscall.ECONNRESET: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.EPIPE: true,
	} {
		t.Run(err.Error(), func(t *testing.T) {
			p := httpwire.NewPool(func(context.Context, string, string) (net.Conn, error) {
				return &failingConn{answer: strings.NewReader(partialAnswer), err: err, failed: make(chan struct{})}, nil
			})
			c := get(t, p, "10.0.0.1:80")
			go func() { _, _ = c.Send([]byte(requestHead), nil) }()
			resp, receiveErr := c.Receive("POST")
			assert.NilError(t, receiveErr)
			_, readErr := io.ReadAll(resp.Body)
			if inOrder {
				assert.NilError(t, readErr)
				return
			}
			assert.ErrorIs(t, readErr, err)
		})
	}
}
