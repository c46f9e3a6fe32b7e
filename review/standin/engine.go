package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamOptions is how an engine answers a streaming request.
type streamOptions struct {
	events   int
	interval time.Duration
	// cutAfter is the number of the event after which the channel is reset; 0 for never.
	cutAfter int
	// goOn is asked before each event whether the stream goes on; nil for always.
	goOn func() bool
}

// stream runs a streaming request and answers with numbered events, from the one after Last-Event-Id on.
func (t *target) stream(conn net.Conn, r *http.Request, o streamOptions) bool {
	t.ran(r)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	headers := map[string]string{
		"Attempt-Id": r.Header.Get("Attempt-Id"), "Response-Seal": t.id + "." + r.Header.Get("Attempt-Id"),
		"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", "Server-Load": "1,0," + strconv.Itoa(t.slots),
	}
	if _, err := conn.Write([]byte(head("200 OK", headers, -1))); err != nil {
		return false
	}
	for n := from + 1; n <= o.events; n++ {
		if n > from+1 {
			time.Sleep(o.interval)
		}
		if o.goOn != nil && !o.goOn() {
			t.rec.note("cut off   %s at %s after piece %d, without its memory", r.Header.Get("Attempt-Id"), t.id, n-1)
			reset(conn)
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("Attempt-Id"))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			t.rec.note("cut off   %s at %s after piece %d", r.Header.Get("Attempt-Id"), t.id, n-1)
			return false
		}
		if n == o.cutAfter {
			t.rec.note("reset     %s at %s after piece %d", r.Header.Get("Attempt-Id"), t.id, n)
			reset(conn)
			return false
		}
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// reset closes a channel with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// pieces returns the numbers of the events in the body of a stream.
func pieces(body []byte) []int {
	var out []int
	for line := range strings.SplitSeq(string(body), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.Atoi(text); err == nil {
				out = append(out, n)
			}
		}
	}
	return out
}

// memory is the memory that an engine has set aside.
type memory struct {
	mu      sync.Mutex
	total   int
	tickets map[string]ticket
}

type ticket struct {
	tokens int
	until  time.Time
}

// order carries out a reserve or a release order.
func (m *memory) order(t *target, conn net.Conn, body []byte) bool {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
		HoldMs    int    `json:"hold_ms"`
	}
	if json.Unmarshal(body, &o) != nil {
		return t.write(conn, "400 Bad Request", nil, "")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	held := 0
	for id, one := range m.tickets {
		if time.Now().After(one.until) {
			delete(m.tickets, id)
		} else if id != o.ID {
			held += one.tokens
		}
	}
	switch {
	case o.Operation == "release":
		delete(m.tickets, o.ID)
	case o.Operation != "reserve" || o.Tokens > m.total:
		return t.write(conn, "400 Bad Request", nil, "")
	case held+o.Tokens > m.total:
		return t.write(conn, "409 Conflict", map[string]string{"Content-Type": "application/json"}, "{}")
	default:
		m.tickets[o.ID] = ticket{tokens: o.Tokens, until: time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)}
	}
	t.rec.note("order     %s %s %d tokens at %s", o.Operation, o.ID, o.Tokens, t.id)
	return t.write(conn, "200 OK", map[string]string{"Content-Type": "application/json"}, fmt.Sprintf(`{"free":%d}`, m.total-held))
}

// has reports whether a ticket is held.
func (m *memory) has(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	one, ok := m.tickets[id]
	return ok && time.Now().Before(one.until)
}
