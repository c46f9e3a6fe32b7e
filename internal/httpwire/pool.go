package httpwire

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Dial connects to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps the connections to targets that carry no request. It is safe for concurrent use.
type Pool struct {
	dial Dial
	mu   sync.Mutex
	idle map[string][]*Conn
}

const (
	// maxIdle is how many unused connections to one target are kept.
	maxIdle = 24
	// idleFor is how long an unused connection is kept where the target names no time.
	idleFor = 4 * time.Second
	// closingMargin is how long before the target closes an unused connection it is no longer used.
	closingMargin = 700 * time.Millisecond
)

// NewPool returns a pool without connections.
func NewPool(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

// Get returns a kept connection to the target, or a new one.
func (p *Pool) Get(ctx context.Context, target string) (*Conn, error) {
	for {
		c := p.take(target)
		if c == nil {
			return p.Dial(ctx, target)
		}
		if c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
}

// Dial returns a new connection to the target.
func (p *Pool) Dial(ctx context.Context, target string) (*Conn, error) {
	inner, err := p.dial(ctx, "tcp", target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newConn(inner, target), nil
}

// take returns the connection that was used last.
func (p *Pool) take(target string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[target] = idle[:len(idle)-1]
	return c
}

// Put keeps a connection whose last answer has ended. The target keeps it for a time, 0 where it names none.
func (p *Pool) Put(c *Conn, keepFor time.Duration) {
	if c.pending() || c.Sending() {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	c.keepFor = idleFor
	if keepFor > 0 {
		c.keepFor = keepFor - closingMargin
	}
	p.mu.Lock()
	idle := p.idle[c.target]
	var old *Conn
	if len(idle) >= maxIdle {
		old, idle = idle[0], idle[1:]
	}
	p.idle[c.target] = append(idle, c)
	p.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// Sweep closes the connections that are unused for too long.
func (p *Pool) Sweep() {
	for _, c := range p.takeStale() {
		_ = c.Close()
	}
}

func (p *Pool) takeStale() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
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

func (c *Conn) stale() bool { return time.Since(c.idleSince) >= c.keepFor }

// usable tells whether a kept connection may carry a request: the target has neither closed it nor sent anything.
func (c *Conn) usable() bool { return !c.stale() && c.quiet() }

// quiet looks at the socket without waiting: anything that can be read, also its end, makes it unusable.
func (c *Conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
