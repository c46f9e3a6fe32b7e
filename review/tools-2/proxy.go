package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is the link between the entry hosts and one server. While it is cut, nothing passes in either direction, and new channels are
// not established; what was sent before is held and passes once the cut has healed, ends of channels too.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, healed: make(chan struct{})}
	close(p.healed)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// cut begins a cut, heal ends it.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

// pass waits while the link is cut.
func (p *proxy) pass() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn)
	}
}

func (p *proxy) join(near net.Conn) {
	p.pass()
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0) // a port without a listener resets the channel
		_ = near.Close()
		return
	}
	go p.copy(far, near)
	p.copy(near, far)
}

// copy passes bytes on, and the end of the channel as it came.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
