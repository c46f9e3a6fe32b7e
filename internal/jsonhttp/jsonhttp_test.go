package jsonhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"carobshunt/internal/jsonhttp"

	"gotest.tools/v3/assert"
)

func TestCall(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/echo":
			_, _ = w.Write(body)
		case "/full":
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte("no JSON"))
		case "/nonsense":
			_, _ = w.Write([]byte("no JSON"))
		}
	}))
	defer server.Close()
	type message struct{ Name string }
	c := jsonhttp.Caller{Client: server.Client(), MaxBytes: 100}
	for name, want := range map[string]struct {
		path   string
		status int
		fails  bool
		answer message
	}{
		"answered":           {"/echo", 200, false, message{"a"}},
		"refused":            {"/full", 409, false, message{}},
		"answer is not JSON": {"/nonsense", 200, true, message{}},
	} {
		var got message
		status, err := c.Call(t.Context(), http.MethodPost, server.URL+want.path, message{"a"}, &got)
		assert.Equal(t, status, want.status, name)
		assert.Equal(t, err != nil, want.fails, name)
		assert.Equal(t, got, want.answer, name)
	}
	server.Close()
	_, err := c.Call(t.Context(), http.MethodGet, server.URL, nil, nil)
	assert.Assert(t, err != nil)
}
