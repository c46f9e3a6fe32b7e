package process

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pipe passes TCP connections on to a backend. It tells sources apart by IP address, and can cut or delay each.
type pipe struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	cut   map[string]bool
	delay time.Duration
	conns map[net.Conn]string
}

// newPipe listens on an address and passes connections on to the backend.
func newPipe(t *testing.T, listen, backend string) *pipe {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	p := &pipe{listener: l, backend: backend, cut: make(map[string]bool), conns: make(map[net.Conn]string)}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.closeAll(func(string) bool { return true })
	})
	return p
}

func sourceOf(conn net.Conn) string {
	return conn.RemoteAddr().(*net.TCPAddr).IP.String()
}

// Cut ends the connections from a source IP address and takes no new ones; "" means every source.
func (p *pipe) Cut(source string) {
	p.mu.Lock()
	p.cut[source] = true
	p.mu.Unlock()
	p.closeAll(func(s string) bool { return source == "" || s == source })
}

// Mend undoes Cut.
func (p *pipe) Mend(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cut, source)
}

// Delay holds up every byte by a time.
func (p *pipe) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *pipe) closeAll(which func(source string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, source := range p.conns {
		if which(source) {
			_ = conn.Close()
		}
	}
}

func (p *pipe) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *pipe) register(conn net.Conn, source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut[source] || p.cut[""] {
		return false
	}
	p.conns[conn] = source
	return true
}

func (p *pipe) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func (p *pipe) serve(in net.Conn) {
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
	ended := make(chan struct{}, 2)
	go p.copy(out, in, ended)
	go p.copy(in, out, ended)
	<-ended
}

func (p *pipe) copy(to, from net.Conn, ended chan<- struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			break
		}
	}
	ended <- struct{}{}
}
