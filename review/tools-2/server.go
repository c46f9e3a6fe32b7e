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

// runServer is a stand-in of a server, as a process of its own. Its answers have no length and end with their channel. The
// second half of an answer follows after half of the time that the work takes. It prints a line for each request that it runs.
func runServer(address, id, mode, born string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s := &server{id: id, body: strings.Repeat("0123456789", answerBytes/10), born: born, mode: mode}
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
	born     string
	mode     string
	mu       sync.Mutex
}

// acceptTime is how long a server takes for a new channel.
const acceptTime = 2 * time.Millisecond

// Modes of a server.
const (
	modeUsual = "usual"
	// modeFull: it rejects everything, questions for its health too.
	modeFull = "full"
	// modeEngine: it is an engine.
	modeEngine = "engine"
	// modeAtLimit: it has as many channels as it takes, and resets any other.
	modeAtLimit = "at-limit"
)

func (s *server) print(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.mode == modeAtLimit {
		time.Sleep(acceptTime)
		_ = conn.(*net.TCPConn).SetLinger(0)
		s.print("resets a channel")
		return
	}
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
		case s.mode == modeFull:
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			s.print("rejects %s", r.URL.Path)
			if r.Close {
				return
			}
		case r.URL.Path == "/healthz":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,6\r\nContent-Length: 0\r\n\r\n", s.id)
			if r.Close {
				return
			}
		case r.URL.Path == "/-/report":
			s.report(conn)
			if r.Close {
				return
			}
		case r.Header.Get("Expect-Instance") != s.id:
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		case s.mode == modeEngine:
			s.stream(conn, r)
			return
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
	time.Sleep(serverWork / 2)
	half := len(s.body) / 2
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n%s", attempt, attempt, s.body[:half])
	s.print("half sent %s", attempt)
	time.Sleep(serverWork / 2)
	_, _ = io.WriteString(conn, s.body[half:])
	s.print("whole sent %s", attempt)
}
