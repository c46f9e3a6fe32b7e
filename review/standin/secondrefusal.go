package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of secondRefusal.
const (
	engineSlots  = 4
	engineTokens = 232_000
	// largeAttempt is the attempt of the prompt that is larger than an engine's memory.
	largeAttempt = "large-1"
	firstToken   = 100 * time.Millisecond
)

// fullEngine is an engine that is full at first and answers one refusal a second time, late: at the point where the next
// answer on the channel is expected.
type fullEngine struct {
	*target
	memory memory
	// all are the engines of the service.
	all     *[]*fullEngine
	trouble bool
	running atomic.Int64
	answers atomic.Int64
	mu      sync.Mutex
	// owed are the channels on which a second answer is due.
	owed map[net.Conn]string
	// extras counts the second answers, shed the refusals of the large prompt.
	extras, shed int
}

func newFullEngine(s *scene, zone string, all *[]*fullEngine) (*fullEngine, error) {
	t, err := newTarget(s.store, s.rec, "llm", zone, true, engineSlots)
	if err != nil {
		return nil, err
	}
	e := &fullEngine{
		target: t, trouble: s.trouble, all: all, owed: make(map[net.Conn]string),
		memory: memory{total: engineTokens, tickets: make(map[string]ticket)},
	}
	t.serve = e.serve
	return e, nil
}

func (e *fullEngine) serve(conn net.Conn, r *http.Request, body []byte) bool {
	if r.URL.Path == "/-/order" {
		return e.memory.order(e.target, conn, body)
	}
	attempt := r.Header.Get("Attempt-Id")
	e.answers.Add(1)
	if attempt == largeAttempt && e.refuses(conn, attempt) {
		return e.write(conn, "503 Service Unavailable", refusalHeaders(attempt), "")
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	if attempt == largeAttempt {
		return e.runLarge(conn, r)
	}
	return e.stream(conn, r, streamOptions{events: 5, interval: 50 * time.Millisecond})
}

func refusalHeaders(attempt string) map[string]string {
	return map[string]string{"Attempt-Id": attempt, "Not-Executed": "1"}
}

// refuses reports whether the large prompt is refused: a new channel holds a slot, and the others are taken.
func (e *fullEngine) refuses(conn net.Conn, attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shed > 0 || e.running.Load() < engineSlots-1 {
		return false
	}
	e.shed++
	e.rec.note("refused   %s at %s, %d of %d slots taken and one held by the new channel", attempt, e.id, e.running.Load(), engineSlots)
	if e.trouble && e.extras == 0 {
		e.extras++
		e.owed[conn] = attempt
	}
	return true
}

// second returns the second answer that is due on a channel, "" if none is.
func (e *fullEngine) second(conn net.Conn) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	attempt, due := e.owed[conn]
	delete(e.owed, conn)
	if !due {
		return ""
	}
	e.rec.note("extra     second answer to the refusal of %s at %s", attempt, e.id)
	return head("503 Service Unavailable", refusalHeaders(attempt), 0)
}

// runLarge runs the large prompt. It begins to run with its first token, if it still has all its tickets then; without them
// it is rejected before and cut off after that. The second answer that is due on the channel goes before its own.
func (e *fullEngine) runLarge(conn net.Conn, r *http.Request) bool {
	attempt, helpers := r.Header.Get("Attempt-Id"), r.Header.Get("Helpers")
	if !e.holdsTickets(helpers) {
		e.rec.note("refused   %s at %s, a ticket is missing", attempt, e.id)
		return e.write(conn, "503 Service Unavailable", refusalHeaders(attempt), "")
	}
	e.rec.note("accepted  %s at %s", attempt, e.id)
	time.Sleep(firstToken)
	if closed(conn) || !e.holdsTickets(helpers) {
		e.rec.note("dropped   %s at %s before its first token", attempt, e.id)
		return false
	}
	if _, err := conn.Write([]byte(e.second(conn))); err != nil {
		return false
	}
	return e.stream(conn, r, streamOptions{events: 6, interval: 50 * time.Millisecond, goOn: func() bool { return e.holdsTickets(helpers) }})
}

// holdsTickets reports whether the engines of a list have the tickets that it names.
func (e *fullEngine) holdsTickets(helpers string) bool {
	for entry := range strings.SplitSeq(helpers, ",") {
		address, id, named := strings.Cut(entry, "/")
		if !named {
			continue
		}
		for _, other := range *e.all {
			if other.address() == address && !other.memory.has(id) {
				return false
			}
		}
	}
	return true
}

// closed reports whether the other side has closed a channel on which it is not expected to send anything.
func closed(conn net.Conn) bool {
	var one [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := conn.Read(one[:])
	return err != nil && !isTimeout(err)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// secondRefusal sends one prompt that is larger than an engine's memory, on a route whose streams may not be resumed, while
// the engines are full for a moment.
func secondRefusal(s *scene) (bool, error) {
	var engines []*fullEngine
	for _, zone := range []string{"zone-a", "zone-b"} {
		e, err := newFullEngine(s, zone, &engines)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	s.store.put("op/config", engineConfig())
	var err error
	if s.fleet, err = newFleet(s.root, s.dir, s.store, "zone-a", "zone-b"); err != nil {
		return false, err
	}
	if err := s.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	stop := s.shortPrompts(s.fleet.hosts[1], 12)
	time.Sleep(2 * time.Second)
	done := make(chan result, 1)
	go func() {
		c := &requester{address: s.fleet.hosts[0].callers, rec: s.rec}
		done <- c.do(prompt(largeAttempt, "/once/", 300_000, 15*time.Second))
	}()
	time.Sleep(50 * time.Millisecond)
	stop()
	<-done
	time.Sleep(2 * time.Second)
	for _, e := range engines {
		s.rec.note("%s gave %d answers, %d of them twice", e.id, e.answers.Load(), e.extras)
	}
	if engines[0].shed+engines[1].shed == 0 {
		return false, fmt.Errorf("no engine was full when the large prompt came")
	}
	runs := s.rec.runsOf(largeAttempt)
	s.rec.note("%s ran %d times", largeAttempt, len(runs))
	return len(runs) > 1, nil
}

// engineConfig adds a service of engines with two routes of streams, one of which may be resumed.
func engineConfig() configValue {
	config := exampleConfig()
	config.Services = append(config.Services, serviceValue{
		Name: "llm", HealthPath: "/healthz", MaxConns: 264, Protocol: "h1",
		Engine: &engineValue{
			Slots: engineSlots, KVCapacity: engineTokens, Stride: 43, StepMs: 1.02, PerSeqMs: 0.00226, ContextPerK: 0.00431,
			ReadPerS: 206_000, PairsPerM: 0.138, Chunk: 2048,
		},
	})
	config.Routes = append(config.Routes,
		routeValue{
			Name: "r-ask", Host: siteHost, Prefix: "/ask/", Type: "streaming", TimeoutMs: 10_000, GoalMs: 300, Priority: 1,
			Service: "llm", Attempts: 2, Resumable: true, Sticky: true, GapMs: 250,
		},
		routeValue{
			Name: "r-once", Host: siteHost, Prefix: "/once/", Type: "streaming", TimeoutMs: 15_000, GoalMs: 2500, Priority: 1,
			Service: "llm", Attempts: 2, Sticky: true, GapMs: 1000,
		})
	return config
}

// prompt returns a streaming request.
func prompt(attempt, path string, tokens int, deadline time.Duration) *request {
	return &request{
		attempt: attempt, method: http.MethodPost, host: siteHost, path: path + "1", key: exampleConfig().Tenants[0].Keys[0],
		headers: map[string]string{
			"Model": "m", "Token-Count": fmt.Sprintf("%d,%d", tokens, 200),
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:%d", time.Now().UnixNano(), tokens-40),
		},
		body: "prompt", deadline: deadline,
	}
}

// shortPrompts sends short prompts to a host, each worker one after the other, until the returned function is called.
func (s *scene) shortPrompts(h *host, workers int) (stop func()) {
	var stopped atomic.Bool
	for w := range workers {
		go func() {
			c := &requester{address: h.callers, rec: s.rec}
			for n := 0; !stopped.Load(); n++ {
				c.do(prompt(fmt.Sprintf("short-%d-%d", w, n), "/ask/", 5000, 10*time.Second))
			}
			c.close()
		}()
	}
	return func() { stopped.Store(true) }
}
