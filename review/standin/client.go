package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requester has one channel to a host, which it keeps as long as the host does.
type requester struct {
	address string
	rec     *record
	conn    net.Conn
	reader  *bufio.Reader
}

// request is one attempt of a requester.
type request struct {
	attempt, method, host, path, key string
	headers                          map[string]string
	body                             string
	deadline                         time.Duration
}

// result is what a requester saw.
type result struct {
	sent    time.Time
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
}

func (q *request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.attempt, q.deadline.Milliseconds())
	if q.key != "" {
		b.WriteString("Api-Key: " + q.key + "\r\n")
	}
	for name, value := range q.headers {
		b.WriteString(name + ": " + value + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// do sends a request and waits for its whole answer.
func (c *requester) do(q *request) result {
	out := result{sent: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			out.err = err
			c.rec.answered(q, &out)
			return out
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.rec.sent(q, c.address)
	_ = c.conn.SetDeadline(out.sent.Add(q.deadline + time.Second))
	out.status, out.header, out.body, out.err = c.roundTrip(q)
	out.elapsed = time.Since(out.sent)
	if out.err != nil || strings.EqualFold(out.header.Get("Connection"), "close") {
		c.close()
	}
	c.rec.answered(q, &out)
	return out
}

func (c *requester) roundTrip(q *request) (int, http.Header, []byte, error) {
	if _, err := io.WriteString(c.conn, q.encode()); err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return 0, nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, resp.Header, body, err
}

func (c *requester) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
