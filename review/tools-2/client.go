package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a requester has received.
type answer struct {
	status int
	seal   string
	body   []byte
	err    error
}

func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer: %v", a.err)
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes", a.status, a.seal, len(a.body))
}

// read reads one answer.
func read(reader *bufio.Reader) *answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return &answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return &answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), body: body, err: err}
}

// request sends a request on a new channel and returns its answer.
func (r *run) request(address, attempt string) *answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /notice/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: %s\r\nContent-Length: 5\r\n\r\nhello", attempt, apiKey)
	if err != nil {
		return &answer{err: err}
	}
	r.note("request %s is sent", attempt)
	return read(bufio.NewReader(conn))
}
