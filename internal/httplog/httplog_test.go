package httplog_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carobshunt/internal/httpconn"
	"carobshunt/internal/httplog"
	"carobshunt/internal/testlog"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// roundTrip sends bytes on one connection and returns the responses and the log output.
func roundTrip(t *testing.T, request string) (answers, logged string) {
	t.Helper()
	var lines testlog.Buffer
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "fine")
	}))
	server.Config.MaxHeaderBytes = 4 << 10
	httpconn.Prepare(server.Config)
	server.Listener = httplog.Listener(server.Listener, hclog.New(&hclog.LoggerOptions{Output: &lines}))
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, request) }()
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err, "a connection reset must not destroy the response")
	return string(answer), lines.String()
}

const goodRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"

func TestRefusalsOfTheServerAreLoggedAndHandlersAnswersAreNot(t *testing.T) {
	const last = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	for name, c := range map[string]struct {
		request  string
		answered int
		logged   string
	}{
		"good":                      {goodRequest + last, 2, ""},
		"expects 100-continue":      {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok" + last, 2, ""},
		"header too large":          {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 0, "431"},
		"not HTTP":                  {"\x16\x03\x01\r\n\r\n", 0, "400"},
		"not HTTP after a good one": {goodRequest + "what?\r\n\r\n", 1, "400"},
		"unknown expectation":       {"GET / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n", 0, "417"},
	} {
		t.Run(name, func(t *testing.T) {
			answers, logged := roundTrip(t, c.request)
			assert.Equal(t, strings.Count(answers, "fine"), c.answered, answers)
			if c.logged == "" {
				assert.Equal(t, logged, "")
				return
			}
			assert.Equal(t, strings.Count(logged, "request refused before it was read"), 1, logged)
			assert.Assert(t, strings.Contains(logged, c.logged), logged)
		})
	}
}
