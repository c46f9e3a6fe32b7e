package headlimit

import (
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"carobshunt/internal/membudget"
	"carobshunt/internal/netdial"
)

// Conn is a connection of a client. While its server waits for a head, Read returns nothing until the head is whole, and then its bytes
// alone. While a request is served, Read returns what comes.
//
// net/http calls the methods in turn, but for the read of one byte by which it notices the end of a connection that it serves.
type Conn struct {
	net.Conn
	memory *membudget.Budget
	limits func() Limits
	// serving is set from the end of a head to the end of its request.
	serving atomic.Bool
	// used is set once the connection has carried a request.
	used bool
	// deadline is the read deadline that the server has set while it waited for a head.
	deadline time.Time

	// account is that of the current head, and charged what was taken for it; nil before its first byte.
	account atomic.Pointer[membudget.Account]
	charged int64
	scanner scanner
	// head holds what was read of the head and not passed on yet. It is passed on once it is whole.
	head  []byte
	whole bool
	// rest holds what was read together with the end of a head.
	rest []byte
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.serving.Load() || len(p) == 1 {
		return c.readServed(p)
	}
	for !c.whole {
		n, err := c.readHead(p)
		if n > 0 || err != nil {
			return n, err
		}
	}
	return c.passOn(p), nil
}

// passOn passes on a part of a whole head.
func (c *Conn) passOn(p []byte) int {
	n := copy(p, c.head)
	c.head = c.head[n:]
	if len(c.head) == 0 {
		c.head, c.whole = nil, false
	}
	return n
}

// readServed reads what follows a head.
func (c *Conn) readServed(p []byte) (int, error) {
	if c.whole {
		return c.passOn(p), nil
	}
	var n int
	var err error
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
		c.rest = c.rest[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	c.scanner.skip(p[:n])
	return n, err
}

// readHead reads more of a head. It returns the length of a head that it has read whole into p, as most come, and otherwise 0.
func (c *Conn) readHead(p []byte) (int, error) {
	limits := c.limits()
	part := c.rest
	c.rest = nil
	inPlace := len(part) == 0
	if inPlace {
		n, err := c.receive(p, limits)
		if n == 0 {
			return 0, err
		}
		part = p[:n]
	}
	first := c.account.Load() == nil
	if first {
		c.open()
	}
	taken, ended := c.scanner.scan(part)
	if c.scanner.first > limits.Bytes || c.scanner.rest > limits.Bytes {
		return 0, c.refuse(tooLarge)
	}
	if !ended {
		return 0, c.keep(part, first, limits)
	}
	if c.charge(parsedBytes(c.scanner.bytes(), c.scanner.lines), (*membudget.Account).TakeLast) != nil {
		return 0, c.refuse(noRoom)
	}
	c.rest = slices.Clone(part[taken:])
	if inPlace && len(c.head) == 0 {
		return taken, nil
	}
	c.head = append(c.head, part[:taken]...)
	c.whole = true
	return 0, nil
}

// receive waits for more of a head, for the first byte within the limits. At the end, it frees what was read.
func (c *Conn) receive(p []byte, limits Limits) (int, error) {
	if c.account.Load() == nil {
		timeout := limits.Timeout
		if c.used {
			timeout = limits.Idle
		}
		if err := c.Conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return n, nil // an error is returned again
	}
	c.free()
	return 0, err
}

// keep keeps a part of a head that is not whole. The time for the head begins with its first byte.
func (c *Conn) keep(part []byte, first bool, limits Limits) error {
	if err := c.charge(c.charged+2*int64(len(part)), (*membudget.Account).Take); err != nil { // a slice grows to twice its length
		c.free()
		return err
	}
	c.head = append(c.head, part...)
	if !first {
		return nil
	}
	return c.Conn.SetReadDeadline(time.Now().Add(limits.Timeout))
}

// charge takes memory for the head up to an amount, by one of the account's methods.
func (c *Conn) charge(amount int64, take func(*membudget.Account, int64) error) error {
	more := max(amount-c.charged, 0)
	if err := take(c.account.Load(), more); err != nil {
		return err
	}
	c.charged += more
	return nil
}

// free drops the current head and gives its memory back.
func (c *Conn) free() {
	c.head, c.whole = nil, false
	if account := c.account.Swap(nil); account != nil {
		account.Close()
	}
	c.charged = 0
}

// HeadRead implements httpconn.Observer. From now on, the deadline of the server holds.
func (c *Conn) HeadRead() {
	c.used = true
	_ = c.Conn.SetReadDeadline(c.deadline) // it fails only for a connection that is closed
	c.serving.Store(true)
}

// RequestBegan implements httpconn.Observer. A head that came together with the end of a body finds room only now.
func (c *Conn) RequestBegan() error {
	if c.serving.Load() {
		return nil
	}
	c.open()
	if err := c.charge(parsedBytes(maxReadAhead, maxReadAhead/minLineBytes), (*membudget.Account).TakeLast); err != nil {
		return err
	}
	c.HeadRead()
	return nil
}

// open opens the account of a head that begins. If the head is given up, its connection is closed unread.
func (c *Conn) open() {
	c.account.Store(c.memory.Open(membudget.UnknownLength, func() { _ = c.Conn.Close() }))
}

const (
	// maxReadAhead is the size of net/http's read buffer in bytes, which may hold a head that was read together with a body.
	maxReadAhead = 4 << 10
	// minLineBytes is the length of the shortest header line that net/http accepts often in one head.
	minLineBytes = 4
)

// RequestEnded implements httpconn.Observer.
func (c *Conn) RequestEnded() {
	c.free()
	c.scanner.reset()
	c.deadline = time.Time{}
	c.serving.Store(false)
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// ShrinkHead implements httpconn.HeadHolder: the parsed form of the head is not used any more.
func (c *Conn) ShrinkHead(n int64) {
	if account := c.account.Load(); account != nil && n < c.charged {
		account.Return(c.charged - n)
		c.charged = n
	}
}

// SetReadDeadline implements net.Conn. While the server waits for a head, the limits of this package hold in place of its deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.serving.Load() {
		return c.Conn.SetReadDeadline(t)
	}
	c.deadline = t
	return nil
}

// NetConn returns the connection that this one guards.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side only; net/http looks for this method before it closes a connection.
func (c *Conn) CloseWrite() error { return netdial.CloseWrite(c.Conn) }

// Close implements net.Conn. The server calls it last on the goroutine that reads.
func (c *Conn) Close() error {
	if account := c.account.Load(); account != nil {
		account.Close()
	}
	return c.Conn.Close()
}

// Answers to heads that are not passed on. Both say that the request has not run.
const (
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + refusalHeaders + "the head is over the limit\n"
	noRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + refusalHeaders + "this host has no room for the head\n"

	refusalHeaders = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
)

const (
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
	// lingerTimeout is how long a connection waits for its client to take a refusal: it is reset if it closes with unread bytes.
	lingerTimeout = 500 * time.Millisecond
)

// refuse answers with a refusal and returns the error that ends the connection in the server, without another answer.
func (c *Conn) refuse(answer string) error {
	c.free()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return io.EOF
	}
	if err := c.CloseWrite(); err != nil {
		return io.EOF
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
	return io.EOF
}
