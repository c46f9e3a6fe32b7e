package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// target is a stand-in of a server. What it does with a request is decided by serve; it checks first what every server of
// PROTOCOL.md checks.
type target struct {
	id, service, zone string
	engine            bool
	slots             int
	born              int64
	listener          net.Listener
	store             *store
	rec               *record
	serve             func(conn net.Conn, r *http.Request, body []byte) bool

	mu     sync.Mutex
	state  string
	seq    int
	closed bool
	conns  map[net.Conn]bool
}

var lastID atomic.Int64

func newTarget(st *store, rec *record, service, zone string, engine bool, slots int) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return newTargetAt(listener, st, rec, service, zone, engine, slots), nil
}

// newTargetAt starts a server on a listener.
func newTargetAt(listener net.Listener, st *store, rec *record, service, zone string, engine bool, slots int) *target {
	t := &target{
		id: fmt.Sprintf("i-%06x", 0xa1000+lastID.Add(1)), service: service, zone: zone, engine: engine, slots: slots,
		born: time.Now().UnixMilli(), listener: listener, store: st, rec: rec, state: "ready", conns: make(map[net.Conn]bool),
	}
	t.serve = func(conn net.Conn, r *http.Request, _ []byte) bool {
		return t.answer(conn, r, 200, "whole answer of "+t.id)
	}
	go t.accept()
	go t.beat()
	return t
}

func (t *target) address() string { return t.listener.Addr().String() }

func (t *target) entry() {
	t.mu.Lock()
	t.seq++
	value := map[string]any{
		"service": t.service, "address": t.address(), "zone": t.zone, "version": "v1", "slots": t.slots, "state": t.state,
		"cold_left_ms": 0, "seq": t.seq, "born": t.born,
	}
	closed := t.closed
	t.mu.Unlock()
	if !closed {
		t.store.put("servers/"+t.id, value)
	}
}

func (t *target) beat() {
	for {
		t.mu.Lock()
		closed := t.closed
		t.mu.Unlock()
		if closed {
			return
		}
		t.entry()
		time.Sleep(heartbeat)
	}
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.channel(conn)
	}
}

func (t *target) channel(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !t.request(conn, r, body) {
			return
		}
	}
}

// request serves one request and reports whether the channel stays open.
func (t *target) request(conn net.Conn, r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/healthz":
		return t.write(conn, "200 OK", map[string]string{"Instance-Id": t.id, "Server-Load": "0,0," + strconv.Itoa(t.slots)}, "")
	case r.URL.Path == "/-/order" && !t.engine:
		return t.write(conn, "400 Bad Request", nil, "")
	case r.URL.Path == "/-/order":
		return t.serve(conn, r, body)
	case r.Header.Get("Attempt-Id") == "":
		return t.write(conn, "400 Bad Request", map[string]string{"Not-Executed": "1"}, "")
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != t.id:
		return t.write(conn, "421 Misdirected Request", map[string]string{"Instance-Id": t.id}, "")
	}
	return t.serve(conn, r, body)
}

// ran records that the server runs a request.
func (t *target) ran(r *http.Request) {
	t.rec.ran(t.id, r)
}

// answer runs a request and answers it whole.
func (t *target) answer(conn net.Conn, r *http.Request, status int, body string) bool {
	t.ran(r)
	time.Sleep(20 * time.Millisecond)
	return t.write(conn, strconv.Itoa(status)+" "+http.StatusText(status), map[string]string{
		"Attempt-Id": r.Header.Get("Attempt-Id"), "Response-Seal": t.id + "." + r.Header.Get("Attempt-Id"),
		"Server-Load": "1,0," + strconv.Itoa(t.slots),
	}, body)
}

func (t *target) write(conn net.Conn, status string, headers map[string]string, body string) bool {
	_, err := conn.Write([]byte(head(status, headers, len(body)) + body))
	return err == nil
}

// head returns the head of an answer with a length, without one if it is negative.
func head(status string, headers map[string]string, length int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	for name, value := range headers {
		b.WriteString(name + ": " + value + "\r\n")
	}
	if length >= 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	return b.String() + "\r\n"
}
