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

// notice sends a request that may run once.
func (r *run) notice(address, attempt string) *answer {
	return r.request(address, "/notice/2f", attempt, "Deadline-Ms: 8000\r\n")
}

// draft sends a request for a stream that may be resumed.
func (r *run) draft(address, attempt string) *answer {
	return r.request(address, "/draft/2f", attempt, "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\nDeadline-Ms: 10000\r\n")
}

// request sends a request on a new channel and returns its answer.
func (r *run) request(address, path, attempt, headers string) *answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\n%sApi-Key: %s\r\nContent-Length: 5\r\n\r\nhello", path, attempt, headers, apiKey)
	if err != nil {
		return &answer{err: err}
	}
	r.note("request %s is sent", attempt)
	return read(bufio.NewReader(conn))
}
