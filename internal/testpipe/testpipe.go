// Package testpipe passes TCP connections of tests on to a backend, and does to them what networks do: delays, cuts,
// resets and silence.
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

// Pipe passes TCP connections on to a backend. It tells sources apart by IP address, and can cut or delay each.
type Pipe struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	cut   map[string]bool
	delay time.Duration
	// silent holds back what the backend answers until it is closed; nil while nothing is held back.
	silent chan struct{}
	conns  map[net.Conn]string
}

// New listens on an address and passes connections on to the backend.
func New(t *testing.T, listen, backend string) *Pipe {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	p := &Pipe{listener: l, backend: backend, cut: make(map[string]bool), conns: make(map[net.Conn]string)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.Speak()
		p.closeAll(func(string) bool { return true })
	})
	return p
}

func sourceOf(conn net.Conn) string {
	return conn.RemoteAddr().(*net.TCPAddr).IP.String()
}

// Address is where the pipe listens.
func (p *Pipe) Address() string { return p.listener.Addr().String() }

// Cut ends the connections from a source IP address and takes no new ones; "" means every source.
func (p *Pipe) Cut(source string) {
	p.mu.Lock()
	p.cut[source] = true
	p.mu.Unlock()
	p.closeAll(func(s string) bool { return source == "" || s == source })
}

// Mend undoes Cut.
func (p *Pipe) Mend(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cut, source)
}

// Delay holds up every byte by a time.
func (p *Pipe) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Silence holds back what the backend sends: callers see an open connection on which nothing comes.
func (p *Pipe) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = make(chan struct{})
	}
}

// Speak undoes Silence; what was held back arrives late.
func (p *Pipe) Speak() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent != nil {
		close(p.silent)
		p.silent = nil
	}
}

// Reset ends all connections with a reset.
func (p *Pipe) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// hold waits out delay and silence of bytes that come from the backend, or only the delay of others.
func (p *Pipe) hold(fromBackend bool) {
	p.mu.Lock()
	delay, silent := p.delay, p.silent
	p.mu.Unlock()
	time.Sleep(delay)
	if fromBackend && silent != nil {
		<-silent
	}
}

func (p *Pipe) closeAll(which func(source string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, source := range p.conns {
		if which(source) {
			_ = conn.Close()
		}
	}
}

func (p *Pipe) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Pipe) register(conn net.Conn, source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut[source] || p.cut[""] {
		return false
	}
	p.conns[conn] = source
	return true
}

func (p *Pipe) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func (p *Pipe) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	source := sourceOf(in)
	if !p.register(in, source) {
		return
	}
	defer p.forget(in)
	out, err := net.Dial("tcp", p.backend)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	ended := make(chan bool, 2)
	go p.copy(out, in, false, ended)
	go p.copy(in, out, true, ended)
	if whole := <-ended; whole {
		<-ended // the other direction goes on
	}
}

// copy passes one direction on; it reports whether that came to its end rather than broke.
func (p *Pipe) copy(to, from net.Conn, fromBackend bool, ended chan<- bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.hold(fromBackend)
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
