package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Figures of reusedAddress.
const (
	reuseEngines = 7
	reuseSlots   = 16
	// orderTime is how long an engine takes for an order, reuseAfter is reuse_after_s, shortStreams is the number of short
	// prompts that come at once.
	orderTime    = 10 * time.Millisecond
	reuseAfter   = 2 * time.Second
	shortStreams = 56
)

// newQuietEngine returns an engine that takes reservations and answers with a stream. The large prompt stops there until it
// is cut off: it is not what the case looks at.
func newQuietEngine(s *scene, zone string, ordered chan<- struct{}) (*target, error) {
	t, err := newTarget(s.store, s.rec, "llm", zone, true, reuseSlots)
	if err != nil {
		return nil, err
	}
	m := &memory{total: engineTokens, tickets: make(map[string]ticket)}
	t.serve = func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/-/order" {
			select {
			case ordered <- struct{}{}:
			default:
			}
			time.Sleep(orderTime)
			return m.order(t, conn, body)
		}
		if r.Header.Get("Attempt-Id") == largeAttempt {
			return t.stream(conn, r, streamOptions{events: 6, interval: 50 * time.Millisecond})
		}
		return t.stream(conn, r, streamOptions{events: 32, interval: 120 * time.Millisecond})
	}
	return t, nil
}

// crash ends a server for good: it closes its listener and its channels, and sends nothing more.
func (t *target) crash() {
	t.mu.Lock()
	t.closed = true
	conns := t.conns
	t.conns = make(map[net.Conn]bool)
	t.mu.Unlock()
	_ = t.listener.Close()
	for conn := range conns {
		reset(conn)
	}
	t.rec.note("crash     %s at %s, for good", t.id, t.address())
}

// reusedAddress sends one prompt that needs the memory of several engines. While it waits with its memory set aside, one of
// the engines crashes for good, and its address goes to a server of another service.
func reusedAddress(s *scene) (bool, error) {
	ordered := make(chan struct{}, 1)
	var engines []*target
	for i := range reuseEngines {
		e, err := newQuietEngine(s, []string{"zone-a", "zone-b"}[i%2], ordered)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if _, err := newTarget(s.store, s.rec, "affil", "zone-a", false, 6); err != nil {
		return false, err
	}
	config := engineConfig()
	config.Services[1].Engine.Slots = reuseSlots
	config.Routes[3].GoalMs = 4000
	s.store.put("op/config", config)
	var err error
	if s.fleet, err = newFleet(s.root, s.dir, s.store, "zone-a", "zone-b"); err != nil {
		return false, err
	}
	if err := s.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	done := make(chan result, 1)
	go func() {
		c := &requester{address: s.fleet.hosts[0].callers, rec: s.rec}
		done <- c.do(prompt(largeAttempt, "/once/", 300_000, 15*time.Second))
	}()
	select {
	case <-ordered:
	case <-time.After(3 * time.Second):
		return false, errors.New("no memory was set aside")
	}
	var open atomic.Int64
	for i := range shortStreams {
		go func() {
			open.Add(1)
			c := &requester{address: s.fleet.hosts[i%2].callers, rec: s.rec}
			c.do(prompt(fmt.Sprintf("short-%d", i), "/ask/", 5000, 10*time.Second))
			c.close()
			open.Add(-1)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	first := engines[0]
	if s.trouble {
		first.crash()
		time.Sleep(reuseAfter + 50*time.Millisecond)
		if err := s.reuse(first); err != nil {
			return false, err
		}
	}
	out := <-done
	time.Sleep(time.Second)
	broken := false
	for _, one := range s.rec.runsOf(largeAttempt) {
		if s.serviceOf(one.server) != "llm" {
			s.rec.note("rule broken: %s ran at %s of service %s", largeAttempt, one.server, s.serviceOf(one.server))
			broken = true
		}
	}
	s.rec.note("%s ended with status %d", largeAttempt, out.status)
	return broken, nil
}

// reuse starts a server of another service at the address of one that has crashed.
func (s *scene) reuse(gone *target) error {
	listener, err := net.Listen("tcp", gone.address())
	if err != nil {
		return err
	}
	t := newTargetAt(listener, s.store, s.rec, "affil", gone.zone, false, 6)
	s.rec.note("start     %s of service affil at %s", t.id, t.address())
	s.other = t
	return nil
}

// serviceOf returns the service of a server of reusedAddress.
func (s *scene) serviceOf(id string) string {
	if s.other != nil && s.other.id == id {
		return s.other.service
	}
	return "llm"
}
