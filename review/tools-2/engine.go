package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventPause the time between two.
	streamEvents = 8
	eventPause   = 150 * time.Millisecond
)

// report answers a question for the state of an engine.
func (s *server) report(conn net.Conn) {
	body := fmt.Sprintf(`{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"num_waiting":0,"num_running":0,`+
		`"kv_used":0,"kv_total":232000,"handles":0,"tickets":[],"pace":1.0,"born":%s}`, s.born)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body)
}

// stream answers a request with events, without a length. The channel ends with the last one.
func (s *server) stream(conn net.Conn, r *http.Request) {
	attempt, after := r.Header.Get("Attempt-Id"), 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	s.print("runs %s after event %d", attempt, after)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, attempt)
	for n := after + 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		if _, err := io.WriteString(conn, fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)); err != nil {
			return
		}
		s.print("event %d of %s", n, attempt)
	}
}
