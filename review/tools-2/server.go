package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// runServer is a stand-in of a plain service, as a process of its own. Its answers have no length and end with their channel. The
// second half of an answer follows after half of the time that the work takes. It prints a line for each request that it runs.
func runServer(address, id, work, size string) {
	duration, err := time.ParseDuration(work)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bytes := 0
	_, _ = fmt.Sscan(size, &bytes)
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s := &server{id: id, work: duration, body: strings.Repeat("0123456789", bytes/10)}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

type server struct {
	id, body string
	work     time.Duration
	mu       sync.Mutex
}

func (s *server) print(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch {
		case r.URL.Path == "/healthz":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", s.id)
			if r.Close {
				return
			}
		case r.Header.Get("Expect-Instance") != s.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		default:
			s.answer(conn, r)
			return
		}
	}
}

// answer answers a request without a length. The channel ends with it.
func (s *server) answer(conn net.Conn, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	s.print("runs %s", attempt)
	time.Sleep(s.work / 2)
	half := len(s.body) / 2
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n%s", attempt, attempt, s.body[:half])
	s.print("half sent %s", attempt)
	time.Sleep(s.work / 2)
	_, _ = io.WriteString(conn, s.body[half:])
	s.print("whole sent %s", attempt)
}
