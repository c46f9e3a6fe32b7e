// Package testpipe is a TCP proxy for tests that injects network faults: delays, partitions, resets and stalled responses.
package testpipe

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Proxy is a TCP proxy in front of one backend. Cut and Restore act on single source IP addresses, all other faults on every
// connection. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	backend  string

	mu sync.Mutex
	// cut is the set of blocked source addresses; "" blocks all.
	cut   map[string]bool
	delay time.Duration
	// released is closed when the backend's responses may pass again; nil while they are not held back.
	released chan struct{}
	// conns maps each open connection from a caller to its source address.
	conns map[net.Conn]string
}

// New starts a proxy from the listen address to the backend. It stops at the end of the test.
func New(t *testing.T, listen, backend string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	p := &Proxy{listener: l, backend: backend, cut: make(map[string]bool), conns: make(map[net.Conn]string)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.ReleaseResponses()
		p.closeMatching(func(string) bool { return true })
	})
	return p
}

func sourceOf(conn net.Conn) string {
	return conn.RemoteAddr().(*net.TCPAddr).IP.String()
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Cut closes the connections from a source IP address, and until Restore also new ones; "" means all sources.
func (p *Proxy) Cut(source string) {
	p.mu.Lock()
	p.cut[source] = true
	p.mu.Unlock()
	p.closeMatching(func(s string) bool { return source == "" || s == source })
}

// Restore reverts a Cut of the same source.
func (p *Proxy) Restore(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cut, source)
}

// Delay sets the time by which data is delayed in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// HoldResponses holds back what the backend sends: callers see an open connection without data.
func (p *Proxy) HoldResponses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released == nil {
		p.released = make(chan struct{})
	}
}

// ReleaseResponses reverts HoldResponses; the data held back is delivered then.
func (p *Proxy) ReleaseResponses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released != nil {
		close(p.released)
		p.released = nil
	}
}

// Reset closes all connections from callers with a TCP reset. Those to the backend are then closed without one.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// pause blocks for the delay and, for data from the backend, until ReleaseResponses if the responses are held back.
func (p *Proxy) pause(fromBackend bool) {
	p.mu.Lock()
	delay, released := p.delay, p.released
	p.mu.Unlock()
	time.Sleep(delay)
	if fromBackend && released != nil {
		<-released
	}
}

func (p *Proxy) closeMatching(match func(source string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, source := range p.conns {
		if match(source) {
			_ = conn.Close()
		}
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// register records a caller's connection; it reports false if its source is cut off.
func (p *Proxy) register(conn net.Conn, source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut[source] || p.cut[""] {
		return false
	}
	p.conns[conn] = source
	return true
}

func (p *Proxy) unregister(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func (p *Proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	source := sourceOf(in)
	if !p.register(in, source) {
		return
	}
	defer p.unregister(in)
	out, err := net.Dial("tcp", p.backend)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	ended := make(chan bool, 2)
	go p.forward(out, in, false, ended)
	go p.forward(in, out, true, ended)
	if eof := <-ended; eof {
		<-ended // a half-close: the other direction may still carry data
	}
}

// forward copies one direction until it ends. It then sends to ended: true for an orderly end (EOF), false for an error.
func (p *Proxy) forward(to, from net.Conn, fromBackend bool, ended chan<- bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.pause(fromBackend)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
				ended <- true
				return
			}
			break
		}
	}
	ended <- false
}
