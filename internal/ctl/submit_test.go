package ctl

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carobshunt/api"

	"gotest.tools/v3/assert"
)

// brokenHost serves callers: it breaks off the first answer after a part, answers a resumption with an error page and every
// later submit with a refusal.
type brokenHost struct {
	submits int
	refusal api.Error
}

// ServeHTTP implements http.Handler.
func (h *brokenHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == api.PathHosts:
		answer(w, http.StatusOK, api.Lookup{Hosts: []api.Host{{Address: r.Host, Incarnation: "i1", ClockMs: 1}}, Revision: 1, KeepMs: 10_000})
	case r.Method == http.MethodGet:
		http.Error(w, "oops", http.StatusBadGateway)
	case h.submits > 0:
		answer(w, http.StatusServiceUnavailable, h.refusal)
	default:
		h.submits++
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(api.HeaderHost, r.Host+"/i1")
		answer(w, http.StatusOK, api.Frame{Request: r.Header.Get(api.HeaderRequest), Attempt: 1, Dispatch: 1, Text: "a part"})
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestSubmitWhoseAnswerBreaksOffFails guards against a part of an answer, or an error, that is printed as the answer or ends
// the command with success.
func TestSubmitWhoseAnswerBreaksOffFails(t *testing.T) {
	for _, c := range []struct {
		idempotent string
		refusal    api.Error
		want       int
	}{
		{"true", api.Error{Outcome: api.OutcomeNotRun, Code: api.CodeOverloaded, Message: "full"}, ExitFailed},
		{"false", api.Error{Outcome: api.OutcomeUnknown, Code: api.CodeHomeGone, Message: "gone"}, ExitUnknown},
	} {
		server := httptest.NewServer(&brokenHost{refusal: c.refusal})
		entry := strings.TrimPrefix(server.URL, "http://")
		status, text := run("submit", "--entry", entry, "--team", "desk", "--id", "walk-0001", "--model", "draft", "--prompt-tokens", "10",
			"--idempotent="+c.idempotent, "--text", "--output", "json")
		server.Close()
		assert.Equal(t, status, c.want, text)
		assert.Assert(t, !strings.Contains(text, "a part") && !strings.Contains(text, "oops"), text)
		var report SubmitReport
		assert.NilError(t, json.NewDecoder(strings.NewReader(text)).Decode(&report))
		assert.Equal(t, report.Answer, "")
		assert.Equal(t, report.Code, c.refusal.Code)
	}
}
