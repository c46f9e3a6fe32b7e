package headlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobshunt/internal/headlimit"
	"carobshunt/internal/httpconn"

	"gotest.tools/v3/assert"
)

const (
	maxHead = 16 << 10
	memory  = 1 << 20
	timeout = time.Minute
)

// served is a server behind a guard, which answers with the method, the number of values of X and the body of a request.
type served struct {
	t     *testing.T
	guard *headlimit.Guard
	addr  string
	hold  chan struct{}
}

func serve(t *testing.T) *served {
	t.Helper()
	s := &served{t: t, guard: headlimit.NewGuard(memory), hold: make(chan struct{})}
	server := headlimit.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-s.hold
		}
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %d %s %v", r.Method, len(r.Header["X"]), body, err)
	}))
	httpconn.Prepare(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = inner.Addr().String()
	limits := headlimit.Limits{Bytes: maxHead, Timeout: timeout, Idle: timeout}
	go func() { _ = server.Serve(s.guard.Listener(inner, func() headlimit.Limits { return limits })) }()
	t.Cleanup(func() {
		_ = server.Close()
		for s.guard.Held() > 0 {
			time.Sleep(time.Millisecond)
		}
	})
	return s
}

func (s *served) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// read returns the status and the body of an answer.
func read(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

const (
	plainGet = "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n\r\n"
	lineGet  = "GET / HTTP/1.1\nHost: a\nX: 1\n\n"
	post     = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na\n\n"
	chunks   = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\n\r\r\n0\r\n\r\n"
)

// TestRequestsInAnyPartsAreServed guards against requests that wait for bytes that have come already, or get those of another one, in
// whatever parts they come.
func TestRequestsInAnyPartsAreServed(t *testing.T) {
	longGet := strings.Replace(plainGet, "X: 1\r\n", strings.Repeat("X:\r\n", 2000), 1)
	text := plainGet + post + lineGet + chunks + "\r\n" + post + plainGet + longGet + lineGet
	want := []string{
		"GET 1  <nil>", "POST 0 a\n\n <nil>", "GET 1  <nil>", "POST 0 a\n\r <nil>",
		"POST 0 a\n\n <nil>", "GET 1  <nil>", "GET 2000  <nil>", "GET 1  <nil>",
	}
	for _, size := range []int{1, 2, 3, 5, 7, 64, 1000, 4096, len(text)} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := serve(t)
			conn := s.dial()
			go func() {
				for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
					_, _ = io.WriteString(conn, rest[:min(size, len(rest))])
				}
			}()
			answers := bufio.NewReader(conn)
			for i, w := range want {
				status, body := read(t, answers)
				assert.Equal(t, status, http.StatusOK, "answer %d", i)
				assert.Equal(t, body, w, "answer %d", i)
			}
		})
	}
}

// TestHeadOverTheLimitIsRefused guards against heads without end, and against a limit that refuses one at it.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	const fixed = "Host: a\r\nX: \r\n\r\n"
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"at the limit":          {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHead-len(fixed)) + "\r\n\r\n", 200},
		"one line over it":      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHead), 431},
		"many lines over it":    {"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X:\n", maxHead/3+1), 431},
		"request line over it":  {"GET /" + strings.Repeat("x", maxHead), 431},
		"blank line first":      {"\r\n\r\n\r\n\r\n", 400},
		"no request line":       {"what?\r\n\r\n", 400},
		"continuation of first": {"GET / HTTP/1.1\r\n a\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t)
			conn := s.dial()
			_, err := io.WriteString(conn, c.head)
			assert.NilError(t, err)
			status, _ := read(t, bufio.NewReader(conn))
			assert.Equal(t, status, c.status)
		})
	}
}

// manyLines is a head whose parsed form takes more than a third of the memory for large heads, without its last line.
var manyLines = "GET /hold HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X:\n", 2000)

// TestHeadsHoldNoMoreThanTheirMemory guards against whole heads that take more memory than there is while their requests are served:
// those that find no room are refused as not run, and the others are served, as is an ordinary request.
func TestHeadsHoldNoMoreThanTheirMemory(t *testing.T) {
	s := serve(t)
	const clients = 8
	answers := make(chan int, clients)
	for range clients {
		conn := s.dial()
		_, err := io.WriteString(conn, manyLines+"\r\n")
		assert.NilError(t, err)
		go func() {
			status, _ := read(t, bufio.NewReader(conn))
			answers <- status
		}()
	}
	refused := 0
	for range clients - 2 { // two find room
		assert.Equal(t, <-answers, http.StatusServiceUnavailable)
		refused++
	}
	assert.Assert(t, s.guard.Held() <= memory)
	assert.Equal(t, s.guard.GivenUp(), uint64(refused))
	conn := s.dial()
	_, err := io.WriteString(conn, plainGet)
	assert.NilError(t, err)
	status, _ := read(t, bufio.NewReader(conn))
	assert.Equal(t, status, http.StatusOK)
	close(s.hold)
	assert.Equal(t, <-answers, http.StatusOK)
	assert.Equal(t, <-answers, http.StatusOK)
}

// TestHeadsThatAreNotWholeGiveWay guards against whole requests that are refused for heads that may have no end.
func TestHeadsThatAreNotWholeGiveWay(t *testing.T) {
	s := serve(t)
	close(s.hold)
	part := strings.Repeat("X:\n", 5000)
	for range 40 {
		_, err := io.WriteString(s.dial(), "GET / HTTP/1.1\r\nHost: a\r\n"+part)
		assert.NilError(t, err)
	}
	for s.guard.GivenUp() == 0 {
		time.Sleep(time.Millisecond)
	}
	conn := s.dial()
	_, err := io.WriteString(conn, manyLines+"\r\n")
	assert.NilError(t, err)
	status, _ := read(t, bufio.NewReader(conn))
	assert.Equal(t, status, http.StatusOK)
}
