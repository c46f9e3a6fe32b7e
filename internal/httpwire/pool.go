package httpwire

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Dial is a function that connects to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	dial Dial
	mu   sync.Mutex
	idle map[string][]*Conn
	// unnamed holds the targets to which no connection is kept, and until when.
	unnamed map[string]time.Time
}

const (
	// maxIdlePerTarget is how many idle connections to one target are kept.
	maxIdlePerTarget = 24
	// defaultIdleTimeout is how long an idle connection is kept if the target states no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// closingMargin is how long before the target closes an idle connection it is no longer reused.
	closingMargin = 700 * time.Millisecond
)

// NewPool returns an empty pool that connects by dial.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*Conn), unnamed: make(map[string]time.Time)}
}

// Get returns a connection to the target for one request of an attempt: an idle one that has not carried the attempt, or a
// new one. If the attempt has no identifier, and is empty, the connection is new.
func (p *Pool) Get(ctx context.Context, target, attempt string) (*Conn, error) {
	for {
		c := p.take(target, attempt)
		if c == nil {
			return p.dialNew(ctx, target, attempt)
		}
		if c.usable() {
			c.carried.add(attempt)
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) dialNew(ctx context.Context, target, attempt string) (*Conn, error) {
	inner, err := p.dial(ctx, "tcp", target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := newConn(inner, target)
	c.carried.add(attempt)
	return c, nil
}

// take removes and returns the most recently used idle connection that has not carried the attempt, or nil.
func (p *Pool) take(target, attempt string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	for i, c := range slices.Backward(idle) {
		if !c.carried.has(attempt) {
			p.idle[target] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool after its last answer has ended. It closes the connection if unread bytes are left,
// its request was not written completely, it has carried maxCarried requests or the target does not always name the attempt
// that it answers. keepAlive is how long the target keeps an idle connection open, or 0 if the target does not say.
func (p *Pool) Put(c *Conn, keepAlive time.Duration) {
	if c.hasUnread() || c.Sending() || c.carried.full() {
		_ = c.Close()
		return
	}
	c.reused = true
	c.idleSince = time.Now()
	c.idleTimeout = defaultIdleTimeout
	if keepAlive > 0 {
		c.idleTimeout = keepAlive - closingMargin
	}
	if surplus := p.keep(c); surplus != nil {
		_ = surplus.Close()
	}
}

// keep adds a connection to the idle ones. It returns the one that is not kept, or nil.
func (p *Pool) keep(c *Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.unnamed[c.target]) {
		return c
	}
	idle := p.idle[c.target]
	var surplus *Conn
	if len(idle) >= maxIdlePerTarget {
		surplus, idle = idle[0], idle[1:]
	}
	p.idle[c.target] = append(idle, c)
	return surplus
}

// CloseIdle closes the connections that have been idle for too long.
func (p *Pool) CloseIdle() {
	for _, c := range p.takeStale() {
		_ = c.Close()
	}
}

// takeStale removes and returns the connections that have been idle for too long.
func (p *Pool) takeStale() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetPauses()
	var stale []*Conn
	for target, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if c.stale() {
				stale = append(stale, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
	return stale
}

func (c *Conn) stale() bool { return time.Since(c.idleSince) >= c.idleTimeout }

// usable reports whether an idle connection may carry a request: it has not been idle for too long, and the target has
// neither closed it nor sent anything.
func (c *Conn) usable() bool { return !c.stale() && c.quiet() }

// quiet reports whether nothing can be read from the socket. It does not block. Stray bytes and the end of the stream
// both make the connection unusable.
func (c *Conn) quiet() bool {
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// peek returns the number of bytes that can be read from the socket, at most one, and the error of trying, which is EAGAIN
// if the connection is open and nothing has arrived. It does not block.
func (c *Conn) peek() (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peeked
}
